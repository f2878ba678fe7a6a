"""One epoch of a draft: one attempt to generate the rest of its answer on one chain.

An epoch opens the run at all stages, starts it at the first one, reads the tokens from
the last one and detects failures.
"""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass

import logbook
import msgspec
from result import Err, Ok, Result

from heathershunt.clock import Clock, GapEstimator
from heathershunt.drafts.draft import Draft
from heathershunt.drafts.engine import (
    EngineClient,
    ProbeFailure,
    RunSpec,
    StageLine,
    StageStream,
    decode_trace,
)
from heathershunt.drafts.progress import (
    FIRST_TOKEN_LIMIT_MS,
    ProgressMonitor,
    StreamWatch,
)
from heathershunt.schema.decoding import brief
from heathershunt.verdict import Progress

log = logbook.Logger("heathershunt.drafts")

MAX_PROBE_ROUNDS = 3
# Part of the progress deadline in which every stage must answer if one of them has.
SHORT_PROBE_FRACTION = 0.25
# Limit for the first token of every epoch but the first, in progress deadlines; it is
# at most ``FIRST_TOKEN_LIMIT_MS``, the limit of the first epoch.
RECOVERY_DEADLINE_FACTOR = 2
# A chain that cannot be replaced is waited for while stages of it are silent, for up to
# this long after its last token.
SILENCE_LIMIT_MS = 5000


@dataclass(frozen=True)
class EpochFailure:
    """Why an epoch ended before the answer was complete.

    :param suspects: runners to leave out of the next chain.
    :param detail: what failed; sent to the caller if the draft ends with this epoch.
    :param is_confirmed: the suspects themselves failed, so other drafts avoid them too.
        False for a stage that answers probes but makes no progress: it may only be
        overloaded, and other drafts must not avoid it.
    """

    suspects: frozenset[str]
    detail: str
    is_confirmed: bool = True


