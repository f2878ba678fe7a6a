"""Targets that stop in the middle of their answer's head and close."""

import asyncio
import socket
import struct

import pytest

from tests.gateway.test_unframed_answers import RawTarget, event

FRAMINGS = {
    "length": (b"content-length: 4\r\n", b"done"),
    "chunks": (b"transfer-encoding: chunked\r\n", b"4\r\ndone\r\n0\r\n\r\n"),
    "unframed": (b"", b"done"),
}
# One cut in so many bytes of the head is tried, each time from another first one.
STEP = 29


class CuttingTarget(RawTarget):
    """Target that sends a part of an answer and ends the connection.

    :ivar sent_bytes: length of that part.
    :ivar line_end: what its head has in place of CR LF.
    """

    sent_bytes = 0
    framing = "length"
    is_reset = False
    line_end = b"\r\n"

    def answer_bytes(self, request_id):
        framing, body = FRAMINGS[self.framing]
        if self.kind is not None:
            body = event(1) + event(2) + event(3)
            body = {
                "length": body,
                "chunks": b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body),
                "unframed": body,
            }[self.framing]
            framing = framing.replace(b": 4", b": %d" % len(body))
        head = (
            b"HTTP/1.1 200 OK\r\nheathershunt-request-id: %b\r\n"
            b"heathershunt-response-signature: raw\r\n%b\r\n"
        ) % (request_id, framing)
        return head.replace(b"\r\n", self.line_end), body

    async def _serve(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        if head.startswith("get /report"):
            writer.close()
            return
        self.requests += 1
        request_id = head.partition("heathershunt-request-id: ")[2].partition("\r")[0]
        head, body = self.answer_bytes(request_id.encode())
        writer.write((head + body)[: self.sent_bytes])
        await writer.drain()
        await asyncio.sleep(0.005)
        if self.is_reset:
            linger = struct.pack("ii", 1, 0)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
            return
        writer.close()


@pytest.fixture
async def add_cutting(site):
    """Return a coroutine function that makes a cutting target the only one."""

    async def add_cutting(service, **changes):
        for target in site.targets.values():
            target.is_draining = True
            target.register()
        kind = "large" if service == "engine" else None
        target = CuttingTarget("raw", service, "a", site.store, site.fleet, kind)
        target.layers = (0, 80) if kind else None
        for name, value in changes.items():
            setattr(target, name, value)
        await target.start()
        site.targets["raw"] = target
        registry = site.gateways["vm-1"].state.registry
        await site.until(
            lambda: [item.id for item in registry.of_service(service)] == ["raw"]
        )
        return target

    return add_cutting


async def ask(site, service):
    """Send one request; return its status, 0 if the connection broke."""
    site.gateways["vm-1"].relay_context.suspects.discard("raw")
    try:
        if service == "desk":
            return (await site.call("POST", "/orders/7", b"x"))[0]
        response = await site.open_stream(events=3)
        await response.read()
        return response.status
    except OSError:
        return 0


# Guards against a success with an empty or short body, framed as whole, in place of an
# answer that its target never finished.
@pytest.mark.parametrize("service", ["desk", "engine"])
@pytest.mark.parametrize("is_reset", [False, True])
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("line_end", [b"\r\n", b"\n"])
async def test_head_that_is_cut_is_no_answer(
    site, add_cutting, service, is_reset, framing, line_end
):
    target = await add_cutting(
        service, is_reset=is_reset, framing=framing, line_end=line_end
    )
    head, _ = target.answer_bytes(b"request-1")
    first = 1 + len(framing) % STEP
    for sent_bytes in range(first, len(head), STEP):
        target.sent_bytes = sent_bytes
        assert not 200 <= await ask(site, service) < 300, head[:sent_bytes]
    assert target.requests


@pytest.mark.parametrize("service", ["desk", "engine"])
@pytest.mark.parametrize("framing", FRAMINGS)
async def test_whole_answer_of_the_same_target_is_passed_on(
    site, add_cutting, service, framing
):
    target = await add_cutting(service, framing=framing)
    target.sent_bytes = 10_000
    assert await ask(site, service) == 200
