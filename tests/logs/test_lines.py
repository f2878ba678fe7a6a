import asyncio
import json
import os

import pytest

from heathershunt.logs import EventLog
from heathershunt.logs.lines import MAX_WAITING_LINES


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


async def test_lines_are_json_with_the_vm_and_the_fields(pipe, clock):
    log = EventLog(pipe[1], "vm-1", clock)
    log.emit("admitted", request="r1", left_ms=5)
    log.flush()
    line = json.loads(os.read(pipe[0], 4096))
    assert (line["vm"], line["event"], line["request"]) == ("vm-1", "admitted", "r1")


async def test_reader_that_stands_still_blocks_nothing_and_loses_a_counted_part(
    pipe, clock
):
    # Guards against a gateway that stops serving because nobody reads its output.
    log = EventLog(pipe[1], "vm-1", clock)
    async with asyncio.timeout(5):
        for number in range(3 * MAX_WAITING_LINES):
            log.emit("admitted", request=f"request-{number}", detail="x" * 50)
            if number % 1000 == 0:
                log.flush()
    written = bytearray()
    os.set_blocking(pipe[0], False)
    for _ in range(1000):
        log.flush()
        try:
            while part := os.read(pipe[0], 65536):
                written += part
        except BlockingIOError:
            pass
    lines = [json.loads(line) for line in written.splitlines()]
    dropped = sum(line["count"] for line in lines if line["event"] == "lines_dropped")
    kept = sum(line["event"] == "admitted" for line in lines)
    assert dropped > 0
    assert kept + dropped == 3 * MAX_WAITING_LINES
