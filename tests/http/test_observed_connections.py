"""What a client reports of its new connections."""

import asyncio
import errno

import pytest

from heathershunt.http import Address, HttpClient, HttpServer, Response
from heathershunt.http.client import HANG_MS
from standins.ports import free_port

CLOSED = Address("127.0.0.1", free_port())


@pytest.fixture
def seen():
    return []


@pytest.fixture
def client(seen):
    client = HttpClient()
    client.on_connection = lambda address, is_established: seen.append(is_established)
    yield client
    client.close()


@pytest.fixture
async def address():
    async def answer(request):
        return Response(200)

    server = HttpServer(answer)
    await server.start("127.0.0.1", 0)
    yield Address("127.0.0.1", server.port)
    await server.close()


def replace_acquire(client, action):
    async def acquire(address, fresh, connect_ms=1000):
        return await action()

    client._acquire = acquire


async def test_new_connections_are_reported(client, seen, address):
    await client.request(address, "GET", "/", fresh=True)
    await client.accepts(address, 100)
    assert seen == [True, True]


async def test_connections_of_the_pool_are_not(client, seen, address):
    # Guards against old connections that count as evidence of sound links.
    response = (await client.request(address, "GET", "/")).ok_value
    await response.read()
    await client.request(address, "GET", "/")
    assert seen == []


async def test_refused_connections_are_failures(client, seen):
    await client.request(CLOSED, "GET", "/", fresh=True)
    await client.accepts(CLOSED, 100)
    assert seen == [False, False]


@pytest.mark.parametrize("waited_ms", [10, HANG_MS + 60])
async def test_hanging_connection_counts_if_it_hung_for_long(client, seen, waited_ms):
    # Guards against the end of a caller's deadline as evidence on the links.
    replace_acquire(client, lambda: asyncio.sleep(10))
    await client.request(
        CLOSED, "GET", "/", fresh=True, timeout_ms=waited_ms, connect_ms=5000
    )
    assert seen == ([False] if waited_ms > HANG_MS else [])


async def test_cancelled_wait_counts_if_it_hung_for_long(client, seen):
    # Guards against a cut that stays unnoticed, as reports have short time limits.
    replace_acquire(client, lambda: asyncio.sleep(10))
    asking = asyncio.create_task(client.accepts(CLOSED, 5000))
    await asyncio.sleep((HANG_MS + 60) / 1000)
    asking.cancel()
    await asyncio.wait({asking})
    assert seen == [False]


async def test_lack_of_descriptors_is_no_evidence(client, seen):
    # Guards against a VM that takes its own limits for a cut.
    async def fail():
        raise OSError(errno.EMFILE, "too many open files")

    replace_acquire(client, fail)
    await client.request(CLOSED, "GET", "/", fresh=True)
    assert seen == []
