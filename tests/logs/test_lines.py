import asyncio
import json
import os

import pytest

from heathershunt.logs import EventLog, LineRateLimiter
from heathershunt.logs.events import Stopping, TargetRemoved
from heathershunt.logs.lines import MAX_QUEUED_LINES
from heathershunt.logs.request_events import Admitted, CallEnded, SendFailed, Sent

FEW_PER_S = 10


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


@pytest.fixture
def log(pipe, clock):
    return EventLog(pipe[1], "vm-1", clock)


@pytest.fixture
def slow_log(pipe, clock):
    """Return a log with a limit of ten lines per second and event, in bursts of ten."""
    return EventLog(
        pipe[1], "vm-1", clock, LineRateLimiter(clock, FEW_PER_S, FEW_PER_S)
    )


@pytest.fixture
def read(pipe):
    """Return a function that flushes a log and returns all its lines, decoded."""

    def read(log):
        os.set_blocking(pipe[0], False)
        written = bytearray()
        for _ in range(1000):
            log.flush()
            try:
                while part := os.read(pipe[0], 65536):
                    written += part
            except BlockingIOError:
                pass
        return [json.loads(line) for line in written.splitlines()]

    return read


def serve(log, request, status):
    """Log a call that is answered with a status."""
    log.emit(Admitted(request, "r", "s", "a", 900, 1, 5))
    log.emit(Sent(request, "t", (), 0, 1))
    if status != 200:
        log.emit(SendFailed(request, "t", "sent", "reset"))
    log.emit(CallEnded(request, status, True, 1, 0, ("t",), 9))


def requests(lines):
    return [line["request"] for line in lines if "request" in line]


async def test_lines_are_json_with_the_vm_and_the_fields(log, read):
    log.revision = 7
    log.emit(Sent("r1", "t", ("t", "u"), 0, 5))
    log.emit(Stopping(2))
    first, second = read(log)
    assert (first["vm"], first["event"], first["request"]) == ("vm-1", "sent", "r1")
    assert (first["chain"], first["revision"]) == (["t", "u"], 7)
    assert (first["number"], second["number"]) == (1, 2)
    assert first["boot"] == second["boot"]


async def test_stalled_reader_does_not_block_and_dropped_lines_are_counted(
    pipe, clock, read
):
    # Guards against a gateway that blocks on a full pipe that nobody reads.
    log = EventLog(pipe[1], "vm-1", clock)
    total = 3 * MAX_QUEUED_LINES
    async with asyncio.timeout(5):
        for number in range(total):
            log.emit(Stopping(number))
            clock.advance(10)
            if number % 1000 == 0:
                log.flush()
    lines = read(log)
    dropped = sum(line["count"] for line in lines if line["event"] == "lines_dropped")
    kept = sum(line["event"] == "stopping" for line in lines)
    assert dropped > 0
    assert kept + dropped == total


async def test_lines_of_failed_requests_are_kept_while_the_reader_stalls(
    log, clock, read
):
    # Guards against an outage in which the lines of failed requests are dropped: 5000
    # requests end while nobody reads the output, and one in fifty of them fails.
    failed = []
    for number in range(5000):
        status = 502 if number % 50 == 49 else 200
        if status == 502:
            failed.append(f"r{number}")
        serve(log, f"r{number}", status)
        clock.advance(10)
    lines = read(log)
    found = requests(lines)
    assert all(found.count(request) == 4 for request in failed)
    assert len(found) < 3 * MAX_QUEUED_LINES // 4


async def test_over_the_rate_only_failed_requests_are_written(slow_log, read):
    # Guards against lines of successful requests that displace those of failed ones.
    for number in range(FEW_PER_S):
        serve(slow_log, f"early-{number}", 200)
    serve(slow_log, "good", 200)
    serve(slow_log, "bad", 504)
    lines = read(slow_log)
    found = requests(lines)
    assert "good" not in found
    assert found.count("bad") == 4
    dropped = sum(line["count"] for line in lines if line["event"] == "lines_dropped")
    assert dropped == 3


async def test_event_over_its_rate_does_not_delay_other_events(slow_log, read):
    for number in range(FEW_PER_S + 5):
        slow_log.emit(TargetRemoved(f"t{number}"))
    slow_log.emit(Stopping(1))
    names = [line["event"] for line in read(slow_log)]
    assert names.count("target_gone") == FEW_PER_S
    assert names.count("stopping") == 1


async def test_held_lines_are_written_on_close(slow_log, read):
    # Guards against requests that a shutdown cut off and that left no line.
    for number in range(FEW_PER_S + 1):
        slow_log.emit(Admitted(f"r{number}", "r", "s", "a", 900, 1, 5))
    slow_log.close()
    assert f"r{FEW_PER_S}" in requests(read(slow_log))
