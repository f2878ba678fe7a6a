"""A planned stop while requests are being received or served.

Each of these requests was once cut without a response: its bytes had been received, but
it was not counted as being served.
"""

import asyncio
import errno
import gc
import os
import socket

import pytest

from heathershunt.http import HttpLimits, HttpServer, Response, StreamResponse

HEAD = b"POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\n"
REQUEST = HEAD + b"body"


@pytest.fixture
async def server():
    server = HttpServer(answer, cancels_handlers=True)
    await server.start("127.0.0.1", 0)
    yield server
    server.close_now()


async def answer(request):
    if request.path == "/stream":
        return StreamResponse(200, {}, write_slowly)
    return Response(200, {}, request.path.encode())


async def write_slowly(stream):
    for _ in range(3):
        stream.write(b"piece;")
        await asyncio.sleep(0.02)


async def stop(server):
    """Stop in the order of a process: nothing that was received is cut."""
    server.drain()
    server.stop_accepting()
    async with asyncio.timeout(2):
        while server.pending_connections:
            await asyncio.sleep(0.01)
    server.close_now()


async def open_connection(server):
    return await asyncio.open_connection("127.0.0.1", server.port)


async def read_answer(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    size = int(head.lower().partition(b"content-length:")[2].split()[0])
    assert head.startswith(b"HTTP/1.1 200")
    return head, await reader.readexactly(size)


async def test_connection_in_the_listen_backlog_is_served(server):
    # The event loop has not run since the caller connected.
    with socket.create_connection(("127.0.0.1", server.port)) as caller:
        caller.sendall(REQUEST)
        stopping = asyncio.create_task(stop(server))
        caller.setblocking(False)
        loop = asyncio.get_running_loop()
        received = await loop.sock_recv(caller, 1000)
        assert received.startswith(b"HTTP/1.1 200")
        assert b"connection: close" in received.lower()
        await stopping


async def test_connection_is_given_time_for_its_first_request(server):
    reader, writer = await open_connection(server)
    await asyncio.sleep(0.02)
    stopping = asyncio.create_task(stop(server))
    await asyncio.sleep(0.05)
    writer.write(REQUEST)
    assert (await read_answer(reader))[1] == b"/a"
    await stopping
    writer.close()


@pytest.mark.parametrize("cut", [5, len(HEAD) - 2, len(HEAD), len(REQUEST) - 1])
async def test_partly_received_request_is_served(server, cut):
    reader, writer = await open_connection(server)
    writer.write(REQUEST)
    await read_answer(reader)
    writer.write(REQUEST[:cut])
    await asyncio.sleep(0.02)
    stopping = asyncio.create_task(stop(server))
    await asyncio.sleep(0.05)
    writer.write(REQUEST[cut:])
    assert (await read_answer(reader))[1] == b"/a"
    await stopping
    writer.close()


async def test_unread_request_is_served(server):
    # The bytes are still in the kernel or in the stream reader when the stop begins.
    reader, writer = await open_connection(server)
    writer.write(REQUEST)
    await read_answer(reader)
    os.write(writer.get_extra_info("socket").fileno(), REQUEST)
    stopping = asyncio.create_task(stop(server))
    assert (await read_answer(reader))[1] == b"/a"
    await stopping
    writer.close()


async def test_pipelined_requests_are_all_served(server):
    reader, writer = await open_connection(server)
    writer.write(REQUEST * 3)
    await asyncio.sleep(0)
    stopping = asyncio.create_task(stop(server))
    heads = [(await read_answer(reader))[0] for _ in range(3)]
    assert [b"connection: close" in head.lower() for head in heads] == [
        False,
        False,
        True,
    ]
    await stopping
    writer.close()


async def test_running_stream_is_finished(server):
    reader, writer = await open_connection(server)
    writer.write(b"GET /stream HTTP/1.1\r\nhost: a\r\n\r\n")
    await reader.readuntil(b"piece;")
    stopping = asyncio.create_task(stop(server))
    rest = await reader.read()
    assert rest.count(b"piece;") == 2
    assert rest.endswith(b"0\r\n\r\n")
    await stopping
    writer.close()


async def test_idle_connection_does_not_delay_the_stop(server):
    reader, writer = await open_connection(server)
    writer.write(REQUEST)
    await read_answer(reader)
    await asyncio.sleep(0.02)
    await stop(server)
    assert await reader.read() == b""
    writer.close()


# Guards against a process that ends while it holds the end of an answer that a slow
# caller still reads.
@pytest.mark.parametrize("is_kept", [True, False])
async def test_answer_in_the_write_buffer_is_pending(is_kept):
    server = HttpServer(lambda request: large_answer())
    await server.start("127.0.0.1", 0)
    with socket.socket() as caller:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(caller, ("127.0.0.1", server.port))
        close = b"" if is_kept else b"connection: close\r\n"
        await loop.sock_sendall(caller, HEAD_OF_GET % close)
        await asyncio.sleep(0.2)
        stopping = asyncio.create_task(stop(server))
        await asyncio.sleep(0.2)
        received = 0
        while data := await loop.sock_recv(caller, 65_536):
            received += len(data)
    assert received > LARGE_BYTES
    await stopping


LARGE_BYTES = 8_000_000
HEAD_OF_GET = b"GET /a HTTP/1.1\r\nhost: a\r\n%b\r\n"


async def large_answer():
    return Response(200, {}, b"a" * LARGE_BYTES)


# Guards against the same without a word in the log, where the caller reads too slowly.
async def test_answer_that_is_discarded_at_the_stop_is_reported():
    cuts = []
    server = HttpServer(lambda request: small_answer(), on_cut=cuts.append)
    await server.start("127.0.0.1", 0)
    with socket.socket() as caller:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.connect(("127.0.0.1", server.port))
        caller.sendall(b"GET /a HTTP/1.1\r\nhost: a\r\n\r\n")
        await asyncio.sleep(0.1)
        server.drain()
        server.close_now()
        await asyncio.sleep(0.05)
    assert [(cut.cause.value, cut.request.target) for cut in cuts] == [
        ("not_delivered", "/a")
    ]


async def small_answer():
    # Below the size at which the server waits for the caller, above the kernel's.
    return Response(200, {}, b"a" * 200_000)


# Guards against a connection task that fails, as its caller reset the connection while
# a refusal was written: the transport learns of that only as it is half-closed.
async def test_refusal_to_a_caller_that_has_reset_its_connection_ends_quietly(
    server, monkeypatch
):
    def fail(writer):
        raise OSError(errno.ENOTCONN, "Transport endpoint is not connected")

    monkeypatch.setattr(asyncio.StreamWriter, "write_eof", fail)
    server.limits = HttpLimits(body_bytes=10)
    errors = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: errors.append(context))
    reader, writer = await open_connection(server)
    writer.write(HEAD.replace(b"4", b"400") + b"a" * 400)
    assert (await reader.readline()).startswith(b"HTTP/1.1 413")
    writer.close()
    await asyncio.sleep(0.1)
    gc.collect()
    await asyncio.sleep(0)
    assert errors == []
