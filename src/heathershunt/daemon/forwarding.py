"""Requests that daemons forward to each other.

They resume a draft, run a service call with an idempotency key, or claim such a key.
"""

import asyncio
from dataclasses import asdict
from typing import TYPE_CHECKING, Any

import cbor2
import msgspec
from result import Err, Ok, Result

from heathershunt.bundle import ClientAccount
from heathershunt.daemon.relay import RESUME_KIND, DraftRelay
from heathershunt.http import (
    Response,
    StreamResponse,
    problem_response,
)
from heathershunt.peers import ForwardError, ForwardRequest, ReplyStream
from heathershunt.schema.cbor import decode_cbor
from heathershunt.schema.decoding import brief
from heathershunt.schema.fields import Whole
from heathershunt.services import Claim, ClaimFailure, ServiceCall
from heathershunt.verdict import Progress, Refusal, not_run

if TYPE_CHECKING:
    from heathershunt.daemon.app import Daemon

CALL_KIND = "service.call"
CLAIM_KIND = "service.claim"
CLAIMED_STATUS = 200
CLAIM_FAILED_STATUS = 409
MAX_REPLY_BACKLOG_BYTES = 262_144
# Together the time within which a link that broke under a call is to be open again.
MAX_FORWARDS = 10
FORWARD_DELAY_MS = 100


class _PeerStream:
    """Response stream that writes its body into a forwarded reply."""

    def __init__(self, reply: ReplyStream) -> None:
        self._reply = reply
        self._pending = bytearray()
        self._written = asyncio.Event()

    def write(self, data: bytes) -> None:
        self._pending += data
        self._written.set()

    def backlog(self) -> int:
        return len(self._pending)

    async def drain(self) -> None:
        while len(self._pending) > MAX_REPLY_BACKLOG_BYTES:
            await asyncio.sleep(0)
            await self.flush()

    async def wait_closed(self) -> None:
        # The forwarder cancels the handler when the link or the request ends.
        await asyncio.Event().wait()

    async def flush(self) -> None:
        data = bytes(self._pending)
        self._pending.clear()
        if data:
            await self._reply.write(data)

    async def pump(self) -> None:
        while True:
            await self._written.wait()
            self._written.clear()
            await self.flush()


