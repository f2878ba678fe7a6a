"""A stream to one caller, relayed from one or more runs on chains of runners."""

import asyncio
from functools import partial

from result import Err

from heathershunt.discovery import Target
from heathershunt.http import (
    Response,
    ResponseStream,
    StreamResponse,
    TransportError,
)
from heathershunt.logs.request_events import (
    RetryDenied,
    SendFailed,
    SendRejected,
    Sent,
    StreamBroken,
    StreamEnded,
    StreamRefused,
    StreamResumed,
)
from heathershunt.pipelines import Chain
from heathershunt.ratelimits import Statement
from heathershunt.relay.attempts import Attempts
from heathershunt.relay.capacity import CapacityGate
from heathershunt.relay.context import RelayContext
from heathershunt.relay.crashes import CrashWitness
from heathershunt.relay.events import StreamEvent
from heathershunt.relay.head_wait import HeadWait
from heathershunt.relay.messages import Dispatch, refuse
from heathershunt.relay.pauses import PauseMonitor
from heathershunt.relay.progress import StreamProgress
from heathershunt.relay.reading import READ_ERRORS, RunReader, read_error_body
from heathershunt.relay.repair import ChainRepair
from heathershunt.relay.runs import Run, StreamBrokenError
from heathershunt.relay.selection import ChainSelection
from heathershunt.relay.spec import StreamSpec
from heathershunt.verdict import Progress, Refusal, may_have_run, not_run

CONNECT_MS = 250
# Counts all sends of a request; ``Route.max_attempts`` counts only the runners that
# are still listed.
MAX_SENDS = 8
RETRY_AFTER_MS = 500
BACKLOG_BYTES = 65_536
SUCCESS = 200
SERVER_ERROR = 500


