"""Responses on persistent connections that arrive after the next request was sent."""

import pytest
from result import Err

from heathershunt.http import (
    Address,
    HttpClient,
    HttpServer,
    Response,
    correlated,
)
from heathershunt.http.correlation import CORRELATION_HEADER
from heathershunt.verdict import Progress
from tests.scripted import ScriptedTarget, answer, field_of

NAME = CORRELATION_HEADER.encode()


def late_correlated_duplicates():
    """Return a script that repeats its last response before each new one."""
    last = {}

    async def script(target, path, writer):
        if writer in last:
            await target.send(writer, last[writer])
        number = field_of(target.head, NAME)
        last[writer] = answer(path.encode(), NAME + b": " + number + b"\r\n")
        await target.send(writer, last[writer])

    return script


@pytest.fixture
async def client():
    client = HttpClient()
    yield client
    client.close()


async def test_late_duplicate_response_is_rejected(client):
    # Guards against taking an older view or load report for the newest one.
    target = ScriptedTarget(late_correlated_duplicates())
    address = await target.start()
    replies = []
    for number in range(4):
        outcome = await client.exchange(address, "GET", f"/{number}", correlated=True)
        replies.append(outcome)
    target.stop()
    for number, outcome in enumerate(replies):
        if isinstance(outcome, Err):
            assert outcome.err_value.progress is Progress.SENT
        else:
            assert outcome.ok_value[1] == f"/{number}".encode()
    # A connection that is one response behind is closed at once, not reused until a
    # request times out.
    assert [isinstance(outcome, Err) for outcome in replies] == [0, 1, 0, 1]


async def test_correlated_handler_repeats_the_id(client):
    async def handle(request):
        return Response(200, {"content-type": "text/plain"}, request.path.encode())

    server = HttpServer(correlated(handle))
    await server.start("127.0.0.1", 0)
    address = Address("127.0.0.1", server.port)
    for path in ("/a", "/b"):
        outcome = await client.exchange(address, "GET", path, correlated=True)
        assert outcome.ok_value == (200, path.encode())
    outcome = await client.exchange(address, "GET", "/c")
    assert outcome.ok_value == (200, b"/c")
    await server.close()


async def test_response_without_the_id_is_rejected(client):
    async def handle(request):
        return Response(200, {}, b"anything")

    server = HttpServer(handle)
    await server.start("127.0.0.1", 0)
    address = Address("127.0.0.1", server.port)
    outcome = await client.exchange(address, "GET", "/a", correlated=True)
    assert outcome.is_err()
    await server.close()
