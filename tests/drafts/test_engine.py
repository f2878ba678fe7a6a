"""The engine client against stages that send duplicate, partial or endless lines."""

import asyncio
import json

import pytest

from heathershunt.clock import SystemClock
from heathershunt.drafts.engine import (
    MAX_LINE_BYTES,
    EngineClient,
    ProbeFailure,
    RunSpec,
    decode_trace,
)
from heathershunt.http import HttpClient
from heathershunt.routing import Chain, Stage
from heathershunt.verdict import Progress
from tests.invalid_heads import INVALID_STARTS, head_id
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
DEEP_TRACE = b"[" * 5_000 + b"]" * 5_000
DEEP_LINE = b'{"event": "token", "trace": %b}\n' % DEEP_TRACE


# Guards against drafts that end with an internal error because one runner sends a line
# that is nested too deeply; the runner is at fault, and another one may do.
@pytest.mark.parametrize("first", [OPENED_LINE, b""])
async def test_line_that_is_nested_too_deeply_is_malformed(first):
    async def script(target, path, writer):
        await target.send(writer, RESPONSE_HEAD + _chunk(first or DEEP_LINE))
        await asyncio.sleep(0.05)
        await target.send(writer, _chunk(DEEP_LINE))
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
        decode_trace(DEEP_TRACE)


NESTED = b"[" * 5000
BIG = b"9" * 4000
ODD_LINES = [
    b"{",
    b"7",
    b"null",
    b"\xff",
    NESTED,
    b'{"event": "token", "x": ' + NESTED,
    b'{"event": "token", "trace": ' + NESTED,
    b'{"event": "token", "position": ' + BIG + b"}",
    b'{"event": "token", "position": -7}',
    b'{"event": "token", "epoch": ' + BIG + b"}",
    b'{"event": "opened", "kv_positions": ' + BIG + b"}",
    b'{"event": "opened", "first_layer": 1' + b"0" * 30 + b"}",
]


@pytest.mark.parametrize("rest", [b"", OPENED_LINE])
@pytest.mark.parametrize("line", ODD_LINES, ids=lambda line: repr(line)[:30])
async def test_odd_line_is_an_error_of_its_stage(line, rest):
    # Guards against a draft that stalls, or ends without an answer: the error of the
    # decoder ended the task that reads the stage.
    async def script(target, path, writer):
        await target.send(writer, RESPONSE_HEAD + _chunk(OPENED_LINE))
        await asyncio.sleep(0.02)
        await target.send(writer, _chunk(line + b"\n" + rest))
        await asyncio.Event().wait()

    target, client, outcome = await _open_stream(script)
    stream, _ = outcome.unwrap()
    with pytest.raises(ValueError):
        async with asyncio.timeout(1):
            await stream.read_lines()
    client.close()
    target.stop()


@pytest.mark.parametrize("line", ODD_LINES, ids=lambda line: repr(line)[:30])
async def test_odd_first_line_is_a_failed_open(line):
    # Guards against the same as a stage opens a run.
    async def script(target, path, writer):
        await target.send(writer, RESPONSE_HEAD + _chunk(line + b"\n"))
        await asyncio.Event().wait()

    target, client, outcome = await _open_stream(script)
    assert outcome.is_err()
    assert len(outcome.err_value.detail) < 500
    client.close()
    target.stop()


ODD_BODIES = [b"", b"null", b"7", b"{", NESTED, b'{"x":' + NESTED]


