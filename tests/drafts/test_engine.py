"""The engine client against stages that send duplicate, partial or endless lines."""

import asyncio
import json

import pytest

from heathershunt.clock import SystemClock
from heathershunt.drafts.engine import (
    MAX_LINE_BYTES,
    EngineClient,
    RunSpec,
    decode_trace,
)
from heathershunt.http import HttpClient
from heathershunt.routing import Chain, Stage
from tests.scripted import ScriptedTarget, answer, late_duplicates


async def test_duplicate_stream_does_not_reach_the_next_run():
    # Guards against a caller that gets the text of another caller's draft: a duplicate
    # of a run's stream arrives after the next run's request was written on the same
    # connection.
    lines = [{"event": "opened", "text": f"run {number}"} for number in (1, 2, 3)]
    answers = [answer(json.dumps(line).encode() + b"\n") for line in lines]
    target = ScriptedTarget(late_duplicates(answers))
    client = HttpClient()
    stage = Stage("runner-1", str(await target.start()), "", 0, 80)
    for number in (1, 2, 3):
        spec = RunSpec(
            f"run-{number}",
            1,
            Chain(1, "m", "1", None, (stage,)),
            "prompt",
            (),
            0,
            10,
            1,
            0,
            1000,
        )
        stream, lines = (
            await EngineClient(client, SystemClock()).open(spec, 0)
        ).unwrap()
        assert [line.text for line in lines] == [f"run {number}"]
        while await stream.read_lines():
            pass
    client.close()
    target.stop()


async def _open_stream(script):
    target = ScriptedTarget(script)
    client = HttpClient()
    stage = Stage("runner-1", str(await target.start()), "", 0, 80)
    chain = Chain(1, "m", "1", None, (stage,))
    spec = RunSpec("run", 1, chain, "prompt", (), 0, 10, 1, 0, 1000)
    outcome = await EngineClient(client, SystemClock()).open(spec, 0)
    return target, client, outcome


RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
OPENED_LINE = b'{"event": "opened"}\n'


def _chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


async def test_partial_line_is_not_returned():
    # Guards against a stalled stage that seems to make progress because it sends a byte
    # from time to time.
    async def script(target, path, writer):
        await target.send(writer, RESPONSE_HEAD + _chunk(OPENED_LINE))
        for byte in b'{"event": "token"':
            await target.send(writer, _chunk(bytes([byte])))
            await asyncio.sleep(0.002)
        await asyncio.Event().wait()

    target, client, outcome = await _open_stream(script)
    stream, lines = outcome.unwrap()
    assert [line.event for line in lines] == ["opened"]
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.15):
            await stream.read_lines()
    client.close()
    target.stop()


async def test_endless_line_is_rejected():
    # Guards against a stage that exhausts the process's memory with an endless line.
    async def script(target, path, writer):
        await target.send(writer, RESPONSE_HEAD + _chunk(OPENED_LINE))
        piece = _chunk(b"x" * 65_536)
        while True:
            await target.send(writer, piece)

    target, client, outcome = await _open_stream(script)
    stream, _ = outcome.unwrap()
    with pytest.raises(ValueError, match="too long"):
        async with asyncio.timeout(5):
            await stream.read_lines()
    stream.close()
    client.close()
    assert target.sent_bytes < 8 * MAX_LINE_BYTES
    target.stop()


UNFRAMED_HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
TOKEN_LINE = b'{"event": "token", "position": 0, "text": "a"}\n'


# Guards against a token that is taken from half a line, and against a stream that is
# kept open after its connection has ended.
@pytest.mark.parametrize("cut", [0, 1, 9, len(TOKEN_LINE) - 1])
async def test_stream_without_length_or_chunks_ends_with_its_connection(cut):
    async def script(target, path, writer):
        data = OPENED_LINE + TOKEN_LINE + TOKEN_LINE[:cut]
        await target.send(writer, UNFRAMED_HEAD + data)
        writer.close()

    target, client, outcome = await _open_stream(script)
    stream, lines = outcome.unwrap()
    while found := await stream.read_lines():
        lines = [*lines, *found]
    assert [line.event for line in lines] == ["opened", "token"]
    client.close()
    target.stop()


STATUS = b'{"incarnation": 7}'


async def _has_ended(script, incarnation):
    target = ScriptedTarget(script)
    client = HttpClient()
    stage = Stage("runner-1", str(await target.start()), "", 0, 80)
    if script is None:
        target.stop()
    ended = await EngineClient(client, SystemClock()).has_ended(stage, incarnation)
    client.close()
    target.stop()
    return ended


# Guards against prompts that are refused because sound runners, which gave no answer
# for a second, are counted as crashed by them.
async def test_silent_runner_is_not_taken_for_ended():
    async def script(target, path, writer):
        await asyncio.Event().wait()

    assert not await _has_ended(script, 7)


@pytest.mark.parametrize(("known", "ended"), [(7, False), (6, True), (None, False)])
async def test_runner_with_a_later_incarnation_has_ended(known, ended):
    async def script(target, path, writer):
        await target.send(writer, answer(STATUS))

    assert await _has_ended(script, known) is ended


async def test_runner_that_refuses_connections_has_ended():
    assert await _has_ended(None, 7)


# Short enough to be received at once, as most lines are.
NESTED = b"[" * 5_000 + b"]" * 5_000
NESTED_LINE = b'{"event": "token", "trace": %b}\n' % NESTED


# Guards against drafts that end with an internal error because one runner sends a line
# that is nested too deeply; the runner is at fault, and another one may do.
@pytest.mark.parametrize("first", [OPENED_LINE, b""])
async def test_line_that_is_nested_too_deeply_is_malformed(first):
    async def script(target, path, writer):
        await target.send(writer, RESPONSE_HEAD + _chunk(first or NESTED_LINE))
        await asyncio.sleep(0.05)
        await target.send(writer, _chunk(NESTED_LINE))
        await asyncio.Event().wait()

    target, client, outcome = await _open_stream(script)
    if first:
        with pytest.raises(ValueError, match="nested"):
            await outcome.unwrap()[0].read_lines()
    else:
        assert "nested" in outcome.unwrap_err().detail
    client.close()
    target.stop()


def test_trace_that_is_nested_too_deeply_is_malformed():
    with pytest.raises(ValueError, match="nested"):
        decode_trace(NESTED)
