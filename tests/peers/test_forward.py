import asyncio

import pytest

from heathershunt.peers import ForwardError
from heathershunt.peers.forward import MAX_UNREAD_BYTES
from heathershunt.verdict import Progress, Verdict, not_run
from tests.nodes import until


@pytest.fixture
async def pair(start_node):
    first = await start_node("a")
    second = await start_node("b", first.address)
    await until(lambda: "a" in second.mesh.links_by_vm and second.state_of("a"))
    return first, second


async def echo(request, stream):
    await stream.start(200, {"kind": request.kind})
    for start in range(0, len(request.body), 100_000):
        await stream.write(request.body[start : start + 100_000])


async def test_body_and_reply_are_streamed_in_chunks(pair):
    first, second = pair
    first.forwarder.add_handler("echo", echo)
    body = bytes(range(256)) * 2000
    reply = (await second.forwarder.call("a", "echo", body=body)).ok_value
    assert (reply.status, reply.headers) == (200, {"kind": "echo"})
    assert await reply.read() == body
    assert second.mesh.links_by_vm["a"].active_calls == 0


async def test_refusal_is_returned_with_its_verdict(pair):
    first, second = pair

    async def refuse(request, stream):
        return not_run(503, "Busy", "no room", 700, "10.0.0.9:80")

    first.forwarder.add_handler("refuse", refuse)
    error = (await second.forwarder.call("a", "refuse")).err_value
    assert error.refusal == not_run(503, "Busy", "no room", 700, "10.0.0.9:80")
    unknown = (await second.forwarder.call("a", "other")).err_value
    assert unknown.verdict is Verdict.NOT_RUN


async def test_failure_before_sending_is_reported_as_not_sent(pair):
    _, second = pair
    missing = (await second.forwarder.call("nobody", "echo")).err_value
    restarted = await second.forwarder.call("a", "echo", incarnation=99)
    assert missing.progress is restarted.err_value.progress is Progress.NOT_SENT


async def test_request_that_timed_out_in_the_queue_is_never_sent(pair):
    """Guards against running a request that was already reported as not run."""
    first, second = pair
    ran = []

    async def record(request, stream):
        ran.append(request.body)

    first.forwarder.add_handler("record", record)
    socket = second.mesh.links_by_vm["a"]._socket
    send, gate = socket.send, asyncio.Event()

    async def gated(data):
        await gate.wait()
        await send(data)

    socket.send = gated
    first_call = second.forwarder.call("a", "record", body=b"1", timeout_ms=50)
    assert (await first_call).err_value.progress is Progress.SENT
    second_call = second.forwarder.call("a", "record", body=b"2", timeout_ms=50)
    assert (await second_call).err_value.progress is Progress.NOT_SENT
    gate.set()
    await second.forwarder.call("a", "record", body=b"3")
    assert b"3" in ran and b"2" not in ran


async def test_link_broken_after_sending_is_reported_as_sent(pair):
    first, second = pair

    async def abort(request, stream):
        first.mesh.links_by_vm["b"].abort()

    first.forwarder.add_handler("cut", abort)
    error = (await second.forwarder.call("a", "cut")).err_value
    assert (error.progress, error.verdict) == (Progress.SENT, Verdict.MAY_HAVE_RUN)


async def test_truncated_reply_raises(pair):
    first, second = pair

    async def half(request, stream):
        await stream.start(200, {})
        await stream.write(b"half")
        raise RuntimeError("the source of the reply failed")

    first.forwarder.add_handler("half", half)
    reply = (await second.forwarder.call("a", "half")).ok_value
    with pytest.raises(ForwardError):
        await reply.read()


async def test_cancelled_call_cancels_its_handler(pair):
    first, second = pair
    ended = asyncio.Event()

    async def wait(request, stream):
        await stream.start(200, {})
        try:
            await asyncio.Event().wait()
        finally:
            ended.set()

    first.forwarder.add_handler("wait", wait)
    reply = (await second.forwarder.call("a", "wait")).ok_value
    reply.cancel()
    await asyncio.wait_for(ended.wait(), 10)


async def test_unread_reply_is_bounded(pair):
    first, second = pair

    async def flood(request, stream):
        await stream.start(200, {})
        for _ in range(200):
            await stream.write(bytes(65_536))

    first.forwarder.add_handler("flood", flood)
    reply = (await second.forwarder.call("a", "flood")).ok_value
    await until(lambda: reply._end is not None)
    assert sum(map(len, reply._chunks)) <= MAX_UNREAD_BYTES
    with pytest.raises(ForwardError):
        await reply.read()
