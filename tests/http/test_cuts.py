"""Each answer that is cut is reported once, with its cause."""

import asyncio

import pytest

from heathershunt.http import CutCause, HttpServer, Response, StreamResponse
from heathershunt.verdict import may_have_run

REQUEST = b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n"


@pytest.fixture
async def start():
    """Return a function that starts a server; it returns its port and its cuts."""
    servers = []

    async def start(handler):
        cuts = []
        server = HttpServer(handler, cancels_handlers=True, on_cut=cuts.append)
        await server.start("127.0.0.1", 0)
        servers.append(server)
        return server, cuts

    yield start
    for server in servers:
        await server.close()


async def send(server, data=REQUEST):
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    writer.write(data)
    await writer.drain()
    return reader, writer


async def until(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.01)


async def wait_forever(request):
    await asyncio.Event().wait()


async def test_caller_that_closes_is_reported_as_the_cause(start):
    # Guards against an abandoned request that leaves no trace.
    server, cuts = await start(wait_forever)
    _, writer = await send(server)
    await until(lambda: server.active_requests)
    writer.close()
    await until(lambda: cuts)
    (cut,) = cuts
    assert (cut.request.path, cut.cause) == ("/x", CutCause.CALLER_CLOSED)
    assert not cut.has_begun


async def test_failed_stream_is_reported_with_its_error(start):
    # Guards against an answer that breaks off without a line that says why.
    async def handle(request):
        async def run(sink):
            sink.write(b"part")
            raise ConnectionError("no chain is left")

        return StreamResponse(200, {}, run)

    server, cuts = await start(handle)
    reader, writer = await send(server)
    body = await reader.read()
    assert body.endswith(b"part\r\n"), "the answer must not look complete"
    (cut,) = cuts
    assert (cut.cause, cut.detail) == (CutCause.STREAM_FAILED, "no chain is left")
    assert cut.has_begun
    writer.close()


async def test_stop_of_the_process_reports_each_running_request(start):
    # Guards against requests that end with their process without being counted.
    server, cuts = await start(wait_forever)
    callers = [await send(server), await send(server)]
    await until(lambda: server.active_requests == len(callers))
    server.close_now()
    assert [cut.cause for cut in cuts] == [CutCause.STOPPED] * 2


async def test_answered_request_is_not_reported(start):
    # Guards against a count of lost answers that includes whole ones.
    async def handle(request):
        return Response(200, {}, b"done")

    server, cuts = await start(handle)
    reader, writer = await send(server)
    assert (await reader.read(1000)).endswith(b"done")
    writer.close()
    await asyncio.sleep(0.05)
    assert cuts == []


async def test_running_request_is_refused_as_the_process_stops(start):
    # Guards against a request that was read whole and gets neither an answer nor a
    # refusal, as its process ends.
    server, cuts = await start(wait_forever)
    reader, writer = await send(server)
    await until(lambda: server.active_requests)
    server.close_now(may_have_run(502, "Stopped", "the process stops"))
    async with asyncio.timeout(1):
        answer = await reader.read()
    assert answer.startswith(b"HTTP/1.1 502 ")
    assert b"connection: close" in answer.lower()
    assert b"may_have_run" in answer
    assert cuts == []
    writer.close()


async def test_answer_that_has_begun_is_not_completed_as_the_process_stops(start):
    # Guards against a truncated answer that looks complete.
    async def handle(request):
        async def run(sink):
            sink.write(b"part")
            await asyncio.Event().wait()

        return StreamResponse(200, {}, run)

    server, cuts = await start(handle)
    reader, writer = await send(server)
    answer = await reader.readuntil(b"part")
    server.close_now(may_have_run(502, "Stopped", "the process stops"))
    answer += await reader.read()
    assert answer.endswith(b"part\r\n")
    assert [cut.cause for cut in cuts] == [CutCause.STOPPED]
    writer.close()
