"""Execution of drafts: epoch after epoch until the answer is whole."""

import asyncio
from collections import defaultdict
from dataclasses import dataclass

import logbook
from result import Err, Ok, Result

from heathershunt.clock import Clock, GapEstimator, Millis
from heathershunt.drafts.engine import EngineClient, RunOrder
from heathershunt.drafts.epoch import Epoch, EpochFailure
from heathershunt.drafts.journal import Draft
from heathershunt.drafts.observer import DraftObserver
from heathershunt.drafts.progress import ProgressMonitor
from heathershunt.retries import EjectionPolicy
from heathershunt.routing import Chain, NoChain, Router
from heathershunt.runners import RunnerRegistry, prefix_hashes
from heathershunt.verdict import may_have_run, not_run

log = logbook.Logger("heathershunt.drafts")

SUSPECT_MS = 5_000
REPLAN_DELAY_MS = 50
LONGEST_REPLAN_DELAY_MS = 800
# A replaced runner is listed within seconds; a draft without a token for longer is
# given up, because nothing says that a working chain will come.
RECOVERY_LIMIT_MS = 10_000
EPOCHS_BEFORE_START = 4
RETRY_AFTER_MS = 1_000
INITIAL_GAP_MS = 34


@dataclass(frozen=True)
class _Suspicion:
    """A runner that failed, and the incarnation that did."""

    until: Millis
    incarnation: int


def _proved_suspects(outcome: Err[EpochFailure]) -> frozenset[str]:
    failure = outcome.err_value
    return failure.suspects if failure.is_proved else frozenset()


class _Recovery:
    """When to stop to recover one draft, and how long to wait between epochs."""

    def __init__(self, now: Millis, tokens: int) -> None:
        self._moved_at = now
        self._tokens = tokens
        self._idle_epochs = 0

    def is_over(self, draft: Draft, now: Millis) -> bool:
        """Return whether the draft is to be given up."""
        if not draft.may_have_started:
            return draft.epoch >= EPOCHS_BEFORE_START or now >= draft.request.deadline
        return now - self._moved_at > RECOVERY_LIMIT_MS

    def has_moved(self, draft: Draft, now: Millis) -> bool:
        """Note a failed epoch; return whether it brought a token."""
        moved = len(draft.tokens) > self._tokens
        if moved:
            self._moved_at = now
            self._tokens = len(draft.tokens)
            self._idle_epochs = 0
        self._idle_epochs += 1
        return moved

    def delay_ms(self) -> int:
        """Return how long to wait; the first epoch without a token costs no wait."""
        if self._idle_epochs <= 2:
            return 0
        return min(REPLAN_DELAY_MS << self._idle_epochs - 2, LONGEST_REPLAN_DELAY_MS)