class PeerRequests:
    """Forwards requests to peers and runs those that peers forward.

    .. versionadded:: 0.1
    """

    def __init__(self, daemon: "Daemon") -> None:
        self._daemon = daemon
        daemon.fleet.forwarder.add_handler(RESUME_KIND, self._run_resume)
        daemon.fleet.forwarder.add_handler(CALL_KIND, self._run_call)
        daemon.fleet.forwarder.add_handler(CLAIM_KIND, self._run_claim)

    async def resume(
        self, request_id: str, after: int, account: ClientAccount
    ) -> Response | StreamResponse:
        """Relay the events of a draft after ``after`` from the VM that owns it."""
        relay = DraftRelay(
            self._daemon.fleet.forwarder,
            self._daemon.clock,
            request_id,
            after,
            account.name,
        )
        return await relay.answer()

    async def call(
        self, vm: str, incarnation: int, call: ServiceCall, key: str, timeout_ms: int
    ) -> Result[Response, Progress]:
        """Forward a keyed call to the VM that owns its key.

        If the link breaks under the call, it is forwarded to the same incarnation once
        more: the owner has the key and starts no second run.

        :returns: the response or refusal, or how far the call got if no reply came.
        """
        clock = self._daemon.clock
        end = clock.now() + timeout_ms
        body = {"call": asdict(call), "key": key}
        progress = Progress.NOT_SENT
        for _ in range(MAX_FORWARDS):
            left = max(1, end - clock.now())
            outcome = await self._forward_call(vm, incarnation, body, left)
            if isinstance(outcome, Ok):
                return outcome
            if outcome.err_value is Progress.NOT_SENT and progress is not Progress.SENT:
                return outcome
            progress = Progress.SENT
            if clock.now() + FORWARD_DELAY_MS >= end:
                break
            await asyncio.sleep(FORWARD_DELAY_MS / 1000)
        return Err(progress)

    async def _forward_call(
        self, vm: str, incarnation: int, body: dict[str, Any], timeout_ms: int
    ) -> Result[Response, Progress]:
        outcome = await self._daemon.fleet.forwarder.call(
            vm,
            CALL_KIND,
            body=cbor2.dumps({**body, "timeout_ms": timeout_ms}),
            incarnation=incarnation,
            timeout_ms=timeout_ms,
        )
        if isinstance(outcome, Err):
            refusal = outcome.err_value.refusal
            if refusal is not None:
                return Ok(problem_response(refusal))
            return Err(outcome.err_value.progress)
        reply = outcome.ok_value
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return Ok(Response(reply.status, reply.headers, await reply.read()))
        except (ForwardError, TimeoutError):
            reply.cancel()
            return Err(Progress.SENT)

    async def claim(
        self, vm: str, claim: Claim, timeout_ms: int
    ) -> Result[Claim, ClaimFailure | Progress]:
        """Forward a claim to ``vm``, the home of the key's shard.

        :returns: the claim that holds the key, the failure that the home reported, or
            how far the request got if no usable reply came.
        """
        body = cbor2.dumps({"claim": list(claim), "timeout_ms": timeout_ms})
        outcome = await self._daemon.fleet.forwarder.call(
            vm, CLAIM_KIND, body=body, timeout_ms=timeout_ms
        )
        if isinstance(outcome, Err):
            return Err(outcome.err_value.progress)
        reply = outcome.ok_value
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                raw = decode_cbor(await reply.read())
            if reply.status == CLAIM_FAILED_STATUS:
                return Err(ClaimFailure(raw))
            return Ok(msgspec.convert(raw, Claim, builtin_types=(bytes,)))
        except (ForwardError, TimeoutError, ValueError, msgspec.ValidationError):
            reply.cancel()
            return Err(Progress.SENT)

    async def _run_resume(
        self, request: ForwardRequest, reply: ReplyStream
    ) -> Refusal | None:
        headers = request.headers
        response = self._daemon.drafts.resume_local(
            headers.get("id", ""), int(headers.get("after", "-1")), headers["account"]
        )
        await reply.start(response.status, response.headers)
        if isinstance(response, Response):
            await reply.write(response.body)
            return None
        stream = _PeerStream(reply)
        pump = asyncio.create_task(stream.pump())
        try:
            await response.run(stream)
        finally:
            pump.cancel()
            await asyncio.gather(pump, return_exceptions=True)
        await stream.flush()
        if response.on_confirmed:
            response.on_confirmed()
        return None

    async def _run_call(
        self, request: ForwardRequest, reply: ReplyStream
    ) -> Refusal | None:
        bundle = self._daemon.keeper.bundle
        try:
            raw = decode_cbor(request.body)
            call = msgspec.convert(raw["call"], ServiceCall, builtin_types=(bytes,))
            key = str(raw["key"])
            timeout_ms = msgspec.convert(raw["timeout_ms"], Whole)
        except (ValueError, KeyError, TypeError, msgspec.ValidationError) as error:
            return not_run(400, "Malformed request of a peer", brief(error))
        if bundle is None:
            return not_run(503, "Not ready", "no bundle is in force here yet", 1000)
        services = self._daemon.services
        response = await services.handle_forwarded(call, key, timeout_ms, bundle)
        await reply.start(response.status, response.headers)
        await reply.write(response.body)
        return None

    async def _run_claim(
        self, request: ForwardRequest, reply: ReplyStream
    ) -> Refusal | None:
        try:
            raw = decode_cbor(request.body)
            claim = msgspec.convert(raw["claim"], Claim, builtin_types=(bytes,))
            timeout_ms = msgspec.convert(raw["timeout_ms"], Whole)
        except (ValueError, KeyError, TypeError, msgspec.ValidationError) as error:
            return not_run(400, "Malformed request of a peer", brief(error))
        outcome = await self._daemon.services.claim_for_peer(claim, timeout_ms)
        if isinstance(outcome, Err):
            await reply.start(CLAIM_FAILED_STATUS, {})
            await reply.write(cbor2.dumps(outcome.err_value.value))
        else:
            await reply.start(CLAIMED_STATUS, {})
            await reply.write(cbor2.dumps(list(outcome.ok_value)))
        return None
