"""A stream to one caller, relayed from one or more runs on chains of runners."""

import asyncio
from collections.abc import Coroutine
from functools import partial

from heathershunt.http import Response, ResponseStream, StreamResponse
from heathershunt.logs.request_events import StreamEnded, StreamRefused
from heathershunt.logs.run_events import RunHeld, RunRegained
from heathershunt.relay.attempts import Attempts
from heathershunt.relay.capacity import CapacityGate
from heathershunt.relay.context import RelayContext
from heathershunt.relay.crashes import CrashWitness
from heathershunt.relay.earlier import Fallback, Unserved, no_fallback
from heathershunt.relay.events import StreamEvent
from heathershunt.relay.handover import Outcome, Produced, hand_over
from heathershunt.relay.head_wait import HeadWait
from heathershunt.relay.messages import refuse
from heathershunt.relay.pauses import PauseMonitor
from heathershunt.relay.progress import StreamProgress
from heathershunt.relay.reading import READ_ERRORS, RunReader
from heathershunt.relay.repair import ChainRepair
from heathershunt.relay.runs import Run, RunPausedError, StreamBrokenError
from heathershunt.relay.selection import ChainSelection
from heathershunt.relay.spec import StreamSpec
from heathershunt.relay.starting import SUCCESS, RunStarter
from heathershunt.verdict import Refusal, Verdict

BACKLOG_BYTES = 65_536


