"""Each request that was read whole ends in one answer, whatever the handler does."""

import asyncio
import socket
import time

import pytest

from heathershunt.http import HttpLimits, HttpServer, Response, StreamResponse

GET = b"GET %b HTTP/1.1\r\nhost: a\r\n\r\n"


async def handle(request):
    if request.path == "/raises":
        raise RuntimeError("the handler failed")
    if request.path == "/closed":
        raise ConnectionError("a connection that the handler uses was closed")
    if request.path == "/cancelled":
        task = asyncio.create_task(asyncio.sleep(9))
        task.cancel()
        await task
    if request.path == "/header":
        return Response(200, {"x": "line\nbreak"}, b"done")
    if request.path == "/charset":
        return Response(200, {"x": "\u20ac"}, b"done")
    if request.path == "/status":
        return Response(1000, {}, b"done")
    if request.path == "/bodiless":
        return Response(204, {}, b"done")
    if request.path == "/stream":
        return StreamResponse(200, {"x": "line\nbreak"}, write)
    return Response(200, {}, b"done")


async def write(sink):
    sink.write(b"part")


@pytest.fixture
async def server():
    server = HttpServer(handle, HttpLimits(idle_ms=300), cancels_handlers=True)
    await server.start("127.0.0.1", 0)
    yield server
    await server.close()


async def exchange(server, data):
    """Send bytes, and return all that comes until the connection is idle or closed."""
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    writer.write(data)
    answer = b""
    try:
        async with asyncio.timeout(1):
            while data := await reader.read(10_000):
                answer += data
    except TimeoutError:
        pass
    writer.close()
    return answer


@pytest.mark.parametrize(
    "path",
    [
        "/raises",
        "/closed",
        "/cancelled",
        "/header",
        "/charset",
        "/status",
        "/stream",
    ],
)
async def test_caller_gets_an_answer_if_the_handler_fails(server, path):
    # Guards against a whole request that gets neither an answer nor a refusal because
    # of an error in the router.
    answer = await exchange(server, GET % path.encode())
    assert answer.startswith(b"HTTP/1.1 500 ")
    assert b"may_have_run" in answer


async def test_answer_without_a_body_is_sent_though_the_handler_gives_one(server):
    # Guards against a connection that closes because an answer has a body that its
    # status does not allow.
    answer = await exchange(server, GET % b"/bodiless")
    assert answer.startswith(b"HTTP/1.1 204 ")
    assert b"done" not in answer


async def test_requests_after_a_failed_one_are_answered(server):
    # Guards against pipelined requests that are lost with one that failed.
    answer = await exchange(server, GET % b"/raises" + GET % b"/next")
    assert answer.count(b"HTTP/1.1 ") == 2
    assert answer.endswith(b"done")


async def test_request_that_arrives_as_the_idle_limit_ends_is_answered(server):
    # Guards against a request whose bytes are received in the iteration of the event
    # loop in which the idle limit of its connection ends.
    loop = asyncio.get_running_loop()
    with socket.create_connection(("127.0.0.1", server.port)) as sock:
        sock.setblocking(False)
        for _ in range(5):
            await loop.sock_sendall(sock, GET % b"/first")
            assert await receive_answer(sock)
            await asyncio.sleep(0.1)
            # The process gets no processor time from before the request arrives until
            # the limit has passed.
            sock.send(GET % b"/late")
            time.sleep(0.25)
            assert await receive_answer(sock)


async def receive_answer(sock):
    """Return whether an answer arrives on a connection."""
    answer = b""
    async with asyncio.timeout(1):
        while not answer.endswith(b"done"):
            data = await asyncio.get_running_loop().sock_recv(sock, 10_000)
            if not data:
                return False
            answer += data
    return True


async def test_longer_idle_limit_applies_to_a_connection_that_is_idle(server):
    # Guards against kept connections that close as their callers, who know the new
    # limit, use them again.
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    writer.write(GET % b"/first")
    await reader.readuntil(b"done")
    await asyncio.sleep(0.05)
    server.limits = HttpLimits(idle_ms=2000)
    await asyncio.sleep(0.6)
    writer.write(GET % b"/second")
    async with asyncio.timeout(1):
        assert (await reader.readuntil(b"done")).startswith(b"HTTP/1.1 200")
    writer.close()
