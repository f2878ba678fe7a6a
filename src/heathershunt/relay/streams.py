"""Relay of streams over chains of runners, with recovery inside one answer."""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass
from functools import partial

import h11
from result import Err, Result

from heathershunt.catalog import Engine, Route
from heathershunt.clock import Millis
from heathershunt.discovery import Target
from heathershunt.http import (
    ClientResponse,
    Response,
    ResponseStream,
    StreamResponse,
    TransportError,
)
from heathershunt.logs.request_events import (
    ChainNotReplaced,
    ChainReplaced,
    PauseExamined,
    RetryDenied,
    SendFailed,
    SendRejected,
    Sent,
    StreamBroken,
    StreamEnded,
    StreamRefused,
    StreamResumed,
)
from heathershunt.pipelines import Chain, Job
from heathershunt.pipelines.runners import OrderOutcome
from heathershunt.relay.attempts import Attempts
from heathershunt.relay.events import EventSplitter, StreamEvent
from heathershunt.relay.messages import CallerRequest, Dispatch, ReplyHead, refuse
from heathershunt.relay.parts import RelayParts
from heathershunt.relay.patience import Patience
from heathershunt.relay.progress import StreamProgress
from heathershunt.relay.room import ROOM_POLL_MS, RoomGate
from heathershunt.verdict import Progress, may_have_run, not_run

CONNECT_MS = 250
# A runner sends the head of its reply with the first event.
HEAD_TIMEOUT_MS = 1200
# Sends of one request, whatever befell the runners.
MAX_SENDS = 8
RETRY_AFTER_MS = 500
BACKLOG_BYTES = 65_536
SUCCESS = 200
SERVER_ERROR = 500
READ_ERRORS = (OSError, TimeoutError, h11.RemoteProtocolError)


class StreamBrokenError(ConnectionError):
    """A stream that ends before its last event.

    .. versionadded:: 0.2
    """


@dataclass(slots=True)
class _Run:
    """One run of a stream at a chain.

    :param tokens: tokens reserved on the chain.
    """

    chain: Chain
    tokens: float
    response: ClientResponse
    head: ReplyHead
    splitter: EventSplitter


class StreamRelay:
    """Opens streams and relays their events.

    .. versionadded:: 0.2
    """

    def __init__(self, parts: RelayParts) -> None:
        self._parts = parts
        self._room = RoomGate(parts.clock)

    async def relay(
        self,
        request: CallerRequest,
        route: Route,
        service: str,
        engine: Engine,
        account: str | None,
        deadline: Millis,
    ) -> Response | StreamResponse:
        """Return the stream once its first event is there, or why there is none.

        :param deadline: time by which the stream must have ended.
        """
        self._parts.budget.note_request(service)
        session = _Session(
            self._parts, self._room, request, route, service, engine, account, deadline
        )
        try:
            return await session.open()
        except BaseException:
            session.close()
            raise