class StreamSession:
    """Relays one stream to a caller, and starts a new run when one breaks.

    .. versionadded:: 0.3
    """

    def __init__(
        self, context: RelayContext, capacity: CapacityGate, spec: StreamSpec
    ) -> None:
        self._context = context
        self._spec = spec
        self._request = spec.request
        self._timeouts = spec.timeouts
        self._attempts = Attempts(context.registry, spec.route.max_attempts)
        self._progress = StreamProgress(
            context.clock, spec.request.received_at, spec.request.last_event_id
        )
        self._crashes = CrashWitness(context, spec)
        self._selection = ChainSelection(
            context,
            capacity,
            spec,
            self._attempts,
            self._progress,
            self._crashes.is_blocked,
        )
        self._repair = ChainRepair(
            context, spec, self._selection, self._attempts, self._progress
        )
        self._pauses = PauseMonitor(context, spec, self._attempts, self._progress)
        self._reader = RunReader(
            context.clock,
            spec.deadline,
            self._pauses,
            self._repair,
            self._progress,
            self._crashes.on_writing,
        )
        self._head_wait = HeadWait(
            context.clock,
            spec.timeouts.first_event_check_ms,
            self._pauses,
            self._repair,
            self._crashes,
        )
        self._run: Run | None = None
        self._may_have_run = False
        self._refusal_detail = "no chain of runners holds all layers"
        self._tokens = spec.job.tokens

    # Opening

    async def open(self) -> Response | StreamResponse:
        """Return a streamed response once its first event has arrived, or a refusal."""
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
        """Start a run; return whether it started, or the final response."""
        context = self._context
        left_ms = self._spec.deadline - context.clock.now()
        if left_ms <= 0:
            return self._fail(True)
        if self._attempts.sends >= MAX_SENDS:
            return self._fail(False)
        chain = await self._selection.wait_for_chain()
        refused = self._crashes.refusal(self._may_have_run)
        if refused is not None:
            return self._refuse(refused)
        if chain is None:
            self._refusal_detail = self._selection.wait_detail or self._refusal_detail
            return self._fail(False)
        left_ms = self._spec.deadline - context.clock.now()
        if self._attempts.deliveries and not self._take_retry():
            context.events.emit(RetryDenied(self._request.id, self._spec.service))
            return self._fail(False)
        return await self._send(chain, left_ms)

    def _take_retry(self) -> bool:
        if self._attempts.use_reserved_retry():
            return True
        context = self._context
        return context.budget.take(
            self._spec.service, context.vm_count(), has_begun=self._progress.has_begun
        )

    async def _send(self, chain: Chain, left_ms: int) -> Response | bool:
        context = self._context
        request = self._request
        dispatch = Dispatch(
            chain.head,
            left_ms,
            self._spec.account,
            chain,
            self._spec.route.rank,
            self._progress.last_id,
        )
        context.events.emit(
            Sent(
                request.id,
                target=chain.head.id,
                chain=tuple(part.runner.id for part in chain.parts),
                sends=self._attempts.sends,
                waited_ms=context.clock.now() - request.received_at,
            )
        )
        self._attempts.sends += 1
        run = self._run = Run(chain, self._tokens, context.clock.now())
        context.ledger.add(chain, self._tokens)
        context.limits.record_send(chain.head)
        sending = context.http.request(
            chain.head.address,
            request.method,
            request.target,
            headers=context.wire.fields(request, dispatch),
            body=request.body,
            timeout_ms=left_ms,
            connect_ms=CONNECT_MS,
            fresh=True,
        )
        outcome = await self._head_wait.wait_for(run, sending)
        if isinstance(outcome, Err):
            self._drop_run()
            await self._on_send_failure(run, outcome.err_value)
            return False
        self._attempts.deliveries += 1
        was_sent_before = self._attempts.has_head(chain.head)
        self._attempts.add_head(chain.head)
        run.response = outcome.ok_value
        run.head = context.wire.reply_head(run.response)
        statement = Statement(run.head.limit_per_s, run.sent_at)
        context.limits.record(chain.head, statement)
        context.availability.record(chain.head, run.head.notice)
        if run.head.status == SUCCESS and run.head.request_id == request.id:
            self._may_have_run = True
            return True
        return await self._on_failure_reply(run, was_sent_before)

    async def _on_send_failure(self, run: Run, error: TransportError) -> None:
        chain = run.chain
        self._refusal_detail = error.detail
        event = SendFailed(
            self._request.id, chain.head.id, error.progress.value, error.detail
        )
        self._context.events.emit(event)
        if error.progress is Progress.NOT_SENT:
            self._avoid(chain.head)
            return
        self._attempts.deliveries += 1
        self._attempts.add_head(chain.head)
        self._may_have_run = True
        if self._crashes.is_blocked():
            return
        await self._crashes.on_broken_run(run)
        faulty = await self._context.diagnosis.find_faulty(chain)
        self._attempts.avoided.add((faulty or chain.head).id)

    async def _on_failure_reply(
        self, run: Run, was_sent_before: bool
    ) -> Response | bool:
        chain, head = run.chain, run.head
        if head.is_not_run:
            runner = chain.runner_at(head.faulty_address or "") or chain.head
            if runner.id != chain.head.id and not was_sent_before:
                # A later runner rejected the request. On another chain the first runner
                # would have accepted it, so this send does not count against it.
                self._attempts.remove_head(chain.head)
            self._refusal_detail = f"runner {runner.id} rejected it: {head.status}"
            event = SendRejected(self._request.id, runner.id, head.status)
            self._context.events.emit(event)
            self._drop_run()
            self._context.diagnosis.check_rejection(runner)
            return False
        self._may_have_run = True
        if head.request_id == self._request.id and head.status < SERVER_ERROR:
            left_ms = max(0, self._spec.deadline - self._context.clock.now())
            body = await read_error_body(run, left_ms)
            self._drop_run()
            if body is not None and not head.is_success:
                return Response(head.status, head.headers, body)
        self._refusal_detail = f"runner {chain.head.id}: status {head.status}"
        self._avoid(chain.head)
        self._drop_run()
        return False

    async def _first_events(self) -> list[StreamEvent] | None:
        """Return the first events of the run; ``None`` if it broke off before one."""
        try:
            events = await self._reader.next_events(
                self._run, self._timeouts.first_event_check_ms
            )
        except READ_ERRORS as error:
            await self._on_broken_run(error)
            return None
        if not events:
            await self._on_broken_run(StreamBrokenError("the stream has no event"))
            return None
        return events

    def _fail(self, is_timeout: bool) -> Response:
        if self._may_have_run:
            status, title = (504, "Timeout") if is_timeout else (502, "Runner failed")
            refusal = may_have_run(status, title, self._refusal_detail)
        else:
            wait_ms = max(RETRY_AFTER_MS, self._selection.told_wait_ms())
            refusal = not_run(503, "No chain", self._refusal_detail, wait_ms)
        return self._refuse(refusal)

    def _refuse(self, refusal: Refusal) -> Response:
        self._refusal_detail = refusal.detail
        event = StreamRefused(self._request.id, refusal.status, refusal.detail)
        self._context.events.emit(event)
        return refuse(self._context.wire, refusal, self._request)

    # Relaying

    async def _relay(self, sink: ResponseStream, events: list[StreamEvent]) -> None:
        """Write events until the stream ends; raise if it cannot be completed."""
        try:
            while events is not None:
                self._write(sink, events)
                if sink.backlog() > BACKLOG_BYTES:
                    await sink.drain()
                events = await self._next_or_resumed()
            self._record_end("complete")
        except asyncio.CancelledError:
            self._record_end("caller_left")
            raise
        except ConnectionError:
            self._record_end("broken")
            raise
        finally:
            self.close()

    def _record_end(self, outcome: str) -> None:
        run = self._run
        parts = run.chain.parts if run else ()
        event = StreamEnded(
            self._request.id,
            outcome=outcome,
            after=self._progress.last_id,
            first_event_ms=self._progress.first_event_ms,
            longest_gap_ms=self._progress.longest_gap_ms,
            sends=self._attempts.sends,
            replaced_chains=self._repair.replacements,
            chain=tuple(part.runner.id for part in parts),
            domains=tuple(sorted({part.runner.domain for part in parts})),
        )
        self._context.events.emit(event)

    def _write(self, sink: ResponseStream, events: list[StreamEvent]) -> None:
        data = self._progress.accept(events)
        if not data:
            return
        sink.write(data)
        if self._run and self._progress.last_gap_ms > self._timeouts.slow_gap_ms:
            self._context.diagnosis.refresh_paces(self._run.chain)

    async def _next_or_resumed(self) -> list[StreamEvent] | None:
        """Return the next events, if need be from a new run; ``None`` at the end."""
        try:
            return await self._reader.next_events(
                self._run, self._pauses.first_check_ms()
            )
        except READ_ERRORS as error:
            cause = error
        while True:
            await self._on_broken_run(cause)
            if not self._spec.route.is_resumable or self._progress.last_id is None:
                raise StreamBrokenError(str(cause)) from cause
            outcome = await self._start()
            if isinstance(outcome, Response):
                raise StreamBrokenError(self._refusal_detail)
            if not outcome:
                cause = StreamBrokenError(self._refusal_detail)
                continue
            event = StreamResumed(self._request.id, self._progress.last_id)
            self._context.events.emit(event)
            try:
                return await self._reader.next_events(
                    self._run, self._timeouts.first_event_check_ms
                )
            except READ_ERRORS as error:
                cause = error

    async def _on_broken_run(self, error: BaseException) -> None:
        """Log and release a run that ended early, and avoid the runner at fault."""
        run = self._run
        if run is None:
            return
        self._refusal_detail = str(error) or type(error).__name__
        event = StreamBroken(
            self._request.id,
            target=run.chain.head.id,
            after=self._progress.last_id,
            detail=self._refusal_detail,
            run_events=run.events,
        )
        self._context.events.emit(event)
        self._drop_run()
        if isinstance(error, TimeoutError):
            self._attempts.avoided.add(run.chain.head.id)
            return
        await self._crashes.on_broken_run(run)
        # The connection to the first runner also breaks when a later runner fails.
        faulty = await self._context.diagnosis.find_faulty(run.chain)
        if faulty is not None:
            self._attempts.avoided.add(faulty.id)

    def _avoid(self, runner: Target) -> None:
        self._attempts.avoided.add(runner.id)
        self._context.suspects.eject(runner)

    def _drop_run(self) -> None:
        run, self._run = self._run, None
        if run is not None:
            self._context.ledger.remove(run.chain, run.tokens)
            if run.response is not None:
                run.response.close()

    def close(self) -> None:
        """Close the connection to the first runner, which ends the run there."""
        self._drop_run()
