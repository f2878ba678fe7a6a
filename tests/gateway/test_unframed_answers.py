"""Answers with neither a length nor chunks, which end with their connection."""

import asyncio
import socket
import struct

import msgspec
import pytest

from standins.layer_runner import TargetStandIn

LAYERS = (0, 80)


class RawTarget(TargetStandIn):
    """Target whose answers end with their connection.

    :ivar body: what it sends as the answer.
    :ivar is_reset: whether its first answer ends with a reset.
    """

    body = b""
    is_reset = False
    requests = 0

    async def start(self):
        self._raw = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._raw.sockets[0].getsockname()[1]}"
        self._targets_by_address[self.address] = self
        self.register()

    async def stop(self):
        self._raw.close()

    async def _serve(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        if head.startswith("get /report"):
            payload = msgspec.json.encode(msgspec.json.decode(self._report().body))
            writer.write(
                b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(payload)
            )
            writer.write(payload)
            writer.close()
            return
        self.requests += 1
        request_id = head.partition("heathershunt-request-id: ")[2].partition("\r")[0]
        writer.write(
            b"HTTP/1.1 200 OK\r\nheathershunt-request-id: %b\r\n"
            b"heathershunt-response-signature: raw\r\n\r\n" % request_id.encode()
        )
        writer.write(self._rest(head))
        await writer.drain()
        await asyncio.sleep(0.05)
        if self.is_reset and self.requests == 1:
            linger = struct.pack("ii", 1, 0)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
            return
        writer.close()

    def _rest(self, head):
        """Return the answer; after the last event that a resumed stream names."""
        last = int(head.partition("last-event-id: ")[2].partition("\r")[0] or 0)
        if not last:
            return self.body
        return b"".join(event(number) for number in range(last + 1, 4))


def event(number):
    return b"id: %d\ndata: event %d\n\n" % (number, number)


@pytest.fixture
async def add_raw(site):
    """Return a coroutine function that makes a raw target the only one of a service."""

    async def add_raw(service, body, is_reset=False):
        for target in site.targets.values():
            target.is_draining = True
            target.register()
        is_runner = service == "engine"
        target = RawTarget(
            "raw", service, "a", site.store, site.fleet, "large" if is_runner else None
        )
        target.layers = LAYERS if is_runner else None
        target.body, target.is_reset = body, is_reset
        await target.start()
        site.targets["raw"] = target
        registry = site.gateways["vm-1"].state.registry
        await site.until(
            lambda: [item.id for item in registry.of_service(service)] == ["raw"]
        )
        return target

    return add_raw


async def read_stream(site):
    response = await site.open_stream(events=3)
    return response.status, await response.read()


async def test_stream_that_ends_with_its_connection_is_complete(site, add_raw):
    whole = event(1) + event(2) + event(3)
    await add_raw("engine", whole)
    assert await read_stream(site) == (200, whole)


# Guards against an answer that broke off and reached the caller as complete.
@pytest.mark.parametrize("is_reset", [False, True])
async def test_stream_that_ends_inside_an_event_is_resumed(site, add_raw, is_reset):
    target = await add_raw("engine", event(1) + event(2)[:-4], is_reset)
    assert await read_stream(site) == (200, event(1) + event(2) + event(3))
    assert target.requests == 2


async def test_call_that_ends_with_its_connection_is_complete(site, add_raw):
    await add_raw("desk", b"whole answer")
    status, headers, body = await site.call("POST", "/orders/x")
    assert (status, body) == (200, b"whole answer")
    assert headers["heathershunt-response-signature"] == "raw"


# Guards against an answer that was reset on the way and reached the caller as complete.
async def test_call_that_is_reset_is_not_complete(site, add_raw):
    target = await add_raw("desk", b"half of the ans", is_reset=True)
    status, headers, _ = await site.call("POST", "/orders/x")
    assert status == 502
    assert "heathershunt-response-signature" not in headers
    assert target.requests == 1
