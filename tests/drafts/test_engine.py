"""The engine's client against stages that repeat themselves."""

import asyncio
import json

import pytest

from heathershunt.drafts.engine import MAX_LINE_BYTES, EngineClient, RunOrder
from heathershunt.http import HttpClient
from heathershunt.routing import Chain, Stage
from tests.scripted import ScriptedTarget, answer, late_copies


async def test_second_copy_of_a_stream_does_not_reach_the_next_run():
    # Guards against a caller that reads the text of somebody else's draft: the copy
    # comes when the next run has been opened on the connection.
    lines = [{"event": "opened", "text": f"run {number}"} for number in (1, 2, 3)]
    answers = [answer(json.dumps(line).encode() + b"\n") for line in lines]
    target = ScriptedTarget(late_copies(answers))
    client = HttpClient()
    stage = Stage("runner-1", str(await target.start()), "", 0, 80)
    for number in (1, 2, 3):
        order = RunOrder(
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
        stream, lines = (await EngineClient(client).open(order, 0)).unwrap()
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
    order = RunOrder("run", 1, chain, "prompt", (), 0, 10, 1, 0, 1000)
    outcome = await EngineClient(client).open(order, 0)
    return target, client, outcome


HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
LINE = b'{"event": "opened"}\n'


def _chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


async def test_part_of_a_line_is_no_line():
    # Guards against a stalled stage that passes for one that makes progress by a byte
    # now and then.
    async def script(target, path, writer):
        await target.send(writer, HEAD + _chunk(LINE))
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


async def test_line_without_end_is_given_up():
    # Guards against a stage that fills this process's memory.
    async def script(target, path, writer):
        await target.send(writer, HEAD + _chunk(LINE))
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
