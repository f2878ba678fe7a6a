import asyncio
import datetime
import ipaddress
import random
import ssl

import logbook
import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from websockets.asyncio.client import connect

from heathershunt.clock import ManualClock
from heathershunt.peers import Hello, MeshTls, PartReply, PeerLink, encode_message
from heathershunt.peers.backoff import DialBackoff
from heathershunt.peers.link import MAX_QUEUE_BYTES
from tests.nodes import until


async def test_vms_link_to_each_other_once(start_node):
    """Guards against duplicate links when both sides dial."""
    first = await start_node("a")
    second = await start_node("b", first.address)
    third = await start_node("c", first.address)
    nodes = [first, second, third]
    await until(lambda: all(len(node.mesh.links_by_vm) == 2 for node in nodes))
    await until(lambda: all(len(n.mesh._server.connections) <= 2 for n in nodes))


@pytest.mark.parametrize("data", [b"\xff", "text", bytes(300_000)])
async def test_bad_message_closes_only_its_own_link(start_node, data):
    handler = logbook.TestHandler()
    with handler.applicationbound():
        await send_bad_message(start_node, data)
    assert any("closing the link to bad" in line for line in handler.formatted_records)


async def send_bad_message(start_node, data):
    node = await start_node("a")
    other = await start_node("b", node.address)
    await until(lambda: "b" in node.mesh.links_by_vm)
    kept = node.mesh.links_by_vm["b"]
    async with connect(f"ws://{node.address}/", proxy=None) as socket:
        await socket.send(encode_message(Hello("bad", 1)))
        await until(lambda: "bad" in node.mesh.links_by_vm)
        await socket.send(data)
        await until(lambda: "bad" not in node.mesh.links_by_vm)
    assert node.mesh.links_by_vm["b"] is kept
    assert not kept.closed and "a" in other.mesh.links_by_vm


async def test_silent_link_is_replaced(start_node):
    """Guards against keeping a connection that is open but carries no more data."""
    carries_data = []

    async def relay(reader, writer):
        far_reader, far_writer = await asyncio.open_connection(*target)
        carries_data.append(True)
        index = len(carries_data) - 1

        async def copy(source, sink):
            while data := await source.read(65_536):
                if carries_data[index]:
                    sink.write(data)
            sink.close()

        await asyncio.gather(copy(reader, far_writer), copy(far_reader, writer))

    first = await start_node("a")
    target = ("127.0.0.1", first.mesh.port)
    proxy = await asyncio.start_server(relay, "127.0.0.1", 0)
    port = proxy.sockets[0].getsockname()[1]
    second = await start_node("b")
    second.mesh.set_seeds([f"127.0.0.1:{port}"])
    await until(lambda: "a" in second.mesh.links_by_vm)
    silent = second.mesh.links_by_vm["a"]
    carries_data[0] = False
    await until(lambda: second.mesh.links_by_vm.get("a") not in (None, silent))
    await until(lambda: first.mesh.links_by_vm.get("b") is not None)
    assert silent.closed
    proxy.close()


async def test_close_of_an_unneeded_link_is_announced(start_node):
    """Guards against reporting the closed link to every VM as a failure."""
    first = await start_node("a")
    second = await start_node("b", first.address)
    await until(lambda: "b" in first.mesh.links_by_vm)
    await until(lambda: "a" in second.mesh.links_by_vm)
    links = [first.mesh.links_by_vm["b"], second.mesh.links_by_vm["a"]]
    for node, other in ((first, second), (second, first)):
        node.exchange.close()
        node.mesh.set_persistent_peers({other.members.vm: other.address})
    await asyncio.sleep(0.5)
    assert links[0].needed_by_peer and links[1].needed_by_peer
    second.mesh.set_persistent_peers({})
    await until(lambda: not links[0].needed_by_peer)
    first.mesh.set_persistent_peers({})
    await until(lambda: links[0].closed and links[1].closed)
    assert not links[1].needed_by_peer


class StuckSocket:
    """A connection whose other side neither reads nor sends."""

    class transport:
        @staticmethod
        def abort():
            pass

    async def send(self, data):
        await asyncio.Event().wait()

    async def recv(self):
        await asyncio.Event().wait()


async def test_send_queue_to_a_slow_peer_is_bounded():
    clock = ManualClock()
    link = PeerLink(StuckSocket(), Hello("b", 1), True, clock)
    task = asyncio.create_task(link.run(lambda *_: None))
    part = PartReply("", data=bytes(10_000))
    assert [link.offer(part) for _ in range(200)].count(False) > 90
    assert link.queued_bytes <= MAX_QUEUE_BYTES
    await asyncio.sleep(0)
    clock.advance(3001)
    link.received_at = clock.now()
    assert link.silent_ms(clock.now()) > 3000
    task.cancel()


def test_back_off_grows_with_jitter_and_ends_after_a_stable_link():
    backoff = DialBackoff(random.Random(1))
    now = 0
    delays = []
    for _ in range(8):
        backoff.record_failure("x", now)
        start = now
        while not backoff.is_due("x", now):
            now += 1
        delays.append(now - start)
    assert delays[0] <= 250 and 4000 <= delays[-1] <= 8000
    backoff.record_connection("x", now)
    assert not backoff.is_due("x", now + 10)
    backoff.record_connection("x", now)
    assert backoff.is_due("x", now + 60_000)


def issue_certificate(name, issuer_name, issuer_key, authority=False):
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    issuer = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, issuer_name)])
    start = datetime.datetime(2020, 1, 1)
    builder = x509.CertificateBuilder(
        issuer, subject, key.public_key(), 1 + len(name), start
    ).not_valid_after(datetime.datetime(2120, 1, 1))
    builder = builder.add_extension(x509.BasicConstraints(authority, None), True)
    host = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    builder = builder.add_extension(x509.SubjectAlternativeName([host]), False)
    return key, builder.sign(issuer_key or key, hashes.SHA256())


def pem(certificate):
    return certificate.public_bytes(serialization.Encoding.PEM)


def mesh_tls(tmp_path, name, authority, authority_key):
    key, certificate = issue_certificate(name, "authority", authority_key)
    path = tmp_path / f"{name}.pem"
    private = key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    path.write_bytes(private + pem(certificate))
    contexts = []
    for purpose in (ssl.PROTOCOL_TLS_SERVER, ssl.PROTOCOL_TLS_CLIENT):
        context = ssl.SSLContext(purpose)
        context.load_cert_chain(path)
        context.load_verify_locations(cadata=pem(authority).decode())
        context.verify_mode = ssl.CERT_REQUIRED
        contexts.append(context)
    return MeshTls(*contexts)


async def test_mutual_tls_admits_only_certificates_of_the_authority(
    start_node, tmp_path
):
    key, authority = issue_certificate("authority", "authority", None, authority=True)
    other_key, other_authority = issue_certificate(
        "authority", "authority", None, authority=True
    )
    first = await start_node("a", tls=mesh_tls(tmp_path, "a", authority, key))
    second = await start_node(
        "b", first.address, tls=mesh_tls(tmp_path, "bb", authority, key)
    )
    await until(lambda: "a" in second.mesh.links_by_vm)
    bad = mesh_tls(tmp_path, "ccc", other_authority, other_key)
    bad.client.load_verify_locations(cadata=pem(authority).decode())
    third = await start_node("c", first.address, tls=bad)
    await asyncio.sleep(0.3)
    assert not third.mesh.links_by_vm and "c" not in first.mesh.links_by_vm
