"""Execution of drafts: one epoch after another until the answer is complete."""

import asyncio
from collections import defaultdict
from collections.abc import Collection
from dataclasses import dataclass
from functools import partial

import logbook
from result import Err, Ok, Result

from heathershunt.availability import AvailabilityTable
from heathershunt.clock import Clock, GapEstimator, Millis
from heathershunt.crashes import PartGuard
from heathershunt.drafts.crashes import DraftCrashes
from heathershunt.drafts.draft import Draft
from heathershunt.drafts.engine import EngineClient, RunSpec
from heathershunt.drafts.epoch import Epoch, EpochFailure
from heathershunt.drafts.observer import DraftObserver
from heathershunt.drafts.progress import ProgressMonitor
from heathershunt.ratelimits import LimitGuard, TargetProcess
from heathershunt.retries import EjectionPolicy
from heathershunt.routing import Chain, NoChain, Router
from heathershunt.runners import RunnerRegistry, prefix_hashes
from heathershunt.verdict import may_have_run, not_run

log = logbook.Logger("heathershunt.drafts")

SUSPICION_MS = 5_000
REPLAN_DELAY_MS = 50
MAX_REPLAN_DELAY_MS = 800
# The runner that replaces a failed one is listed within seconds. A draft that gets no
# token for longer is ended, because a working chain is no longer to be expected.
RECOVERY_LIMIT_MS = 10_000
MAX_EPOCHS_BEFORE_START = 4
RETRY_AFTER_MS = 1_000
INITIAL_GAP_MS = 34


@dataclass(frozen=True)
class _Suspicion:
    """Suspicion against one incarnation of a runner.

    :param until: monotonic time at which the suspicion expires.
    """

    until: Millis
    incarnation: int


def _confirmed_suspects(outcome: Err[EpochFailure]) -> frozenset[str]:
    failure = outcome.err_value
    return failure.suspects if failure.is_confirmed else frozenset()


class _RecoveryState:
    """Progress of one draft over its epochs: when to end it, and the delay to the next.

    :param now: monotonic start time.
    :param tokens: number of tokens that the draft has at the start.
    """

    def __init__(self, now: Millis, tokens: int) -> None:
        self._progress_at = now
        self._tokens = tokens
        self._failed_epochs = 0

    def is_exhausted(self, draft: Draft, now: Millis) -> bool:
        """Return whether to end the draft instead of running another epoch."""
        if not draft.may_have_started:
            return (
                draft.epoch >= MAX_EPOCHS_BEFORE_START or now >= draft.request.deadline
            )
        return now - self._progress_at > RECOVERY_LIMIT_MS

    def record_failure(self, draft: Draft, now: Millis) -> bool:
        """Record a failed epoch; return whether the draft got a token in it."""
        has_progressed = len(draft.tokens) > self._tokens
        if has_progressed:
            self._progress_at = now
            self._tokens = len(draft.tokens)
            self._failed_epochs = 0
        self._failed_epochs += 1
        return has_progressed

    def delay_ms(self) -> int:
        """Return the delay before the next epoch, after one without a token.

        0 after the first such epoch since a token, or after the first two if no epoch
        has brought one; then it doubles up to ``MAX_REPLAN_DELAY_MS``.
        """
        if self._failed_epochs <= 2:
            return 0
        return min(REPLAN_DELAY_MS << self._failed_epochs - 2, MAX_REPLAN_DELAY_MS)


