"""Socket options at both ends of a connection."""

import socket

import pytest

from heathershunt.http import (
    Address,
    HttpClient,
    HttpServer,
    Response,
    client as client_module,
    server,
)
from heathershunt.http.client_connection import ClientConnection
from heathershunt.http.connection import Connection


@pytest.fixture
def transports(monkeypatch):
    """Return a list to which the transports of both ends are added when opened."""
    opened = []

    class RecordedConnection(Connection):
        def __init__(self, reader, writer, *args):
            super().__init__(reader, writer, *args)
            opened.append(writer.transport)

    class RecordedClientConnection(ClientConnection):
        def __init__(self, address, reader, writer):
            super().__init__(address, reader, writer)
            opened.append(writer.transport)

    monkeypatch.setattr(server, "Connection", RecordedConnection)
    monkeypatch.setattr(client_module, "ClientConnection", RecordedClientConnection)
    return opened


@pytest.mark.parametrize("host", ["127.0.0.1", "::1"])
async def test_nagle_is_disabled_on_both_ends(transports, host):
    # Guards against an event of a stream, or a body after its head, that is delayed by
    # 40 ms until the peer acknowledges the bytes sent before.
    async def handle(request):
        return Response(200, {}, b"body")

    listener = HttpServer(handle)
    await listener.start(host, 0)
    client = HttpClient()
    await client.exchange(Address(host, listener.port), "GET", "/")
    assert len(transports) == 2
    for transport in transports:
        sock = transport.get_extra_info("socket")
        assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
    client.close()
    await listener.close()
