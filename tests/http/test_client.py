"""The client against targets that send duplicate, endless or truncated responses."""

import asyncio
import socket
import struct

import pytest

from heathershunt.http import HttpClient
from heathershunt.http.client import MAX_BODY_BYTES
from heathershunt.http.client_connection import MAX_INTERIM_RESPONSES
from heathershunt.verdict import Progress
from tests.scripted import ScriptedTarget, answer

FLOOD_PIECE = b"x" * 65_536
TIMEOUT_MS = 5000


@pytest.fixture
async def client():
    client = HttpClient()
    yield client
    client.close()


@pytest.fixture
async def start():
    """Return a function that starts a target that runs a script for each request."""
    targets = []

    async def start(script):
        target = ScriptedTarget(script)
        targets.append(target)
        return target, await target.start()

    yield start
    for target in targets:
        target.stop()


async def get(client, address, path):
    outcome = await client.exchange(address, "GET", path, timeout_ms=TIMEOUT_MS)
    return outcome.unwrap()[1]


def echo_twice(delay):
    """Answer each request twice, the second time after ``delay`` seconds if given."""

    async def script(target, path, writer):
        await target.send(writer, answer(path.encode()))
        if delay is None:
            await target.send(writer, answer(path.encode()))
        else:
            loop = asyncio.get_running_loop()
            loop.call_later(delay, writer.write, answer(path.encode()))

    return script


@pytest.mark.parametrize("delay", [None, 0.0, 0.03])
async def test_duplicate_response_is_not_returned(client, start, delay):
    # Guards against returning the response to the previous request on the connection.
    target, address = await start(echo_twice(delay))
    for number in range(4):
        path = f"/{number}"
        assert await get(client, address, path) == path.encode()
        await asyncio.sleep(0.06)
    assert target.connections == 4


async def test_duplicate_response_in_the_kernel_is_not_returned(client, start):
    # Guards against bytes that were received while the process was busy or paused: the
    # event loop has not read them yet when the connection is reused.
    written = asyncio.Event()

    async def script(target, path, writer):
        await target.send(writer, answer(path.encode()))
        await asyncio.sleep(0.02)
        writer.write(answer(b"late copy"))
        written.set()

    target, address = await start(script)
    assert await get(client, address, "/a") == b"/a"
    await written.wait()
    assert await get(client, address, "/b") == b"/b"
    assert target.connections == 2


async def test_connection_without_surplus_bytes_is_reused(client, start):
    async def script(target, path, writer):
        await target.send(writer, answer(path.encode()))

    target, address = await start(script)
    for path in ("/a", "/b", "/c"):
        assert await get(client, address, path) == path.encode()
        await asyncio.sleep(0.01)
    assert target.connections == 1


async def flood_body(target, path, writer):
    await target.send(writer, b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
    piece = b"%x\r\n%b\r\n" % (len(FLOOD_PIECE), FLOOD_PIECE)
    while True:
        await target.send(writer, piece)


async def flood_unframed_body(target, path, writer):
    await target.send(writer, b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n")
    while True:
        await target.send(writer, FLOOD_PIECE)


async def flood_head(target, path, writer):
    await target.send(writer, b"HTTP/1.1 200 OK\r\nx-flood: ")
    while True:
        await target.send(writer, FLOOD_PIECE)


async def flood_fields(target, path, writer):
    await target.send(writer, b"HTTP/1.1 200 OK\r\n")
    while True:
        await target.send(writer, b"x-flood: some text\r\n" * 1000)


async def flood_garbage(target, path, writer):
    while True:
        await target.send(writer, FLOOD_PIECE)


async def flood_size_line(target, path, writer):
    await target.send(writer, b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
    while True:
        await target.send(writer, b"1;" + FLOOD_PIECE)


async def flood_trailer(target, path, writer):
    await target.send(writer, b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
    await target.send(writer, b"0\r\n")
    while True:
        await target.send(writer, b"x-flood: some text\r\n" * 1000)


FLOODS = [
    flood_body,
    flood_unframed_body,
    flood_head,
    flood_fields,
    flood_garbage,
    flood_size_line,
    flood_trailer,
]


@pytest.mark.parametrize("script", FLOODS)
async def test_endless_response_is_aborted(client, start, script):
    # Guards against a target whose response fills the memory of the VM.
    target, address = await start(script)
    outcome = await client.exchange(
        address, "GET", "/", timeout_ms=TIMEOUT_MS, limit=MAX_BODY_BYTES
    )
    assert outcome.err_value.progress is Progress.SENT
    assert target.sent_bytes < 4 * MAX_BODY_BYTES


async def test_body_is_limited_by_default(client, start):
    target, address = await start(flood_body)
    response = (await client.request(address, "GET", "/")).ok_value
    with pytest.raises(ConnectionError):
        await response.read()
    assert target.sent_bytes < 4 * MAX_BODY_BYTES


async def test_endless_interim_responses_are_aborted(client, start):
    async def script(target, path, writer):
        while True:
            await target.send(writer, b"HTTP/1.1 100 Continue\r\n\r\n")
            await asyncio.sleep(0)

    _, address = await start(script)
    outcome = await client.exchange(address, "GET", "/", timeout_ms=TIMEOUT_MS)
    assert "interim" in outcome.err_value.detail
    assert outcome.err_value.progress is Progress.SENT


async def test_interim_responses_are_skipped(client, start):
    async def script(target, path, writer):
        for _ in range(MAX_INTERIM_RESPONSES):
            await target.send(writer, b"HTTP/1.1 102 Processing\r\n\r\n")
        await target.send(writer, answer(b"done"))

    _, address = await start(script)
    assert await get(client, address, "/") == b"done"


BROKEN = {
    "length short": b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf",
    "last chunk missing": (
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n"
    ),
    "chunk cut": b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n8\r\nhalf",
    "head cut": b"HTTP/1.1 200 OK\r\ncontent-le",
    "compressed and cut": (
        b"HTTP/1.1 200 OK\r\ncontent-encoding: gzip\r\ncontent-length: 10\r\n\r\n\x1f"
    ),
}


@pytest.mark.parametrize("is_reset", [False, True], ids=["fin", "rst"])
@pytest.mark.parametrize("data", BROKEN.values(), ids=BROKEN)
async def test_truncated_response_is_an_error(client, start, data, is_reset):
    async def script(target, path, writer):
        await target.send(writer, data)
        await asyncio.sleep(0.02)
        if is_reset:
            writer.transport.abort()
        raise ConnectionResetError

    _, address = await start(script)
    outcome = await client.exchange(address, "GET", "/", timeout_ms=TIMEOUT_MS)
    assert outcome.err_value.progress is Progress.SENT


async def test_reset_in_a_body_without_length_is_an_error(client, start):
    # An orderly close marks the end of such a body, but a reset does not.
    async def script(target, path, writer):
        await target.send(writer, b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf")
        await asyncio.sleep(0.02)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()
        raise ConnectionResetError

    _, address = await start(script)
    outcome = await client.exchange(address, "GET", "/", timeout_ms=TIMEOUT_MS)
    assert outcome.is_err()
