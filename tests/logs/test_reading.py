import json

from heathershunt.logs.reading import CLOCK_SKEW_MS, LogLine, causal_order, read_lines


def boot(vm, offset_ms, *lines, boot="b"):
    """Return lines of one start of a process from (steady time, revision) pairs."""
    return [
        LogLine(steady_ms + offset_ms, vm, "e", boot, number, steady_ms, revision)
        for number, (steady_ms, revision) in enumerate(lines)
    ]


def order(*boots):
    lines = [line for lines in boots for line in lines]
    return [(line.vm, line.number) for _, line in causal_order(lines)]


def test_jump_of_the_time_of_day_does_not_change_the_order():
    # Guards against an explanation in which the answer comes before the request.
    before = boot("a", 1000, (0, 1), (10, 1), (40, 1))
    jumped = LogLine(1020 - 5000, "a", "e", "b", 3, 20, 1)
    other = boot("b", 1000, (15, 1), (50, 1))
    ordered = order(
        [*before[:2], jumped, LogLine(1040, "a", "e", "b", 4, 40, 1)], other
    )
    assert ordered == [("a", 0), ("a", 1), ("b", 0), ("a", 3), ("a", 4), ("b", 1)]


def test_older_revision_comes_first_where_clocks_differ():
    # A VM whose clock is late sees a revision that another one wrote before.
    writer = boot("a", 1000, (100, 6), (110, 7))
    late = boot("b", 1000 - CLOCK_SKEW_MS + 120, (115, 7))
    assert order(late, writer) == [("a", 0), ("b", 0), ("a", 1)]


def test_vm_that_lost_the_store_is_not_moved_before_what_was_much_earlier():
    cut = boot("a", 0, (5000, 3))
    others = boot("b", 0, (1000, 4), (2000, 5))
    assert order(cut, others) == [("b", 0), ("b", 1), ("a", 0)]


def test_second_start_of_a_process_has_its_own_numbers():
    first = boot("a", 0, (10, 1), (20, 1), boot="x")
    second = boot("a", 900, (10, 1), boot="y")
    assert order(second, first) == [("a", 0), ("a", 1), ("a", 0)]


def test_lines_without_the_common_fields_are_passed_over():
    line = {"time_ms": 1, "vm": "a", "event": "e", "boot": "b", "number": 1}
    whole = line | {"steady_ms": 2, "revision": None, "target": "t"}
    found = read_lines(["no JSON", json.dumps(line), f"prefix {json.dumps(whole)}"])
    assert [(line.event, line.fields) for line in found] == [("e", {"target": "t"})]