@pytest.mark.parametrize("value", [b"-2", BIG, b"1.5", b"null", b"[]"])
@pytest.mark.parametrize("name", [b"position", b"incarnation"])
async def test_odd_answer_to_a_probe_counts_as_none(name, value):
    # Guards against a probe that ends the epoch's task, and numbers that no later
    # report can exceed.
    odd = [*ODD_BODIES, b'{"%b":%b}' % (name, value)]
    # Each body answers one question of both kinds.
    bodies = [body for body in odd for _ in range(2)]

    async def script(target, path, writer):
        await target.send(writer, answer(bodies.pop()))

    target = ScriptedTarget(script)
    client = HttpClient()
    stage = Stage("runner-1", str(await target.start()), "", 0, 80)
    engine = EngineClient(client, SystemClock())
    while bodies:
        assert isinstance(await engine.probe(stage, "run", 500), ProbeFailure)
        assert not await engine.has_ended(stage, 7)
    client.close()
    target.stop()


def reply(status, body=b"{}"):
    return b"HTTP/1.1 %d X\r\ncontent-length: %d\r\n\r\n%b" % (status, len(body), body)


async def test_refusal_of_an_earlier_start_is_not_taken_for_a_later_one():
    # Guards against a caller who is told that a draft was not run while a stage runs
    # it: the stage wrote the refusal of another run's start once more.
    replies = [reply(409), reply(200), reply(503), reply(200), reply(200)]
    target = ScriptedTarget(late_duplicates(replies))
    client = HttpClient()
    stage = Stage("runner-1", str(await target.start()), "", 0, 80)
    engine = EngineClient(client, SystemClock())
    outcomes = []
    for number in range(4):
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
        outcomes.append((await engine.start(spec, [0])).is_ok())
    assert outcomes == [False, True, False, True]
    await engine.cancel(stage, "run", 1)
    assert target.connections == 5
    client.close()
    target.stop()


def _stream(body):
    return RESPONSE_HEAD + _chunk(body) + b"0\r\n\r\n" if body else reply(200, b"")


FAILING_ANSWERS = {
    "400": reply(400, b'{"error": "x"}'),
    "409": reply(409, OPENED_LINE),
    "500": reply(500, OPENED_LINE),
    "503": reply(503, OPENED_LINE),
    "204": b"HTTP/1.1 204 X\r\n\r\n",
    "text": _stream(b"Internal error\n\n"),
    "html": _stream(b"<html>\n<body>\n"),
    "text without an end": _stream(b"Internal error"),
    "garbage": b"\x16\x03\x01 no answer\r\n\r\n",
    "cut in a line": RESPONSE_HEAD + _chunk(b'{"event": "ope'),
}


@pytest.mark.parametrize("name", FAILING_ANSWERS)
async def test_failing_answer_to_an_open_is_none_of_its_lines(name):
    # Guards against a draft that goes on with the text of an error, or counts as open.
    async def script(target, path, writer):
        await target.send(writer, FAILING_ANSWERS[name])
        writer.close()

    target, client, outcome = await _open_stream(script)
    if outcome.is_ok():
        stream, lines = outcome.ok_value
        assert lines == []
    client.close()
    target.stop()


@pytest.mark.parametrize("start", INVALID_STARTS, ids=head_id)
async def test_run_with_an_invalid_answer_may_have_begun(start):
    # Guards against a run that counts as refused though the stage may have begun it.
    async def script(target, path, writer):
        await target.send(writer, answer(OPENED_LINE, start=start))
        writer.close()

    target, client, outcome = await _open_stream(script)
    assert outcome.unwrap_err().progress is Progress.SENT
    client.close()
    target.stop()


@pytest.mark.parametrize("start", INVALID_STARTS, ids=head_id)
async def test_check_with_an_invalid_answer_proves_nothing(start):
    # Guards against a run that counts as gone, or a runner as ended, because of an
    # answer that is none.
    async def script(target, path, writer):
        body = b'{"incarnation": 9, "position": 4}'
        await target.send(writer, answer(body, start=start))
        writer.close()

    target, client = ScriptedTarget(script), HttpClient()
    stage = Stage("runner-1", str(await target.start()), "", 0, 80)
    engine = EngineClient(client, SystemClock())
    assert await engine.probe(stage, "run", 300) is ProbeFailure.SILENT
    assert not await engine.has_ended(stage, 5)
    client.close()
    target.stop()