class DraftExecutor:
    """Runs drafts over chains of runners and recovers them.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        engine: EngineClient,
        router: Router,
        board: RunnerRegistry,
        ejection: EjectionPolicy,
        monitor: ProgressMonitor,
        clock: Clock,
        floor_ms: int,
        observer: DraftObserver,
    ) -> None:
        self._engine = engine
        self._router = router
        self._board = board
        self._ejection = ejection
        self._monitor = monitor
        self._clock = clock
        self._observer = observer
        self._suspicions_by_runner: dict[str, _Suspicion] = {}
        self._estimators_by_model: dict[str, GapEstimator] = defaultdict(
            lambda: GapEstimator(floor_ms, INITIAL_GAP_MS)
        )
        self._cancels: set[asyncio.Task] = set()

    async def run(self, draft: Draft) -> None:
        """Run ``draft`` to its end."""
        keep: frozenset[str] = frozenset()
        avoid: frozenset[str] = frozenset()
        detail = ""
        recovery = _Recovery(self._clock.now(), len(draft.tokens))
        while not draft.ended.is_set():
            now = self._clock.now()
            if recovery.is_over(draft, now):
                break
            chosen = self._choose(draft, keep, avoid)
            if isinstance(chosen, Err):
                detail = chosen.err_value.detail
                if not draft.may_have_started:
                    break
                await asyncio.sleep(REPLAN_DELAY_MS / 1000)
                continue
            failure = await self._run_until_ended(draft, chosen.ok_value)
            if failure is None:
                break
            detail = failure.detail
            names = frozenset(chosen.ok_value.runners())
            keep = names - failure.suspects
            avoid = failure.suspects
            if not recovery.has_moved(draft, self._clock.now()):
                await asyncio.sleep(recovery.delay_ms() / 1000)
        if not draft.ended.is_set():
            self._give_up(draft, detail)
        self._observer.ended(draft, self._clock.now())

    async def _run_until_ended(self, draft: Draft, chain: Chain) -> EpochFailure | None:
        """Run one epoch, but stop it when the draft is ended from elsewhere."""
        epoch = asyncio.create_task(self._run_epoch(draft, chain))
        ended = asyncio.create_task(draft.ended.wait())
        await asyncio.wait({epoch, ended}, return_when="FIRST_COMPLETED")
        ended.cancel()
        if draft.is_whole or not draft.ended.is_set():
            return await epoch
        epoch.cancel()
        await asyncio.gather(epoch, return_exceptions=True)
        return None

    def _choose(
        self, draft: Draft, keep: frozenset[str], avoid: frozenset[str]
    ) -> Result[Chain, NoChain]:
        """Choose a chain; leave out suspects only where others can do the work.

        :param avoid: suspects of this draft's last epoch.
        """
        now = self._clock.now()
        suspects = self._suspects(now) | avoid
        chosen = None
        # A wrongly suspected runner may be the last one that holds its layers.
        for exclude in (suspects | self._ejection.excluded(now), suspects, frozenset()):
            chosen = self._choose_without(draft, exclude, keep)
            if isinstance(chosen, Ok):
                self._observer.chosen(draft, chosen.ok_value, exclude, keep)
                break
        return chosen

    def _suspects(self, now: Millis) -> frozenset[str]:
        """Return the suspected runners; a restart clears a runner."""
        for runner, suspicion in list(self._suspicions_by_runner.items()):
            restarted = self._incarnation(runner) > suspicion.incarnation
            if suspicion.until <= now or restarted:
                del self._suspicions_by_runner[runner]
        return frozenset(self._suspicions_by_runner)

    def _incarnation(self, runner: str) -> int:
        state = self._board.states_by_runner.get(runner)
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
            self._board.views_by_runner,
            self._clock.now(),
            exclude,
            prefix_hashes(request.prompt),
            keep,
        )

    async def _run_epoch(self, draft: Draft, chain: Chain) -> EpochFailure | None:
        draft.epoch += 1
        request = draft.request
        order = RunOrder(
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
            order,
            self._engine,
            self._monitor,
            self._estimators_by_model[request.model],
            self._clock,
            lambda: self._observer.first_token(draft, self._clock.now()),
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
            self._judge(runners, outcome)
            if not isinstance(outcome, Ok):
                self._cancel(order)
        if isinstance(outcome, Ok):
            return None
        self._suspect(draft, outcome.err_value)
        return outcome.err_value

    def _judge(
        self, runners: tuple[str, ...], outcome: Result[None, EpochFailure] | None
    ) -> None:
        """Tell the ejection policy what the epoch says about each runner.

        The gap between tokens belongs to the whole chain, so no runner is judged by
        its latency here.
        """
        now = self._clock.now()
        for runner in runners:
            if isinstance(outcome, Ok):
                self._ejection.succeeded(runner, 0.0, now)
            elif outcome is not None and runner in _proved_suspects(outcome):
                self._ejection.failed(runner, now)
            else:
                self._ejection.abandoned(runner)

    def _suspect(self, draft: Draft, failure: EpochFailure) -> None:
        until = Millis(self._clock.now() + SUSPECT_MS)
        for runner in failure.suspects if failure.is_proved else ():
            suspicion = _Suspicion(until, self._incarnation(runner))
            self._suspicions_by_runner[runner] = suspicion
        self._observer.failed(draft, failure, self._clock.now())
        log.warn(
            "draft {} epoch {} failed at position {}: {}",
            draft.request_id,
            draft.epoch,
            len(draft.tokens),
            failure.detail,
        )

    def _cancel(self, order: RunOrder) -> None:
        for stage in order.chain.stages:
            task = asyncio.create_task(
                self._engine.cancel(stage, order.run, order.epoch)
            )
            self._cancels.add(task)
            task.add_done_callback(self._cancels.discard)

    def _give_up(self, draft: Draft, detail: str) -> None:
        if draft.may_have_started:
            refusal = may_have_run(502, "Draft not finished", detail)
        else:
            refusal = not_run(503, "No runners", detail, RETRY_AFTER_MS)
        draft.refuse(refusal)
