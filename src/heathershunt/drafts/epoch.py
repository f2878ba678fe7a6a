"""One epoch of a draft: open at all stages, start, take tokens, notice failures."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from result import Err, Ok, Result

from heathershunt.clock import Clock, GapEstimator
from heathershunt.drafts.engine import (
    EngineClient,
    RunOrder,
    StageLine,
    StageStream,
    decode_trace,
)
from heathershunt.drafts.journal import Draft
from heathershunt.drafts.progress import (
    FIRST_TOKEN_LIMIT_MS,
    ProgressMonitor,
    Watched,
)
from heathershunt.verdict import Progress

PROBES_BEFORE_GIVING_UP = 3
QUICK_PROBE_SHARE = 0.25
RECOVERY_DEADLINES = 2


@dataclass(frozen=True)
class EpochFailure:
    """Why an epoch ended before the answer was whole.

    :param suspects: runners to leave out of the next chain.
    :param is_proved: the suspects failed by themselves. A stage that is alive but
        made no progress may only be overloaded; other drafts must not avoid it.
    """

    suspects: frozenset[str]
    detail: str
    is_proved: bool = True


class Epoch:
    """Runs one epoch of one draft.

    :param estimator: shared by the drafts of a model.
    :param on_first_token: called once, when this epoch's first token is accepted.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        draft: Draft,
        order: RunOrder,
        engine: EngineClient,
        monitor: ProgressMonitor,
        estimator: GapEstimator,
        clock: Clock,
        on_first_token: Callable[[], None] = lambda: None,
    ) -> None:
        self._draft = draft
        self._order = order
        self._engine = engine
        self._monitor = monitor
        self._estimator = estimator
        self._clock = clock
        self._on_first_token = on_first_token
        self._streams: list[StageStream] = []
        self._tasks: list[asyncio.Task] = []
        self._outcome: asyncio.Future = asyncio.get_running_loop().create_future()
        self._watched = Watched(float("inf"), self._stalled)
        self._last_token_at: int | None = None
        self._probes = 0
        self._stalled_at: list[int | None] = []
        self._accepted_trace: msgspec.Raw | None = None
        self._expected_trace = [
            [stage.runner, stage.first_layer, stage.end_layer, order.chain.version]
            for stage in order.chain.stages
        ]

    async def run(self) -> Result[None, EpochFailure]:
        """Run until the answer is whole (``Ok``) or a stage failed (``Err``)."""
        try:
            opened = await self._open_all()
            if isinstance(opened, Err):
                return opened
            started = await self._start(opened.ok_value)
            if isinstance(started, Err):
                return started
            return await self._outcome
        finally:
            self._monitor.forget(self._watched)
            for task in self._tasks:
                task.cancel()
            for stream in self._streams:
                stream.close()

    async def _open_all(self) -> Result[list[int], EpochFailure]:
        stages = self._order.chain.stages
        outcomes = await asyncio.gather(
            *(self._engine.open(self._order, index) for index in range(len(stages)))
        )
        held = []
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
            held.append(opened.kv_positions)
        if suspects:
            return Err(EpochFailure(frozenset(suspects), "; ".join(suspects.values())))
        return Ok(held)

    def _is_expected(self, stage, opened: StageLine) -> bool:
        return (
            opened.event == "opened"
            and opened.runner == stage.runner
            and opened.first_layer == stage.first_layer
            and opened.end_layer == stage.end_layer
            and opened.version == self._order.chain.version
        )

    async def _start(self, held: list[int]) -> Result[None, EpochFailure]:
        last = len(self._streams) - 1
        self._tasks = [
            asyncio.create_task(self._follow(stream, is_last=index == last))
            for index, stream in enumerate(self._streams)
        ]
        self._watched.deadline = self._clock.now() + self._first_token_limit_ms()
        self._monitor.watch(self._watched)
        # The flag goes up before the call: a cancelled call may have been sent.
        before = self._draft.may_have_started
        self._draft.may_have_started = True
        outcome = await self._engine.start(self._order, held)
        if isinstance(outcome, Ok):
            return Ok(None)
        error = outcome.err_value
        if error.progress is not Progress.SENT:
            self._draft.may_have_started = before
        first = self._order.chain.stages[0].runner
        return Err(EpochFailure(frozenset({first}), error.detail))

    def _first_token_limit_ms(self) -> float:
        """Return how long the first token may take before the stages are probed.

        The first epoch waits for the prompt; a later one rebuilds at most the cache.
        """
        if self._order.epoch == 1:
            return FIRST_TOKEN_LIMIT_MS
        wait_ms = RECOVERY_DEADLINES * self._estimator.deadline_ms()
        return min(FIRST_TOKEN_LIMIT_MS, wait_ms)

    async def _follow(self, stream: StageStream, is_last: bool) -> None:
        runner = stream.stage.runner
        try:
            while lines := await stream.read_lines():
                for line in lines:
                    if line.event == "token" and is_last:
                        self._take(line, runner)
                    elif line.event == "end" and not self._draft.is_whole:
                        if is_last or line.reason != "done":
                            self._fail({runner}, f"{runner} ended: {line.reason}")
            if is_last:
                self._fail({runner}, f"{runner} closed its stream")
        except (OSError, ValueError) as error:
            self._fail({runner}, f"stream of {runner}: {error}")

    def _take(self, line: StageLine, runner: str) -> None:
        if line.epoch != self._order.epoch or self._outcome.done():
            return
        if line.trace != self._accepted_trace and not self._accepts(line.trace):
            suspects = self._suspects_of(decode_trace(line.trace)) or {runner}
            self._fail(suspects, f"position {line.position} ran over other stages")
            return
        if not self._draft.accept(line.position, line.text, line.last):
            if line.position > len(self._draft.tokens):
                self._fail(set(), f"position {line.position} came too early")
            return
        if self._last_token_at is None:
            self._on_first_token()
        self._move_deadline()
        if self._draft.is_whole:
            self._outcome.set_result(Ok(None))

    def _accepts(self, trace: msgspec.Raw) -> bool:
        """Check a trace and keep its bytes, so that equal bytes need no decoding."""
        if decode_trace(trace) != self._expected_trace:
            return False
        self._accepted_trace = trace.copy()
        return True

    def _suspects_of(self, trace: list) -> set[str]:
        pairs = zip(self._expected_trace, trace, strict=False)
        return {expected[0] for expected, seen in pairs if expected != seen}

    def _move_deadline(self) -> None:
        now = self._clock.now()
        if self._last_token_at is not None:
            self._estimator.observe(now - self._last_token_at)
        self._last_token_at = now
        self._probes = 0
        self._stalled_at = []
        self._watched.deadline = now + self._estimator.deadline_ms()

    def _fail(self, suspects: set[str], detail: str, is_proved: bool = True) -> None:
        if not self._outcome.done():
            failure = EpochFailure(frozenset(suspects), detail, is_proved)
            self._outcome.set_result(Err(failure))

    def _stalled(self) -> None:
        self._tasks.append(asyncio.create_task(self._probe_all()))

    async def _probe_all(self) -> None:
        """Settle a stall over fresh connections before any stage is blamed."""
        stages = self._order.chain.stages
        self._probes += 1
        for stage in stages:
            self._engine.forget_connections(stage)
        seen = len(self._draft.tokens)
        positions = await self._positions()
        if len(self._draft.tokens) != seen or self._outcome.done():
            return
        silent = {s.runner for s, p in zip(stages, positions, strict=True) if p is None}
        if silent:
            self._fail(silent, f"no answer to a probe from {', '.join(silent)}")
        elif positions[-1] >= seen:
            self._fail(set(), "the stream went silent while the stage goes on")
        elif positions == self._stalled_at or self._probes >= PROBES_BEFORE_GIVING_UP:
            detail = "the stages make no progress"
            self._fail(self._behind(positions), detail, is_proved=False)
        else:
            # A whole deadline in which no stage moves settles it; a stage that is
            # merely slow has moved by then.
            self._stalled_at = positions
            wait_ms = self._estimator.deadline_ms() * 2 ** (self._probes - 1)
            self._watched.deadline = self._clock.now() + wait_ms

    async def _positions(self) -> list[int | None]:
        """Return the position of each stage, ``None`` for the silent ones.

        Once one stage has answered, the network and this process work, and the others
        have a quarter of the progress deadline; only if none answers is the whole
        deadline used.
        """
        timeout_ms = self._estimator.deadline_ms()
        probes = [
            asyncio.create_task(
                self._engine.probe(stage, self._order.run, int(timeout_ms))
            )
            for stage in self._order.chain.stages
        ]
        try:
            quick = timeout_ms * QUICK_PROBE_SHARE / 1000
            done, _ = await asyncio.wait(probes, timeout=quick)
            if not done:
                await asyncio.wait(probes, return_when="FIRST_COMPLETED")
            return [probe.result() if probe.done() else None for probe in probes]
        finally:
            for probe in probes:
                probe.cancel()

    def _behind(self, positions: list[int]) -> set[str]:
        """Return the first stage that lags behind the one before it."""
        stages = self._order.chain.stages
        for index in range(1, len(stages)):
            if positions[index] < positions[index - 1]:
                return {stages[index].runner}
        return {stages[0].runner}