class DraftExecutor:
    """Runs drafts on chains of runners and moves them to new chains after failures.

    :param progress_floor_ms: least progress deadline of a stream.
    :param guard: refuses prompts that crash runners.
    :param limits: keeps to the runs a second that runners take.
    :param availability: runners that leave or pause by what their answers said.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        engine: EngineClient,
        router: Router,
        registry: RunnerRegistry,
        ejection: EjectionPolicy,
        monitor: ProgressMonitor,
        clock: Clock,
        progress_floor_ms: int,
        observer: DraftObserver,
        guard: PartGuard,
        limits: LimitGuard,
        availability: AvailabilityTable,
    ) -> None:
        self._availability = availability
        self._guard = guard
        self._limits = limits
        self._engine = engine
        self._router = router
        self._registry = registry
        self._ejection = ejection
        self._monitor = monitor
        self._clock = clock
        self._observer = observer
        self._suspicions_by_runner: dict[str, _Suspicion] = {}
        self._estimators_by_model: dict[str, GapEstimator] = defaultdict(
            lambda: GapEstimator(progress_floor_ms, INITIAL_GAP_MS)
        )
        self._cancel_tasks: set[asyncio.Task] = set()

    async def run(self, draft: Draft) -> None:
        """Run ``draft`` until its answer is complete or it is refused."""
        keep: frozenset[str] = frozenset()
        last_suspects: frozenset[str] = frozenset()
        detail = ""
        recovery = _RecoveryState(self._clock.now(), len(draft.tokens))
        crashes = DraftCrashes(
            draft, self._guard, self._engine, self._registry, self._clock
        )
        while not draft.ended.is_set():
            now = self._clock.now()
            refusal = crashes.refusal()
            if refusal is not None:
                draft.refuse(refusal)
                break
            if recovery.is_exhausted(draft, now):
                break
            chosen = self._choose_chain(draft, keep, last_suspects)
            if isinstance(chosen, Err):
                detail = chosen.err_value.detail
                if not draft.may_have_started:
                    break
                await asyncio.sleep(REPLAN_DELAY_MS / 1000)
                continue
            failure = await self._run_until_ended(draft, chosen.ok_value, crashes)
            if failure is None:
                if draft.is_complete:
                    crashes.on_complete()
                break
            detail = failure.detail
            used_runners = frozenset(chosen.ok_value.runners())
            keep = used_runners - failure.suspects
            last_suspects = failure.suspects
            has_progressed = recovery.record_failure(draft, self._clock.now())
            await crashes.on_failed_epoch(chosen.ok_value, failure, now)
            if not has_progressed:
                await asyncio.sleep(recovery.delay_ms() / 1000)
        if not draft.ended.is_set():
            self._refuse_unfinished(draft, detail)
        self._observer.ended(draft, self._clock.now())

    async def _run_until_ended(
        self, draft: Draft, chain: Chain, crashes: DraftCrashes
    ) -> EpochFailure | None:
        """Run one epoch, and cancel it if the draft is refused meanwhile."""
        epoch = asyncio.create_task(self._run_epoch(draft, chain, crashes))
        ended = asyncio.create_task(draft.ended.wait())
        await asyncio.wait({epoch, ended}, return_when="FIRST_COMPLETED")
        ended.cancel()
        if draft.is_complete or not draft.ended.is_set():
            return await epoch
        epoch.cancel()
        await asyncio.gather(epoch, return_exceptions=True)
        return None

    def _choose_chain(
        self, draft: Draft, keep: frozenset[str], last_suspects: frozenset[str]
    ) -> Result[Chain, NoChain]:
        """Choose a chain, if possible without ejected and suspected runners.

        If there is none, ejected runners are allowed, then suspects of earlier epochs,
        and at last those of the last one.
        :param keep: runners of the last epoch that are not suspected.
        :param last_suspects: suspects of this draft's last epoch.
        """
        now = self._clock.now()
        suspects = self._suspects(now) | last_suspects
        away = self._away(draft)
        chosen = None
        # A wrongly suspected runner may be the only one left that holds its layers.
        for exclude in (
            suspects | self._ejection.excluded(now),
            suspects,
            last_suspects,
            frozenset(),
        ):
            chosen = self._choose_without(draft, exclude | away, keep)
            if isinstance(chosen, Ok):
                self._count_run(chosen.ok_value)
                self._observer.chain_chosen(draft, chosen.ok_value, exclude, keep)
                break
        return chosen

    def _away(self, draft: Draft) -> frozenset[str]:
        """Return the runners that leave or pause by what their answers said."""
        usable = self._availability.usable(
            draft.request.model, self._processes(), partial(self._has_chain, draft)
        )
        runners = frozenset(self._registry.views_by_runner)
        return runners.difference(process.id for process in usable)

    def _processes(self) -> list[TargetProcess]:
        return [
            TargetProcess(runner, self._incarnation(runner))
            for runner in self._registry.views_by_runner
        ]

    def _has_chain(self, draft: Draft, found: Collection[TargetProcess]) -> bool:
        """Return whether there is a chain of some of the runners."""
        runners = frozenset(self._registry.views_by_runner)
        exclude = runners.difference(process.id for process in found)
        return isinstance(self._choose_without(draft, exclude, frozenset()), Ok)

    def _retry_after_ms(self, draft: Draft) -> int:
        """Return how long the caller of a draft that was not run is to wait."""
        pause_ms = self._availability.first_wait_ms(
            self._processes(), partial(self._has_chain, draft)
        )
        if not pause_ms:
            return RETRY_AFTER_MS
        return max(RETRY_AFTER_MS, self._availability.retry_after_ms(pause_ms))

    def _count_run(self, chain: Chain) -> None:
        """Count a run at each runner of a chain, all of which receive it."""
        for runner in chain.runners():
            self._limits.record_send(TargetProcess(runner))

    def _suspects(self, now: Millis) -> frozenset[str]:
        """Return the suspected runners.

        A suspicion ends at its time limit or when the runner has restarted.
        """
        for runner, suspicion in list(self._suspicions_by_runner.items()):
            restarted = self._incarnation(runner) > suspicion.incarnation
            if suspicion.until <= now or restarted:
                del self._suspicions_by_runner[runner]
        return frozenset(self._suspicions_by_runner)

    def _incarnation(self, runner: str) -> int:
        state = self._registry.states_by_runner.get(runner)
        return state.report.incarnation if state else 0

    def _choose_without(
        self, draft: Draft, exclude: frozenset[str], keep: frozenset[str]
    ) -> Result[Chain, NoChain]:
        request = draft.request
        return self._router.choose_chain(
            request.model,
            request.version,
            request.adapter or None,
            request.layers,
            self._registry.views_by_runner,
            self._clock.now(),
            exclude | self._limits.spent(),
            prefix_hashes(request.prompt),
            keep,
        )

    async def _run_epoch(
        self, draft: Draft, chain: Chain, crashes: DraftCrashes
    ) -> EpochFailure | None:
        def on_first_token() -> None:
            crashes.on_first_token()
            self._observer.first_token(draft, self._clock.now())

        def on_silence(silent: frozenset[str]) -> bool:
            self._suspect(silent)
            keep = frozenset(chain.runners()) - silent
            return isinstance(self._choose_without(draft, silent, keep), Ok)

        draft.epoch += 1
        request = draft.request
        spec = RunSpec(
            draft.request_id,
            draft.epoch,
            chain,
            request.prompt,
            tuple(draft.tokens),
            len(draft.tokens),
            request.max_tokens,
            request.seed,
            request.priority,
            max(0, request.deadline - self._clock.now()),
        )
        epoch = Epoch(
            draft,
            spec,
            self._engine,
            self._monitor,
            self._estimators_by_model[request.model],
            self._clock,
            on_first_token,
            on_silence,
        )
        runners = chain.runners()
        now = self._clock.now()
        self._router.in_flight.start(draft.request_id, runners, now)
        for runner in runners:
            self._ejection.started(runner, now)
        outcome = None
        try:
            outcome = await epoch.run()
        finally:
            self._router.in_flight.end(draft.request_id, self._clock.now())
            self._report_outcome(runners, outcome)
            if not isinstance(outcome, Ok):
                self._cancel(spec)
        if isinstance(outcome, Ok):
            return None
        self._record_failure(draft, outcome.err_value)
        return outcome.err_value

    def _report_outcome(
        self, runners: tuple[str, ...], outcome: Result[None, EpochFailure] | None
    ) -> None:
        """Report the outcome of an epoch to the ejection policy, for each runner.

        The gap between tokens depends on the whole chain, so 0 is reported as the
        latency of each runner: none is ejected for its latency here.
        """
        now = self._clock.now()
        for runner in runners:
            if isinstance(outcome, Ok):
                self._ejection.succeeded(runner, 0.0, now)
            elif outcome is not None and runner in _confirmed_suspects(outcome):
                self._ejection.failed(runner, now)
            else:
                self._ejection.abandoned(runner)

    def _suspect(self, runners: frozenset[str]) -> None:
        """Avoid runners for new epochs for a while, as long as there are others."""
        until = Millis(self._clock.now() + SUSPICION_MS)
        for runner in runners:
            suspicion = _Suspicion(until, self._incarnation(runner))
            self._suspicions_by_runner[runner] = suspicion

    def _record_failure(self, draft: Draft, failure: EpochFailure) -> None:
        if failure.is_confirmed:
            self._suspect(failure.suspects)
        self._observer.epoch_failed(draft, failure, self._clock.now())
        log.warn(
            "draft {} epoch {} failed at position {}: {}",
            draft.request_id,
            draft.epoch,
            len(draft.tokens),
            failure.detail,
        )

    def _cancel(self, spec: RunSpec) -> None:
        for stage in spec.chain.stages:
            task = asyncio.create_task(self._engine.cancel(stage, spec.run, spec.epoch))
            self._cancel_tasks.add(task)
            task.add_done_callback(self._cancel_tasks.discard)

    def _refuse_unfinished(self, draft: Draft, detail: str) -> None:
        if draft.may_have_started:
            refusal = may_have_run(502, "Draft not finished", detail)
        else:
            refusal = not_run(503, "No runners", detail, self._retry_after_ms(draft))
        draft.refuse(refusal)
