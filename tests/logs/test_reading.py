import json

from heathershunt.logs.reading import (
    MAX_CLOCK_SKEW_MS,
    LogLine,
    causal_order,
    read_lines,
)


def boot(vm, offset_ms, *lines, boot="b"):
    """Return the lines of a process start from (monotonic time, revision) pairs."""
    return [
        LogLine(steady_ms + offset_ms, vm, "e", boot, number, steady_ms, revision)
        for number, (steady_ms, revision) in enumerate(lines)
    ]


def order(*boots):
    lines = [line for lines in boots for line in lines]
    return [(line.vm, line.number) for _, line in causal_order(lines)]


def test_jump_of_the_wall_clock_does_not_change_the_order():
    # Guards against an explanation that shows the answer before the request.
    before = boot("a", 1000, (0, 1), (10, 1), (40, 1))
    jumped = LogLine(1020 - 5000, "a", "e", "b", 3, 20, 1)
    other = boot("b", 1000, (15, 1), (50, 1))
    ordered = order(
        [*before[:2], jumped, LogLine(1040, "a", "e", "b", 4, 40, 1)], other
    )
    assert ordered == [("a", 0), ("a", 1), ("b", 0), ("a", 3), ("a", 4), ("b", 1)]


def test_older_revision_comes_first_where_clocks_differ():
    # The wall clock of `late` is behind: its line has an earlier time than the lines of
    # `writer`, but a newer revision than the first of them.
    writer = boot("a", 1000, (100, 6), (110, 7))
    late = boot("b", 1000 - MAX_CLOCK_SKEW_MS + 120, (115, 7))
    assert order(late, writer) == [("a", 0), ("b", 0), ("a", 1)]


def test_old_revision_does_not_move_a_line_before_much_earlier_lines():
    # VM `a` has lost the store, so its revision stays old.
    without_store = boot("a", 0, (5000, 3))
    others = boot("b", 0, (1000, 4), (2000, 5))
    assert order(without_store, others) == [("b", 0), ("b", 1), ("a", 0)]


def test_lines_are_numbered_per_process_start():
    first = boot("a", 0, (10, 1), (20, 1), boot="x")
    second = boot("a", 900, (10, 1), boot="y")
    assert order(second, first) == [("a", 0), ("a", 1), ("a", 0)]


def test_lines_without_the_common_fields_are_skipped():
    line = {"time_ms": 1, "vm": "a", "event": "e", "boot": "b", "number": 1}
    whole = line | {"steady_ms": 2, "revision": None, "target": "t"}
    found = read_lines(["no JSON", json.dumps(line), f"prefix {json.dumps(whole)}"])
    assert [(line.event, line.fields) for line in found] == [("e", {"target": "t"})]
