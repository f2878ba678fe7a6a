import asyncio

import pytest

from heathershunt.http import (
    Address,
    HttpClient,
    HttpLimits,
    HttpServer,
    StreamResponse,
    json_response,
)
from heathershunt.verdict import Progress


async def echo(request):
    if request.path == "/stream":
        return StreamResponse(200, {}, write_three)
    if request.path == "/cut":
        return StreamResponse(200, {}, write_and_fail)
    return json_response(200, {"path": request.path, "size": len(request.body)})


async def write_three(stream):
    for index in range(3):
        stream.write(b"%d;" % index)
        await asyncio.sleep(0)


async def write_and_fail(stream):
    stream.write(b"half")
    raise RuntimeError("the source of the answer failed")


@pytest.fixture
async def server():
    server = HttpServer(echo, HttpLimits(body_bytes=100, request_ms=200))
    await server.start("127.0.0.1", 0)
    yield server
    await server.close()


@pytest.fixture
def address(server):
    return Address("127.0.0.1", server.port)


async def test_connection_is_reused_after_a_complete_response(address):
    client = HttpClient()
    for _ in range(3):
        outcome = await client.request_json(address, "POST", "/a", {"x": 1})
        assert outcome.ok_value == (200, {"path": "/a", "size": 8})
    client.close()


async def test_server_binds_to_an_ipv6_address():
    server = HttpServer(echo)
    await server.start("::1", 0)
    reader, writer = await asyncio.open_connection("::1", server.port)
    writer.write(b"GET /a HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
    assert (await reader.read()).startswith(b"HTTP/1.1 200")
    writer.close()
    await server.close()


async def test_streamed_body_ends_explicitly(address):
    client = HttpClient()
    response = (await client.request(address, "GET", "/stream")).ok_value
    assert await response.read() == b"0;1;2;"
    client.close()


async def test_connection_is_reused_after_a_streamed_response(address):
    """Guards against two tasks that read one connection, which aborts it."""
    client = HttpClient()
    for _ in range(3):
        response = (await client.request(address, "GET", "/stream")).ok_value
        assert await response.read() == b"0;1;2;"
        await asyncio.sleep(0.01)
        assert len(client._idle_by_address[address]) == 1
        assert client._idle_by_address[address][0].is_usable()
    client.close()


@pytest.mark.parametrize(
    "request_line, body",
    [
        (b"GET /stream HTTP/1.1", b"2\r\n0;\r\n2\r\n1;\r\n2\r\n2;\r\n0\r\n\r\n"),
        (b"GET /stream HTTP/1.0", b"0;1;2;"),
        (b"HEAD /stream HTTP/1.1", b""),
    ],
)
async def test_streamed_body_is_framed_as_the_request_allows(
    address, request_line, body
):
    """HTTP/1.0 has no chunked coding, and a response to HEAD has no body."""
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(request_line + b"\r\nhost: a\r\nconnection: close\r\n\r\n")
    received = await reader.read()
    assert received.partition(b"\r\n\r\n")[2] == body
    writer.close()


async def test_timeout_closes_the_idle_connections_to_the_address(address):
    """Guards against a time-out for each idle connection to a host that went down."""
    client = HttpClient()
    silent = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
    silent_address = Address("127.0.0.1", silent.sockets[0].getsockname()[1])
    client._idle_by_address[silent_address] = [
        await client._acquire(silent_address, True) for _ in range(3)
    ]
    assert (await client.request(silent_address, "GET", "/", timeout_ms=50)).is_err()
    assert silent_address not in client._idle_by_address
    silent.close()
    client.close()


async def test_failed_stream_is_an_error_for_the_client(address):
    response = (await HttpClient().request(address, "GET", "/cut")).ok_value
    with pytest.raises(ConnectionError):
        await response.read()


async def test_oversized_body_is_refused(address):
    outcome = await HttpClient().request_json(address, "POST", "/a", "x" * 200)
    status, problem = outcome.ok_value
    assert (status, problem["verdict"]) == (413, "not_run")


@pytest.mark.parametrize(
    "data", [b"\0\1\2\r\n\r\n", b"GET / HTTP/1.1\r\n\r\n", b"GET / HTTP/9\r\na\r\n\r\n"]
)
async def test_malformed_request_gets_a_4xx(address, data):
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(data)
    assert (await reader.read(12))[9:10] == b"4"
    writer.close()


async def test_slow_request_gets_a_408(address):
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nx")
    assert (await reader.read(12))[9:12] == b"408"
    writer.close()


async def test_refused_connection_counts_as_not_sent():
    server = HttpServer(echo)
    await server.start("127.0.0.1", 0)
    address = Address("127.0.0.1", server.port)
    await server.close()
    await asyncio.sleep(0)
    outcome = await HttpClient().request(address, "GET", "/")
    assert outcome.err_value.progress is Progress.NOT_SENT


async def test_request_that_is_no_longer_allowed_is_not_sent(address):
    """A process that was paused while connecting must not send an outdated request."""
    outcome = await HttpClient().request(address, "GET", "/", may_send=lambda: False)
    assert outcome.err_value.progress is Progress.NOT_SENT


@pytest.mark.parametrize("steps", range(6))
async def test_cancelled_connection_reports_no_loop_error(server, address, steps):
    # Guards against tracebacks in the log of each process that stops with open
    # connections, including one whose task has not begun to serve it.
    errors = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda loop, context: errors.append(context))
    before = asyncio.all_tasks()
    reader, writer = await asyncio.open_connection(address.host, address.port)
    async with asyncio.timeout(1):
        while not asyncio.all_tasks() - before:
            await asyncio.sleep(0)
    for _ in range(steps):
        await asyncio.sleep(0)
    for task in asyncio.all_tasks() - before:
        task.cancel()
    await asyncio.sleep(0.05)
    writer.close()
    assert errors == []


async def test_on_closed_is_called_if_the_caller_left_before_the_head():
    # Guards against a runner that keeps working for a caller that has disconnected: the
    # body of such a stream is never requested.
    closed = []
    is_handled = asyncio.Event()

    async def handle(request):
        await is_handled.wait()
        return StreamResponse(200, {}, write_three, on_closed=lambda: closed.append(1))

    server = HttpServer(handle)
    await server.start("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    await asyncio.sleep(0.05)
    for connection in server._connections:
        connection.writer.transport.abort()
    is_handled.set()
    await asyncio.sleep(0.05)
    writer.close()
    await server.close()
    assert closed == [1]