class StreamSession:
    """Relays one stream to a caller, and starts a new run when one breaks or is silent.

    .. versionadded:: 0.3
    """

    def __init__(
        self,
        context: RelayContext,
        capacity: CapacityGate,
        spec: StreamSpec,
        fallback: Fallback = no_fallback,
    ) -> None:
        self._context = context
        self._fallback = fallback
        self._spec = spec
        self._request = spec.request
        self._timeouts = spec.timeouts
        self._attempts = Attempts(context.registry, spec.route.max_attempts)
        self._attempts.add_earlier(spec.earlier)
        self._progress = StreamProgress(
            context.clock, spec.request.received_at, spec.request.last_event_id
        )
        self._crashes = crashes = CrashWitness(context, spec)
        selection = ChainSelection(
            context,
            capacity,
            spec,
            self._attempts,
            self._progress,
            lambda: crashes.is_blocked() or not context.links.sends_locally,
        )
        self._repair = ChainRepair(
            context, spec, selection, self._attempts, self._progress
        )
        self._pauses = PauseMonitor(context, spec, self._attempts, self._progress)
        self._reader = RunReader(
            context.clock,
            spec.deadline,
            self._pauses,
            self._repair,
            self._progress,
            crashes,
        )
        head_wait = HeadWait(
            context.clock,
            spec.timeouts.first_event_check_ms,
            self._pauses,
            self._repair,
            crashes,
        )
        self._starter = RunStarter(
            context,
            spec,
            self._attempts,
            self._progress,
            crashes,
            selection,
            head_wait,
        )
        self._run: Run | None = None
        # Silent runs that are kept until another one has taken over, oldest first.
        self._held: list[Run] = []
        self._forwarded: StreamResponse | None = None
        self._is_fallback_spent = False

    # Runs

    async def open(self) -> Response | StreamResponse:
        """Return a streamed response once its first event has arrived, or a refusal."""
        outcome = await self._produce()
        if isinstance(outcome, Produced):
            relay = partial(self._relay, events=outcome.events)
            headers = self._run.head.headers
            return StreamResponse(SUCCESS, headers, relay, on_closed=self.close)
        # The connection of the caller closes the stream of another VM.
        self._forwarded = None
        self.close()
        return self._refuse(outcome) if isinstance(outcome, Refusal) else outcome

    async def _fall_back(self, refusal: Refusal) -> Outcome:
        """Return an answer by other means if there is one, else a refusal."""
        if self._is_fallback_spent or self._crashes.is_blocked():
            return refusal
        sends = self._attempts.all_sends(self._starter.may_have_run)
        unserved = Unserved(refusal, sends, self._progress.resume_point)
        answer = await self._fallback(unserved)
        if answer is None:
            return refusal
        # A VM that was lost may have used the attempts that are left.
        is_refusal = isinstance(answer, Refusal)
        self._is_fallback_spent = not is_refusal or (
            answer.verdict is not Verdict.NOT_RUN
        )
        if isinstance(answer, StreamResponse):
            self._forwarded = answer
        elif self._progress.has_begun:
            return refusal
        return answer

    async def _produce(self) -> Outcome:
        """Start runs until one sends events; return these, or why none does."""
        while True:
            is_spare = any(not held.is_released for held in self._held)
            run = await self._starter.start(is_spare)
            if isinstance(run, Refusal):
                return await self._fall_back(run)
            self._run = run
            outcome = await self._wait_for(run, self._first_outcome(run))
            if outcome is not None:
                return outcome

    async def _first_outcome(self, run: Run) -> Produced | Response | None:
        """Return the first events of a run; ``None`` if it failed before one."""
        if run.head is None:
            began = await self._starter.receive_head(run)
            if began is not True:
                return began or None
        return await self._next_outcome(run, self._timeouts.first_event_check_ms)

    async def _next_outcome(self, run: Run, check_ms: float) -> Produced | None:
        """Return the next events of a run; ``None`` if it failed before one."""
        try:
            events = await self._reader.next_events(run, check_ms)
        except READ_ERRORS as error:
            await self._starter.on_broken_run(run, error)
            return None
        if events is None and not self._progress.has_begun:
            empty = StreamBrokenError("the stream has no event")
            await self._starter.on_broken_run(run, empty)
            return None
        return Produced(events)

    async def _wait_for(
        self, run: Run, waiting: Coroutine[None, None, Outcome | None]
    ) -> Outcome | None:
        """Return what a run leads to, or another run if it is silent; ``None`` if none.

        :param waiting: waits for the events of the run.
        """
        try:
            return await waiting
        except RunPausedError as pause:
            return await self._hand_over(run, pause)

    async def _hand_over(self, run: Run, pause: RunPausedError) -> Outcome:
        """Keep a silent run, and start others until one of them delivers.

        A successor that is silent too is kept in the same way, inside of this race.
        """
        event = RunHeld(
            self._request.id, run.chain.head.id, self._progress.last_id, str(pause)
        )
        self._context.events.emit(event)
        self._starter.on_paused_run(run, pause)
        run.is_patient = True
        self._held.append(run)
        self._run = None
        outcome, is_regained = await hand_over(self._first_outcome(run), self._produce)
        index = self._held.index(run)
        # Later ones are left if this run ends the race that they are in.
        _, *later = self._held[index:]
        del self._held[index:]
        if is_regained:
            for other in (*later, self._run):
                self._starter.discard(other)
            self._close_forwarded()
            self._run = run
            run.is_patient = not self._spec.route.is_retryable
            self._on_regained(run)
        else:
            self._starter.release(run)
        return outcome

    def _on_regained(self, run: Run) -> None:
        """Use the runners of a run again that went on after a silence."""
        suspects = self._context.suspects
        for part in run.chain.parts:
            if suspects.is_ejected(part.runner):
                suspects.record_success(part.runner)
        event = RunRegained(
            self._request.id, run.chain.head.id, self._progress.paused_ms
        )
        self._context.events.emit(event)

    def _refuse(self, refusal: Refusal) -> Response:
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
                events = await self._next_events()
                if isinstance(events, StreamResponse):
                    await events.run(sink)
                    break
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

    async def _next_events(self) -> list[StreamEvent] | StreamResponse | None:
        """Return the next events, if need be from a new run; ``None`` at the end.

        If another VM continues the stream, the result is what it sends.

        :raises StreamBrokenError: if there is neither.
        """
        run = self._run
        may_resume = (
            self._spec.route.is_resumable and self._progress.last_id is not None
        )
        run.is_patient = not may_resume
        waiting = self._next_outcome(run, self._pauses.first_check_ms())
        outcome = await self._wait_for(run, waiting)
        if outcome is None and may_resume:
            self._run = None
            outcome = await self._produce()
        if isinstance(outcome, Produced):
            return outcome.events
        if isinstance(outcome, StreamResponse):
            return outcome
        if isinstance(outcome, Refusal):
            self._refuse(outcome)
        raise StreamBrokenError(self._starter.detail)

    def close(self) -> None:
        """Close the connections to the first runners, which ends the runs there."""
        for run in (self._run, *self._held):
            self._starter.release(run)
        self._close_forwarded()

    def _close_forwarded(self) -> None:
        """Close the connection to another VM, which ends the stream there."""
        forwarded, self._forwarded = self._forwarded, None
        if forwarded is not None and forwarded.on_closed is not None:
            forwarded.on_closed()