class Epoch:
    """Runs one epoch of one draft.

    :param estimator: estimate of the gap between tokens, shared by the drafts of a
        model.
    :param on_first_token: called once, when this epoch's first token is accepted.
    :param on_silence: called with runners that answer no probe; returns whether a chain
        without them can take over.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        draft: Draft,
        spec: RunSpec,
        engine: EngineClient,
        monitor: ProgressMonitor,
        estimator: GapEstimator,
        clock: Clock,
        on_first_token: Callable[[], None] = lambda: None,
        on_silence: Callable[[frozenset[str]], bool] = lambda runners: True,
    ) -> None:
        self._draft = draft
        self._spec = spec
        self._engine = engine
        self._monitor = monitor
        self._estimator = estimator
        self._clock = clock
        self._on_first_token = on_first_token
        self._on_silence = on_silence
        self._progress_at = clock.now()
        self._streams: list[StageStream] = []
        self._tasks: list[asyncio.Task] = []
        self._outcome: asyncio.Future = asyncio.get_running_loop().create_future()
        self._watch = StreamWatch(float("inf"), self._on_stall)
        self._last_token_at: int | None = None
        self._probe_rounds = 0
        self._stalled_positions: list[int | None] = []
        self._accepted_trace: msgspec.Raw | None = None
        self._expected_trace = [
            [stage.runner, stage.first_layer, stage.end_layer, spec.chain.version]
            for stage in spec.chain.stages
        ]

    async def run(self) -> Result[None, EpochFailure]:
        """Run until the answer is complete (``Ok``) or the epoch has failed (``Err``).

        On return or cancellation the streams of all stages are closed.
        """
        try:
            opened = await self._open_stages()
            if isinstance(opened, Err):
                return opened
            started = await self._start(opened.ok_value)
            if isinstance(started, Err):
                return started
            return await self._outcome
        finally:
            self._monitor.unregister(self._watch)
            for task in self._tasks:
                task.cancel()
            for stream in self._streams:
                stream.close()

    async def _open_stages(self) -> Result[list[int], EpochFailure]:
        stages = self._spec.chain.stages
        outcomes = await asyncio.gather(
            *(self._engine.open(self._spec, index) for index in range(len(stages)))
        )
        cached_positions = []
        suspects = {}
        for stage, outcome in zip(stages, outcomes, strict=True):
            if isinstance(outcome, Err):
                suspects[stage.runner] = outcome.err_value.detail
                continue
            stream, lines = outcome.ok_value
            self._streams.append(stream)
            opened = lines[0] if lines else StageLine("end")
            if not self._is_expected(stage, opened):
                suspects[stage.runner] = f"{stage.runner} holds other layers"
            cached_positions.append(opened.kv_positions)
        if suspects:
            return Err(EpochFailure(frozenset(suspects), "; ".join(suspects.values())))
        return Ok(cached_positions)

    def _is_expected(self, stage, opened: StageLine) -> bool:
        return (
            opened.event == "opened"
            and opened.runner == stage.runner
            and opened.first_layer == stage.first_layer
            and opened.end_layer == stage.end_layer
            and opened.version == self._spec.chain.version
        )

    async def _start(self, cached_positions: list[int]) -> Result[None, EpochFailure]:
        last = len(self._streams) - 1
        for index, stream in enumerate(self._streams):
            self._spawn(self._read_stream(stream, is_last=index == last))
        self._watch.deadline = self._clock.now() + self._first_token_limit_ms()
        self._monitor.register(self._watch)
        # Set before the call, since a call that is cancelled may have been sent.
        before = self._draft.may_have_started
        self._draft.may_have_started = True
        outcome = await self._engine.start(self._spec, cached_positions)
        if isinstance(outcome, Ok):
            return Ok(None)
        error = outcome.err_value
        if error.progress is not Progress.SENT:
            self._draft.may_have_started = before
        first = self._spec.chain.stages[0].runner
        return Err(EpochFailure(frozenset({first}), error.detail))

    def _first_token_limit_ms(self) -> float:
        """Return how long the first token may take before the stages are probed.

        In the first epoch the prompt is computed first; later epochs at most rebuild
        the KV cache.
        """
        if self._spec.epoch == 1:
            return FIRST_TOKEN_LIMIT_MS
        wait_ms = RECOVERY_DEADLINE_FACTOR * self._estimator.stall_timeout_ms()
        return min(FIRST_TOKEN_LIMIT_MS, wait_ms)

    async def _read_stream(self, stream: StageStream, is_last: bool) -> None:
        runner = stream.stage.runner
        try:
            while lines := await stream.read_lines():
                for line in lines:
                    if line.event == "token" and is_last:
                        self._accept_token(line, runner)
                    elif line.event == "end" and not self._draft.is_complete:
                        if is_last or line.reason != "done":
                            self._fail(
                                {runner}, f"{runner} ended: {brief(line.reason)}"
                            )
            if is_last:
                self._fail({runner}, f"{runner} closed its stream")
        except (OSError, ValueError) as error:
            self._fail({runner}, f"stream of {runner}: {error}")

    def _accept_token(self, line: StageLine, runner: str) -> None:
        if line.epoch != self._spec.epoch or self._outcome.done():
            return
        if line.trace != self._accepted_trace and not self._trace_matches(line.trace):
            suspects = self._trace_suspects(decode_trace(line.trace)) or {runner}
            self._fail(suspects, f"position {line.position} ran over other stages")
            return
        if not self._draft.accept(line.position, line.text, line.last):
            if line.position > len(self._draft.tokens):
                self._fail(set(), f"position {line.position} came too early")
            return
        if self._last_token_at is None:
            self._on_first_token()
        self._extend_deadline()
        if self._draft.is_complete:
            self._outcome.set_result(Ok(None))

    def _trace_matches(self, trace: msgspec.Raw) -> bool:
        """Return whether a trace equals the chain's.

        The bytes of a matching trace are kept, so that equal bytes are not decoded.
        """
        if decode_trace(trace) != self._expected_trace:
            return False
        self._accepted_trace = trace.copy()
        return True

    def _trace_suspects(self, trace: list) -> set[str]:
        pairs = zip(self._expected_trace, trace, strict=False)
        return {expected[0] for expected, actual in pairs if expected != actual}

    def _extend_deadline(self) -> None:
        now = self._clock.now()
        if self._last_token_at is not None:
            self._estimator.observe(now - self._last_token_at)
        self._last_token_at = self._progress_at = now
        self._probe_rounds = 0
        self._stalled_positions = []
        self._watch.deadline = now + self._estimator.stall_timeout_ms()

    def _fail(self, suspects: set[str], detail: str, is_confirmed: bool = True) -> None:
        if not self._outcome.done():
            failure = EpochFailure(frozenset(suspects), detail, is_confirmed)
            self._outcome.set_result(Err(failure))

    def _on_stall(self) -> None:
        self._spawn(self._probe_stages())

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        """Run ``work`` until the epoch ends; an error in it fails the epoch."""
        task = asyncio.create_task(work)
        self._tasks.append(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task) -> None:
        if task.cancelled() or task.exception() is None:
            return
        error = task.exception()
        exc_info = (type(error), error, error.__traceback__)
        log.error("run {} failed", self._spec.run, exc_info=exc_info)
        detail = f"error while the run was read: {type(error).__name__}"
        self._fail(set(), detail, is_confirmed=False)

    async def _probe_stages(self) -> None:
        """Probe all stages over new connections after a stall, before one is suspected.

        The epoch fails if a stage does not have the run, if one does not answer and
        another chain can take over, if the last stage has computed tokens that its
        stream did not deliver, if no stage has moved since the last round of probes, or
        after ``MAX_PROBE_ROUNDS`` rounds without a token. Otherwise the deadline is
        extended.
        """
        stages = self._spec.chain.stages
        self._probe_rounds += 1
        for stage in stages:
            self._engine.close_idle_connections(stage)
        token_count = len(self._draft.tokens)
        positions = await self._probe_positions()
        if len(self._draft.tokens) != token_count or self._outcome.done():
            return
        failures_by_runner = {
            stage.runner: position
            for stage, position in zip(stages, positions, strict=True)
            if isinstance(position, ProbeFailure)
        }
        if failures_by_runner:
            self._handle_failed_probes(failures_by_runner)
        elif positions[-1] >= token_count:
            self._fail(set(), "the stream went silent while the stage goes on")
        elif (
            positions == self._stalled_positions
            or self._probe_rounds >= MAX_PROBE_ROUNDS
        ):
            detail = "the stages make no progress"
            self._fail(self._lagging_runner(positions), detail, is_confirmed=False)
        else:
            # The stages count as stalled if none moves for one more deadline; a stage
            # that is only slow has moved by then.
            self._stalled_positions = positions
            wait_ms = self._estimator.stall_timeout_ms() * 2 ** (self._probe_rounds - 1)
            self._watch.deadline = self._clock.now() + wait_ms

    def _handle_failed_probes(
        self, failures_by_runner: dict[str, ProbeFailure]
    ) -> None:
        """Fail the epoch, or wait for stages that are silent and cannot be replaced."""
        runners = frozenset(failures_by_runner)
        now = self._clock.now()
        is_silent = ProbeFailure.NO_RUN not in failures_by_runner.values()
        may_wait = is_silent and now - self._progress_at < SILENCE_LIMIT_MS
        if self._on_silence(runners) or not may_wait:
            self._fail(runners, f"no answer to a probe from {', '.join(runners)}")
            return
        # A round without an answer says nothing about the progress of the stages.
        self._probe_rounds -= 1
        self._watch.deadline = now + self._estimator.stall_timeout_ms()

    async def _probe_positions(self) -> list[int | ProbeFailure]:
        """Return the position of each stage, or why its probe gave none.

        The probes end after a quarter of the progress deadline if one stage has
        answered by then, because the network and this process then work. If none has,
        they go on until the first answer, for at most the full deadline.
        """
        timeout_ms = self._estimator.stall_timeout_ms()
        probes = [
            asyncio.create_task(
                self._engine.probe(stage, self._spec.run, int(timeout_ms))
            )
            for stage in self._spec.chain.stages
        ]
        try:
            short_s = timeout_ms * SHORT_PROBE_FRACTION / 1000
            done, _ = await asyncio.wait(probes, timeout=short_s)
            if not done:
                await asyncio.wait(probes, return_when="FIRST_COMPLETED")
            silent = ProbeFailure.SILENT
            return [probe.result() if probe.done() else silent for probe in probes]
        finally:
            for probe in probes:
                probe.cancel()

    def _lagging_runner(self, positions: list[int]) -> set[str]:
        """Return, as a set, the runner of the first stage behind its predecessor.

        If no stage is behind, this is the runner of the chain's first stage.
        """
        stages = self._spec.chain.stages
        for index in range(1, len(stages)):
            if positions[index] < positions[index - 1]:
                return {stages[index].runner}
        return {stages[0].runner}