class _Session:
    """One stream of a caller, over as many runs as it takes."""

    def __init__(
        self,
        parts: RelayParts,
        room: RoomGate,
        request: CallerRequest,
        route: Route,
        service: str,
        engine: Engine,
        account: str | None,
        deadline: Millis,
    ) -> None:
        self._parts = parts
        self._room = room
        self._request = request
        self._route = route
        self._service = service
        self._engine = engine
        self._account = account
        self._deadline = deadline
        self._patience = Patience.from_route(route)
        self._attempts = Attempts(parts.registry, route.max_attempts)
        self._progress = StreamProgress(
            parts.clock, request.received_at, request.last_event_id
        )
        self._run: _Run | None = None
        self._may_have_run = False
        self._replaced_chains = 0
        self._refusal_detail = "no chain of runners holds all layers"
        likely = request.likely_tokens or engine.usual_answer or request.most_tokens
        answer = min(likely, request.most_tokens) if request.most_tokens else likely
        self._job = Job(request.prompt_tokens, max(1.0, answer))

    # Opening

    async def open(self) -> Response | StreamResponse:
        """Return a response that begins with the first event."""
        while True:
            outcome = await self._start()
            if isinstance(outcome, Response):
                self.close()
                return outcome
            if not outcome:
                continue
            run = self._run
            events = await self._first_events()
            if events is None:
                continue
            relay = partial(self._relay, events=events)
            return StreamResponse(
                SUCCESS, run.head.headers, relay, on_closed=self.close
            )

    async def _start(self) -> Response | bool:
        """Start a run; return whether there is one, or the final answer."""
        parts = self._parts
        left_ms = self._deadline - parts.clock.now()
        if left_ms <= 0:
            return self._fail(True)
        if self._attempts.sends >= MAX_SENDS:
            return self._fail(False)
        chain = await self._wait_for_chain()
        if chain is None:
            return self._fail(False)
        left_ms = self._deadline - parts.clock.now()
        if self._attempts.sends and not parts.budget.take(
            self._service, parts.vms(), has_begun=self._progress.has_begun
        ):
            parts.events.emit(RetryDenied(self._request.id, self._service))
            return self._fail(False)
        return await self._send(chain, left_ms)

    async def _wait_for_chain(self) -> Chain | None:
        """Return a chain with room, after a short wait if need be.

        Streams end all the time, so room that lacks now is often there soon; a caller
        that were sent away would come back later than that.
        """
        if not self._attempts.sends and self._choose(set(), needs_room=False) is None:
            return None
        while True:
            if self._room.may_look(self._service):
                chain = self._choose(self._suspects(), needs_room=True)
                if chain is not None:
                    return chain
                self._room.note_full(self._service)
            if self._wait_left_ms(self._patience.room_ms) <= 0:
                chain = self._choose_without_room()
                if chain is not None or not self._may_wait_on():
                    return chain
            await asyncio.sleep(ROOM_POLL_MS / 1000)

    def _choose_without_room(self) -> Chain | None:
        """Return a chain that seems full, or one with runners that failed lately.

        The loads are estimates, and the runners themselves know better. A runner that
        has just rejected a request would reject this one too, and each rejection is
        taken from the budget of repeats.
        """
        chain = self._choose(self._suspects(), needs_room=False)
        if chain is not None:
            return chain
        return self._choose(self._rejecting(), needs_room=False)

    def _wait_left_ms(self, patience_ms: float) -> float:
        """Return what is left of a wait, counted from the last event."""
        left_ms = self._deadline - self._parts.clock.now()
        return min(patience_ms - self._progress.paused_ms, left_ms)

    def _may_wait_on(self) -> bool:
        """Return whether a stream that has begun may wait for runners to recover."""
        if not self._progress.has_begun:
            return False
        return self._wait_left_ms(self._patience.leave_ms) > 0

    def _rejecting(self) -> set[str]:
        """Return runners that have just rejected a request."""
        registry, suspects = self._parts.registry, self._parts.suspects
        return {
            runner.id
            for runner in registry.of_service(self._service)
            if suspects.is_paused(runner)
        }

    def _suspects(self) -> set[str]:
        """Return runners that failed lately, or may have left during an outage."""
        registry, suspects = self._parts.registry, self._parts.suspects
        return {
            runner.id
            for runner in registry.of_service(self._service)
            if suspects.is_suspect(runner) or registry.is_missing(runner.id)
        }

    def _choose(self, suspects: set[str], needs_room: bool) -> Chain | None:
        parts = self._parts
        return parts.chooser.choose(
            self._engine,
            parts.registry.of_service(self._service),
            self._job,
            parts.vms(),
            self._attempts.avoided | suspects,
            heads=self._attempts.heads_left(),
            needs_room=needs_room,
        )

    async def _send(self, chain: Chain, left_ms: int) -> Response | bool:
        parts = self._parts
        request = self._request
        dispatch = Dispatch(
            chain.head,
            left_ms,
            self._account,
            chain,
            self._route.rank,
            self._progress.last_id,
        )
        parts.events.emit(
            Sent(
                request.id,
                target=chain.head.id,
                chain=tuple(part.runner.id for part in chain.parts),
                sends=self._attempts.sends,
                waited_ms=parts.clock.now() - request.received_at,
            )
        )
        parts.ledger.add(chain, self._job.tokens)
        response = None
        try:
            sending = parts.http.request(
                chain.head.address,
                request.method,
                request.target,
                headers=parts.wire.fields(request, dispatch),
                body=request.body,
                timeout_ms=min(left_ms, HEAD_TIMEOUT_MS),
                connect_ms=CONNECT_MS,
                fresh=True,
            )
            outcome = await self._await_head(chain, sending)
            if not isinstance(outcome, Err):
                response = outcome.ok_value
        finally:
            if response is None:
                parts.ledger.remove(chain, self._job.tokens)
        self._attempts.sends += 1
        if response is None:
            await self._on_send_failure(chain, outcome.err_value)
            return False
        was_known = self._attempts.has_head(chain.head)
        self._attempts.note_head(chain.head)
        head = parts.wire.reply_head(response)
        self._run = _Run(chain, self._job.tokens, response, head, EventSplitter())
        if head.status == SUCCESS and head.request_id == request.id:
            self._may_have_run = True
            return True
        return await self._on_failure_reply(chain, head, response, was_known)

    async def _await_head(
        self, chain: Chain, sending: Coroutine
    ) -> Result[ClientResponse, TransportError]:
        """Return the head of the reply, which comes with the first event.

        When it takes long, the runners are asked who is at fault.
        """
        task = asyncio.ensure_future(sending)
        is_taken = False
        try:
            timeout = self._patience.first_ms / 1000
            done, _ = await asyncio.wait({task}, timeout=timeout)
            faulty = None if done else await self._examine(chain)
            if faulty is not None and not task.done():
                detail = f"runner {faulty.id} does not answer"
                return Err(TransportError(Progress.SENT, detail))
            outcome = await task
            is_taken = True
            return outcome
        finally:
            if not is_taken:
                _abandon(task)

    async def _examine(self, chain: Chain) -> Target | None:
        """Return the runner that is at fault for a pause, if one is found."""
        faulty = await self._parts.diagnosis.find_faulty(chain)
        event = PauseExamined(
            self._request.id,
            target=chain.head.id,
            after=self._progress.last_id,
            faulty=faulty.id if faulty else None,
        )
        self._parts.events.emit(event)
        return faulty

    async def _on_send_failure(self, chain: Chain, error: TransportError) -> None:
        self._refusal_detail = error.detail
        event = SendFailed(
            self._request.id, chain.head.id, error.progress.value, error.detail
        )
        self._parts.events.emit(event)
        if error.progress is Progress.NOT_SENT:
            self._avoid(chain.head)
            return
        self._attempts.note_head(chain.head)
        self._may_have_run = True
        faulty = await self._parts.diagnosis.find_faulty(chain)
        self._attempts.avoided.add((faulty or chain.head).id)

    async def _on_failure_reply(
        self,
        chain: Chain,
        head: ReplyHead,
        response: ClientResponse,
        was_known: bool,
    ) -> Response | bool:
        if head.is_not_run:
            runner = chain.runner_at(head.faulty_address or "") or chain.head
            if runner.id != chain.head.id and not was_known:
                # The first runner would have taken the request on another chain.
                self._attempts.forget_head(chain.head)
            self._refusal_detail = f"runner {runner.id} rejected it: {head.status}"
            event = SendRejected(self._request.id, runner.id, head.status)
            self._parts.events.emit(event)
            self._drop_run()
            await self._parts.diagnosis.judge_rejection(runner)
            return False
        self._may_have_run = True
        if head.request_id == self._request.id and head.status < SERVER_ERROR:
            try:
                body = await response.read()
            except READ_ERRORS:
                body = None
            self._drop_run()
            if body is not None and not head.is_success:
                return Response(head.status, head.headers, body)
        self._refusal_detail = f"runner {chain.head.id}: status {head.status}"
        self._avoid(chain.head)
        self._drop_run()
        return False

    async def _first_events(self) -> list[StreamEvent] | None:
        """Return the first events of the run, ``None`` if it gave none."""
        try:
            events = await self._next_events(self._patience.first_ms)
        except READ_ERRORS as error:
            await self._on_break(error)
            return None
        if not events:
            await self._on_break(StreamBrokenError("the stream has no event"))
            return None
        return events

    def _fail(self, is_timeout: bool) -> Response:
        if self._may_have_run:
            status, title = (504, "Timeout") if is_timeout else (502, "Runner failed")
            refusal = may_have_run(status, title, self._refusal_detail)
        else:
            refusal = not_run(503, "No chain", self._refusal_detail, RETRY_AFTER_MS)
        event = StreamRefused(self._request.id, refusal.status, self._refusal_detail)
        self._parts.events.emit(event)
        return refuse(self._parts.wire, refusal, self._request)

    # Relaying

    async def _relay(self, sink: ResponseStream, events: list[StreamEvent]) -> None:
        """Write events until the stream ends; raise if it cannot be completed."""
        try:
            while events is not None:
                self._write(sink, events)
                if sink.backlog() > BACKLOG_BYTES:
                    await sink.drain()
                events = await self._next_or_resumed()
            self._note_end("complete")
        except asyncio.CancelledError:
            self._note_end("caller_left")
            raise
        except ConnectionError:
            self._note_end("broken")
            raise
        finally:
            self.close()

    def _note_end(self, outcome: str) -> None:
        run = self._run
        parts = run.chain.parts if run else ()
        event = StreamEnded(
            self._request.id,
            outcome=outcome,
            after=self._progress.last_id,
            first_event_ms=self._progress.first_event_ms,
            longest_gap_ms=self._progress.longest_gap_ms,
            sends=self._attempts.sends,
            replaced_chains=self._replaced_chains,
            chain=tuple(part.runner.id for part in parts),
            domains=tuple(sorted({part.runner.domain for part in parts})),
        )
        self._parts.events.emit(event)

    def _write(self, sink: ResponseStream, events: list[StreamEvent]) -> None:
        data = self._progress.take(events)
        if not data:
            return
        sink.write(data)
        if self._run and self._progress.gap_ms > self._patience.slow_gap_ms:
            self._parts.diagnosis.ask_for_paces(self._run.chain)

    async def _next_or_resumed(self) -> list[StreamEvent] | None:
        """Return the next events, from another run if need be; ``None`` at the end."""
        try:
            return await self._next_events(self._patience.gap_ms)
        except READ_ERRORS as error:
            cause = error
        while True:
            await self._on_break(cause)
            if not self._route.is_resumable or self._progress.last_id is None:
                raise StreamBrokenError(str(cause)) from cause
            outcome = await self._start()
            if isinstance(outcome, Response):
                raise StreamBrokenError(self._refusal_detail)
            if not outcome:
                cause = StreamBrokenError(self._refusal_detail)
                continue
            event = StreamResumed(self._request.id, self._progress.last_id)
            self._parts.events.emit(event)
            try:
                return await self._next_events(self._patience.first_ms)
            except READ_ERRORS as error:
                cause = error

    async def _next_events(self, patience_ms: float) -> list[StreamEvent] | None:
        """Return the next complete events; ``None`` at the end of the stream."""
        run = self._run
        while True:
            data = await self._read(run, patience_ms)
            if data is None:
                if run.splitter.has_partial:
                    raise StreamBrokenError("the stream ends inside an event")
                return None
            events = run.splitter.feed(data)
            if events:
                return events

    async def _read(self, run: _Run, patience_ms: float) -> bytes | None:
        """Read bytes; after a pause, find the runner at fault and go round it."""
        try:
            return await self._read_within(run, patience_ms)
        except TimeoutError:
            faulty = await self._examine(run.chain)
        if faulty is not None and not await self._repath(run, faulty):
            raise StreamBrokenError(f"runner {faulty.id} does not answer")
        return await self._read_within(run, self._second_patience_ms(run))

    def _second_patience_ms(self, run: _Run) -> float:
        """Return how long a run that works may go on pausing.

        Another chain has to read all tokens again, so a slow one is left late, and only
        while the request may still go elsewhere.
        """
        patience = self._patience
        may_leave = self._attempts.may_leave(run.chain.head)
        limit_ms = patience.leave_ms if may_leave else patience.abandoned_ms
        return max(1.0, limit_ms - self._progress.paused_ms)

    async def _read_within(self, run: _Run, patience_ms: float) -> bytes | None:
        left_ms = self._deadline - self._parts.clock.now()
        if left_ms <= 0:
            raise StreamBrokenError("the time limit has passed")
        async with asyncio.timeout(min(patience_ms, left_ms) / 1000):
            return await run.response.read_some()

    async def _repath(self, run: _Run, faulty: Target) -> bool:
        """Replace a runner of a running chain; return whether that was done."""
        parts = self._parts
        if faulty.id == run.chain.head.id:
            return False
        runners = parts.registry.of_service(self._service)
        chain = parts.chooser.choose(
            self._engine,
            runners,
            self._job,
            parts.vms(),
            self._suspects() | {faulty.id},
            run.chain.parts[0],
        )
        if chain is None:
            return False
        outcome = await parts.runners.repath(run.chain.head, self._request.id, chain)
        is_done = outcome in (OrderOutcome.BEGUN, OrderOutcome.DONE)
        event_type = ChainReplaced if is_done else ChainNotReplaced
        parts.events.emit(event_type(self._request.id, faulty.id, outcome.value))
        if is_done:
            parts.ledger.remove(run.chain, run.tokens)
            run.chain = chain
            parts.ledger.add(chain, run.tokens)
            self._replaced_chains += 1
        return is_done

    async def _on_break(self, error: BaseException) -> None:
        """Take note of a run that ended early."""
        run = self._run
        if run is None:
            return
        self._refusal_detail = str(error) or type(error).__name__
        event = StreamBroken(
            self._request.id,
            target=run.chain.head.id,
            after=self._progress.last_id,
            detail=self._refusal_detail,
        )
        self._parts.events.emit(event)
        self._drop_run()
        if isinstance(error, TimeoutError):
            self._attempts.avoided.add(run.chain.head.id)
            return
        # A chain also breaks off where a runner in its middle fails.
        faulty = await self._parts.diagnosis.find_faulty(run.chain)
        if faulty is not None:
            self._attempts.avoided.add(faulty.id)

    def _avoid(self, runner: Target) -> None:
        self._attempts.avoided.add(runner.id)
        self._parts.suspects.blame(runner)

    def _drop_run(self) -> None:
        run, self._run = self._run, None
        if run is not None:
            self._parts.ledger.remove(run.chain, run.tokens)
            run.response.close()

    def close(self) -> None:
        """Drop the connection to the runner, which ends its work."""
        self._drop_run()


def _abandon(task: asyncio.Future) -> None:
    """Cancel a request; drop its connection if the reply has come after all."""
    if not task.done():
        task.cancel()
    elif not task.cancelled() and task.exception() is None:
        outcome = task.result()
        if not isinstance(outcome, Err):
            outcome.ok_value.close()
