import json

import pytest

from heathershunt.cli.main import run
from heathershunt.gateway.explain import explain_request
from heathershunt.logs.reading import read_lines


def line(time_ms, event, vm="vm-1", **fields):
    header = {"time_ms": time_ms, "vm": vm, "event": event, "boot": "b"}
    order = {"number": time_ms, "steady_ms": time_ms, "revision": None}
    return json.dumps(header | order | fields)


DECLINED = {"progress": "declined", "detail": "cut off"}
BROKEN_STREAM = [
    line(90, "target_gone", target="other", vm="vm-2"),
    line(100, "admitted", request="r1", route="d", service="s", left_ms=900),
    line(110, "admitted", request="r2", route="d", service="s", left_ms=900),
    line(150, "target_gone", target="run-7"),
    line(200, "pause_examined", request="r1", target="run-1", after=4, faulty="run-7"),
    line(210, "stream_broken", request="r1", target="run-1", after=4, detail="reset"),
    line(
        220,
        "stream_ended",
        request="r1",
        outcome="broken",
        after=4,
        first_event_ms=30,
        longest_gap_ms=100,
        sends=2,
    ),
]


def test_cause_comes_first_and_the_rest_in_order():
    lines = explain_request(read_lines(BROKEN_STREAM), "r1")
    assert lines[0] == "cause: the run at run-1 ended after event 4: reset"
    assert lines[1] == "    +0 ms vm-1: admitted on route d to service s, 900 ms left"
    assert [line.split(":")[0].split()[0] for line in lines[1:]] == [
        "+0",
        "+50",
        "+100",
        "+110",
        "+120",
    ]


def test_other_requests_and_other_vms_are_left_out():
    text = "\n".join(explain_request(read_lines(BROKEN_STREAM), "r1"))
    assert "r2" not in text
    assert "vm-2" not in text


def test_targets_that_the_request_did_not_use_are_left_out():
    lines = [
        *BROKEN_STREAM,
        line(120, "target_ejected", target="run-1", failures=1, pause_ms=2000),
        line(121, "target_ejected", target="run-9", failures=1, pause_ms=2000),
    ]
    text = "\n".join(explain_request(read_lines(lines), "r1"))
    assert "target run-1 ejected for 2000 ms after 1 failures" in text
    assert "run-9" not in text


def test_placement_orders_of_another_vm_are_shown():
    # Guards against an explanation that omits why layers were missing.
    order = {"target": "run-7", "layers": "0-5", "outcome": "begun", "token": 3}
    lines = [*BROKEN_STREAM, line(130, "order_answered", vm="vm-2", **order)]
    text = "\n".join(explain_request(read_lines(lines), "r1"))
    assert "vm-2: order to run-7 to hold layers 0-5: begun" in text


def test_prefixed_lines_are_read_and_malformed_lines_are_skipped():
    lines = [f"  12.5 front-1 {BROKEN_STREAM[1]}", "not JSON", '{"time_ms": 1']
    assert [event.event for event in read_lines(lines)] == ["admitted"]


@pytest.fixture
def log_file(tmp_path):
    path = tmp_path / "vm-1.log"
    path.write_text("\n".join(BROKEN_STREAM))
    return path


def test_command_explains_a_request_from_files(log_file, capsys):
    assert run(["explain", "r1", "--logs", str(log_file)]) == 0
    assert capsys.readouterr().out.startswith("cause: the run at run-1 ended")


@pytest.mark.parametrize("request_id", ["r9", ""])
def test_command_says_that_no_line_names_the_request(log_file, capsys, request_id):
    assert run(["explain", request_id or "none", "--logs", str(log_file)]) != 0
    assert "no line of the logs names" in capsys.readouterr().err


def test_forwarded_request_is_shown_at_both_vms():
    # Guards against a request whose way ends at the VM that forwarded it.
    lines = [
        line(90, "cut_off", failed=3, after_ms=500),
        line(100, "admitted", request="r1", route="d", service="s", left_ms=900),
        line(101, "forward_not_taken", request="r1", through="vm-3", **DECLINED),
        line(103, "forward_received", "vm-2", request="r1", sender="vm-1", left_ms=897),
        line(104, "sent", "vm-2", request="r1", target="run-1", waited_ms=1, sends=0),
        line(
            120,
            "forwarded",
            request="r1",
            through="vm-2",
            status=200,
            asked=2,
            elapsed_ms=20,
        ),
    ]
    text = explain_request(read_lines(lines), "r1")
    assert "VM vm-2, which answered 200 after 20 ms" in text[0]
    assert [shown.split(":")[0].split()[-1] for shown in text[1:]] == [
        "vm-1",
        "vm-1",
        "vm-1",
        "vm-2",
        "vm-2",
        "vm-1",
    ]
    assert "cut off from the targets" in text[1]
