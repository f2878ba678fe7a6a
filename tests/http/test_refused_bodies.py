"""Refusals of bodies over the limit, and what callers send after them."""

import asyncio
import socket
import time
from functools import partial

import pytest

from heathershunt.http import HttpLimits, HttpServer, Response

BODY_LIMIT = 20_000
PIECE = bytes(100_000)
HEAD = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n"
NEXT_REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"


@pytest.fixture
async def server():
    async def handle(request):
        return Response(200, {}, b"done")

    server = HttpServer(handle, HttpLimits(body_bytes=BODY_LIMIT))
    await server.start("127.0.0.1", 0)
    yield server
    await server.close()


async def test_refusal_before_the_next_request_announces_the_close(server):
    # Guards against a pipelined request that ends without an answer on a connection
    # whose close was not announced.
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    body = bytes(BODY_LIMIT + 1)
    writer.write(HEAD % len(body) + body + NEXT_REQUEST)
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    writer.close()
    assert head.startswith(b"http/1.1 413 ")
    assert b"connection: close\r\n" in head


def send_in_pieces(port):
    """Send a long body in two pieces, and return the first bytes of the answer."""
    with socket.create_connection(("127.0.0.1", port), timeout=2) as sock:
        sock.sendall(HEAD % (2 * len(PIECE)) + PIECE)
        time.sleep(0.2)
        sock.sendall(PIECE)
        return sock.recv(1000)


async def test_refusal_reaches_a_caller_that_is_still_sending(server):
    # Guards against a refusal that is lost, as the connection is reset beneath it
    # while the caller sends the rest of its body.
    loop = asyncio.get_running_loop()
    sending = partial(send_in_pieces, server.port)
    answer = await loop.run_in_executor(None, sending)
    assert answer.startswith(b"HTTP/1.1 413 ")
