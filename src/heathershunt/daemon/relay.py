"""Relay of a draft's events from the VM that runs the draft to a caller."""

import asyncio
import re

import logbook
from result import Err, Ok, Result

from heathershunt.clock import Clock
from heathershunt.drafts.sse import DONE_EVENT, FINAL_MARK, error_event
from heathershunt.http import Response, ResponseStream, StreamResponse, problem_response
from heathershunt.peers import Forwarder, ForwardError, ForwardReply
from heathershunt.verdict import Progress, Refusal, may_have_run

log = logbook.Logger("heathershunt.daemon")

RESUME_KIND = "draft.resume"
RESUME_TIMEOUT_MS = 2000
# A relay whose reply broke off is opened again for this long without an event.
REOPEN_LIMIT_MS = 2000
REOPEN_DELAY_MS = 100
EVENT_END = b"\n\n"
EVENT_ID = re.compile(rb"^id: (\d+)$", re.MULTILINE)


class DraftRelay:
    """Relays the events of one draft, over one reply after another if they break off.

    The end of a link says nothing about the draft, which goes on at its VM. Only whole
    events are passed on, each once.

    :param after: id of the last event that the caller has, -1 for none.
    :param account: name of the caller's account.

    .. versionadded:: 0.8
    """

    def __init__(
        self,
        forwarder: Forwarder,
        clock: Clock,
        request_id: str,
        after: int,
        account: str,
    ) -> None:
        self._forwarder = forwarder
        self._clock = clock
        self._request_id = request_id
        self._vm, incarnation, _ = request_id.rsplit(".", 2)
        self._incarnation = int(incarnation)
        self._after = after
        self._account = account
        self._is_final = False
        self._is_done = False
        self._reply: ForwardReply | None = None

    async def answer(self) -> Response | StreamResponse:
        """Return the answer of the draft's VM, or a refusal if it gives none."""
        outcome = await self._open()
        if isinstance(outcome, Err):
            return problem_response(self._refusal(outcome.err_value))
        reply = outcome.ok_value
        if reply.status == 200:
            return StreamResponse(200, reply.headers, self._run)
        try:
            return Response(reply.status, reply.headers, await reply.read())
        except ForwardError as error:
            return problem_response(self._refusal(error))

    async def _open(self) -> Result[ForwardReply, ForwardError]:
        headers = {
            "id": self._request_id,
            "after": str(self._after),
            "account": self._account,
        }
        outcome = await self._forwarder.call(
            self._vm,
            RESUME_KIND,
            headers=headers,
            incarnation=self._incarnation,
            timeout_ms=RESUME_TIMEOUT_MS,
        )
        self._reply = outcome.ok_value if isinstance(outcome, Ok) else None
        return outcome

    async def _run(self, stream: ResponseStream) -> None:
        closed = asyncio.create_task(stream.wait_closed())
        closed.add_done_callback(lambda _: self._cancel("the caller disconnected"))
        try:
            await self._relay_all(stream, closed)
        finally:
            closed.cancel()
            self._cancel("the relay has ended")

    async def _relay_all(self, stream: ResponseStream, closed: asyncio.Task) -> None:
        """Relay until the answer has ended, if need be with an error event."""
        outcome = Ok(self._reply)
        while isinstance(outcome, Ok):
            try:
                await self._relay_reply(outcome.ok_value, stream)
                return
            except ForwardError as error:
                if closed.done():
                    raise ConnectionResetError("the caller disconnected") from None
                log.info("relay of {} broke off: {}", self._request_id, error.detail)
            if self._is_final:
                stream.write(b"" if self._is_done else DONE_EVENT)
                return
            outcome = await self._reopen()
        stream.write(error_event(self._refusal(outcome.err_value)))

    async def _relay_reply(self, reply: ForwardReply, stream: ResponseStream) -> None:
        rest = b""
        async for data in reply.chunks():
            events, end, rest = (rest + data).rpartition(EVENT_END)
            if not events:
                continue
            stream.write(events + end)
            self._record(events + end)
            await stream.drain()

    def _record(self, events: bytes) -> None:
        ids = EVENT_ID.findall(events)
        if ids:
            self._after = int(ids[-1])
        self._is_final = self._is_final or FINAL_MARK in events
        self._is_done = self._is_done or events.endswith(DONE_EVENT)

    async def _reopen(self) -> Result[ForwardReply, ForwardError]:
        """Open the relay again after its last event; try for ``REOPEN_LIMIT_MS``."""
        limit = self._clock.now() + REOPEN_LIMIT_MS
        while True:
            outcome = await self._open()
            if isinstance(outcome, Ok):
                return self._require_events(outcome.ok_value)
            if outcome.err_value.refusal is not None or self._clock.now() >= limit:
                return outcome
            await asyncio.sleep(REOPEN_DELAY_MS / 1000)

    def _require_events(
        self, reply: ForwardReply
    ) -> Result[ForwardReply, ForwardError]:
        """Return ``Err`` for a reply that is no event stream: the draft is gone."""
        if reply.status == 200:
            return Ok(reply)
        reply.cancel("the reply is no event stream")
        return Err(ForwardError(Progress.SENT, f"{self._vm} answered {reply.status}"))

    def _cancel(self, reason: str) -> None:
        if self._reply is not None:
            self._reply.cancel(reason)

    def _refusal(self, error: ForwardError) -> Refusal:
        """Return the refusal of the draft's VM, or one that says that it is gone."""
        if error.refusal is not None:
            return error.refusal
        detail = (
            f"{self._vm}, which ran this draft, is gone; repeat the request with the "
            "text of the tokens received in heathershunt.received and the answer goes "
            "on after it"
        )
        return may_have_run(410, "Owner gone", detail)
