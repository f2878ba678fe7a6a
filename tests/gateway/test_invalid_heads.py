"""Targets whose answers have invalid statuses or are no HTTP/1 answers."""

import asyncio

import pytest

from standins.layer_runner import TargetStandIn
from tests.invalid_heads import INVALID_STARTS, head_id

LAYERS = (0, 80)
NOT_EXECUTED = b"heathershunt-not-executed: 1\r\n"
BODY = b"id: 1\ndata: body of an invalid answer\n\n"


class InvalidTarget(TargetStandIn):
    """Target whose reports are valid and whose answers begin with ``start_line``.

    :ivar claim: field by which the answers state that the request has not run.
    :ivar requests: number of requests received, without polls of its report.
    """

    start_line = b""
    claim = b""
    requests = 0

    async def start(self):
        self._raw = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._raw.sockets[0].getsockname()[1]}"
        self._targets_by_address[self.address] = self
        self.register()

    async def stop(self):
        self._raw.close()

    async def _serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        except asyncio.IncompleteReadError:
            # A check whether a process accepts connections sends no request.
            writer.close()
            return
        if head.startswith("get /report"):
            body, lines = self._report().body, b"HTTP/1.1 200 OK\r\n"
        else:
            self.requests += 1
            body, lines = BODY, self._answer_lines(head)
        writer.write(lines + b"content-length: %d\r\n\r\n%b" % (len(body), body))
        await writer.drain()
        writer.close()

    def _answer_lines(self, head):
        """Return the head without its length; it has all fields of a valid answer."""
        request_id = head.partition("heathershunt-request-id: ")[2].partition("\r")[0]
        return (
            b"%b\r\nheathershunt-request-id: %b\r\n%b"
            b"heathershunt-response-signature: raw\r\nretry-after: 60\r\n"
        ) % (self.start_line, request_id.encode(), self.claim)


@pytest.fixture
async def add_invalid(site):
    """Return a coroutine function that adds an invalid target to a service.

    All other targets of the service leave, except the one to ``keep``.
    """

    async def add_invalid(service, start, keep=None):
        for target in site.targets.values():
            target.is_draining = target.service == service and target.id != keep
            target.register()
        is_runner = service == "engine"
        target = InvalidTarget(
            "raw", service, "a", site.store, site.fleet, "large" if is_runner else None
        )
        target.layers = LAYERS if is_runner else None
        target.start_line = start
        await target.start()
        site.targets["raw"] = target
        expected = {"raw", keep} - {None}
        registry = site.gateways["vm-1"].state.registry
        await site.until(
            lambda: {item.id for item in registry.of_service(service)} == expected
        )
        return target

    return add_invalid


# Guards against an invalid answer, or its claim that the call has not run, that
# reaches a caller.
@pytest.mark.parametrize("start", INVALID_STARTS, ids=head_id)
@pytest.mark.parametrize("claim", [b"", NOT_EXECUTED], ids=["plain", "not run"])
async def test_call_with_an_invalid_answer_may_have_run(
    site, add_invalid, start, claim
):
    target = await add_invalid("desk", start)
    target.claim = claim
    status, headers, body = await site.call("POST", "/orders/7")
    assert status == 502
    assert "heathershunt-response-signature" not in headers
    assert b"invalid answer" not in body
    assert target.requests == 1


@pytest.mark.parametrize("start", INVALID_STARTS, ids=head_id)
async def test_idempotent_call_is_retried_after_an_invalid_answer(
    site, add_invalid, start
):
    target = await add_invalid("desk", start, keep="desk-b")
    # The first send goes to the target of the same domain, which is invalid.
    for _ in range(4):
        status, _, body = await site.call("GET", "/status/7")
        assert (status, body) == (200, b"done")
    assert target.requests


@pytest.mark.parametrize("start", INVALID_STARTS, ids=head_id)
async def test_stream_with_an_invalid_answer_may_have_run(site, add_invalid, start):
    await add_invalid("engine", start)
    response = await site.open_stream(events=3, heathershunt_deadline_ms="1500")
    body = await response.read()
    assert response.status in (502, 504)
    assert "heathershunt-response-signature" not in response.headers
    assert b"invalid answer" not in body
