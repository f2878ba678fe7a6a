import asyncio
import hashlib
import shutil
import ssl
from pathlib import Path

import pytest

from heathershunt.http import HttpClient, HttpServer, StreamResponse
from heathershunt.http.addresses import Address
from heathershunt.settings import TlsSettings
from heathershunt.tls import TlsContexts, TlsError
from standins.certificates import Authority

HOST = "127.0.0.1"


def digest_of(path):
    der = ssl.PEM_cert_to_DER_cert(Path(path).read_text())
    return hashlib.sha256(der).hexdigest()


async def served_digest(port, authority):
    """Return the SHA-256 of the certificate served to a new connection."""
    context = ssl.create_default_context(cafile=authority.path)
    _, writer = await asyncio.open_connection(HOST, port, ssl=context)
    der = writer.get_extra_info("ssl_object").getpeercert(True)
    writer.close()
    return hashlib.sha256(der).hexdigest()


async def test_reload_serves_the_new_certificate_and_cuts_no_stream(
    authority, tls_settings
):
    """A reload must not end responses that are being streamed."""
    contexts = TlsContexts(tls_settings)
    reloaded = asyncio.Event()

    async def write(stream):
        stream.write(b"first;")
        await reloaded.wait()
        stream.write(b"second")

    async def answer(request):
        return StreamResponse(200, {}, write)

    server = HttpServer(answer)
    await server.start(HOST, 0, contexts.server)
    try:
        client = HttpClient(ssl.create_default_context(cafile=authority.path))
        response = (
            await client.request(Address(HOST, server.port), "GET", "/")
        ).unwrap()
        before = await served_digest(server.port, authority)
        assert not contexts.reload()
        authority.issue("vm1")
        assert contexts.reload()
        after = await served_digest(server.port, authority)
        reloaded.set()
        assert await response.read() == b"first;second"
        assert before != after == digest_of(tls_settings.certificate)
    finally:
        await server.close()


async def test_half_replaced_files_keep_the_certificate_in_use(authority, tls_settings):
    """A reload between the writes of chain and key must not break the listener."""
    contexts = TlsContexts(tls_settings)
    before = digest_of(tls_settings.certificate)
    certificate, _ = authority.issue("vm2")
    shutil.copy(certificate, tls_settings.certificate)
    with pytest.raises(TlsError):
        contexts.reload()
    server = HttpServer(None)
    await server.start(HOST, 0, contexts.server)
    try:
        assert await served_digest(server.port, authority) == before
    finally:
        await server.close()


@pytest.mark.parametrize("content", [b"", b"\xff\x00", b"no certificate"])
def test_unusable_files_raise_a_one_line_error(tls_settings, content):
    Path(tls_settings.certificate).write_bytes(content)
    with pytest.raises(TlsError) as caught:
        TlsContexts(tls_settings)
    assert "\n" not in str(caught.value)


async def handshake(server_context, client_context):
    """Return whether a byte can be exchanged with the two contexts."""

    async def echo(reader, writer):
        try:
            writer.write(await reader.read(1))
            await writer.drain()
        except OSError:
            pass
        writer.close()

    server = await asyncio.start_server(echo, HOST, 0, ssl=server_context)
    port = server.sockets[0].getsockname()[1]
    writer = None
    try:
        reader, writer = await asyncio.open_connection(HOST, port, ssl=client_context)
        writer.write(b"x")
        return await reader.read(1) == b"x"
    except OSError:
        return False
    finally:
        if writer is not None:
            writer.close()
        server.close()


async def test_peers_need_a_certificate_of_the_peers_authority(
    tmp_path, authority, tls_settings
):
    """A process without a certificate of the authority must not connect to peers."""
    own = TlsContexts(tls_settings)
    peer = TlsContexts(TlsSettings(*authority.issue("vm2"), authority.path))
    assert await handshake(own.peer_server, peer.peer_client)
    anonymous = ssl.create_default_context(cafile=authority.path)
    assert not await handshake(own.peer_server, anonymous)
    other_authority = Authority(tmp_path, "stranger")
    certificate, key = other_authority.issue("vm3")
    impostor = TlsContexts(TlsSettings(certificate, key, authority.path))
    assert not await handshake(own.peer_server, impostor.peer_client)
    assert not await handshake(impostor.peer_server, own.peer_client)
