"""Answers of real gateway processes around SIGTERM, on real sockets."""

import asyncio
import socket
import time

import pytest

from heathershunt.http import Response
from soak.site import GRACE_MS, Extent, SoakSite

ANSWER_BYTES = 600_000
READ_BYTES = 2000
READ_PAUSE_S = 0.008
RECEIVE_BUFFER_BYTES = 4096
SEGMENT_BYTES = 1460
# Answers take this long at a slow target; the grace time is ``GRACE_MS``.
SLOW_S = 2.0


@pytest.fixture
async def site():
    site = SoakSite(1, Extent(gateways=1))
    await site.start()
    try:
        async with asyncio.timeout(20):
            while not await is_served(site):
                await asyncio.sleep(0.05)
        yield site
    finally:
        await site.stop()


def address(site):
    return "127.0.0.1", site.gateways["vm-0"].ports["front"]


def request(site, path, number=0):
    host = site.configuration()["routes"][0]["host"]
    return (
        f"POST {path} HTTP/1.1\r\nhost: {host}\r\n"
        f"heathershunt-request-id: r{number}-{time.monotonic_ns()}\r\n"
        f"heathershunt-deadline-ms: 20000\r\nauthorization: Token {site.keys[0]}\r\n"
        "content-length: 1\r\n\r\nx"
    ).encode()


async def is_served(site):
    try:
        reader, writer = await asyncio.open_connection(*address(site))
    except OSError:
        return False
    writer.write(request(site, "/status/1"))
    line = await reader.readline()
    writer.close()
    return b" 200 " in line


def small_socket(site):
    """Return a connected socket over a small window."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    sock.connect(address(site))
    sock.setblocking(False)
    return sock


async def read_slowly(sock):
    """Return all that a slow caller receives until the connection ends."""
    loop, received = asyncio.get_running_loop(), b""
    while True:
        try:
            data = await loop.sock_recv(sock, READ_BYTES)
        except ConnectionError:
            return received
        if not data:
            return received
        received += data
        head, _, body = received.partition(b"\r\n\r\n")
        if len(body) >= ANSWER_BYTES:
            return received
        await asyncio.sleep(READ_PAUSE_S)


# Guards against answers that a process holds in its buffers as it ends, and that slow
# callers lose.
@pytest.mark.parametrize("path", ["/orders/1", "/status/1"])
async def test_slow_callers_get_their_answers_whole_after_sigterm(site, path):
    for name in ("desk-a", "desk-b"):
        site.targets[name].answer = lambda _: Response(200, {}, b"a" * ANSWER_BYTES)
    sockets = [small_socket(site) for _ in range(4)]
    for number, sock in enumerate(sockets):
        sock.send(request(site, path, number))
    readers = [asyncio.create_task(read_slowly(sock)) for sock in sockets]
    await asyncio.sleep(0.3)
    assert not await site.gateways["vm-0"].terminate()
    answers = await asyncio.gather(*readers)
    for sock in sockets:
        sock.close()
    bodies = [len(answer.partition(b"\r\n\r\n")[2]) for answer in answers]
    assert bodies == [ANSWER_BYTES] * len(sockets)


# Guards against requests that are taken late in a planned stop, passed on to a target
# and cut at the end of the grace time.
async def test_request_that_cannot_end_in_the_grace_time_is_not_passed_on(site):
    for name in ("desk-a", "desk-b"):
        slow_down(site.targets[name])
    learned = [await open_and_call(site) for _ in range(2)]
    assert all(b" 200 " in line for line in learned)
    late = [await asyncio.open_connection(*address(site)) for _ in range(3)]
    busy = asyncio.create_task(open_and_call(site))
    await asyncio.sleep(0.1)
    stopping = asyncio.create_task(site.gateways["vm-0"].terminate())
    await asyncio.sleep(GRACE_MS / 1000 * 0.45)
    before = len([run for t in site.targets.values() for run in t.runs])
    lines = []
    for reader, writer in late:
        writer.write(request(site, "/orders/late"))
        async with asyncio.timeout(GRACE_MS / 1000):
            lines.append(await reader.readline())
    assert all(b" 503 " in line for line in lines)
    assert len([run for t in site.targets.values() for run in t.runs]) == before
    assert b" 200 " in await busy
    await stopping


def slow_down(target):
    handle = target._answer

    async def answer(request):
        if request.path.startswith("/orders/"):
            await asyncio.sleep(SLOW_S)
        return await handle(request)

    target._answer = answer


async def open_and_call(site):
    reader, writer = await asyncio.open_connection(*address(site))
    writer.write(request(site, "/orders/1"))
    line = await reader.readline()
    writer.close()
    return line
