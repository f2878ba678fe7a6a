"""Orders to runners, given by one VM at a time, until every layer is held."""

import asyncio
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from heathershunt.catalog import Engine
from heathershunt.clock import Clock, Millis
from heathershunt.discovery import Target
from heathershunt.logs import Event
from heathershunt.logs.events import OrderAnswered, OrderSettled
from heathershunt.pipelines.layout import LayoutConfig, Placement, plan_layout
from heathershunt.pipelines.runners import OrderOutcome, RunnerApi


@dataclass(frozen=True)
class PlacerConfig:
    """Times of the placer, in milliseconds.

    :param poll_ms: time between two looks at the runners.
    :param settle_ms: time without new runners before a plan, as they often come
        together.
    :param settle_most_ms: longest wait for that.
    :param report_ms: time limit of a report.
    :param load_slack_ms: time beyond a load after which an order counts as lost.
    :param load_factor: a load may take this many times its usual time, as loads share
        the weight store.

    .. versionadded:: 0.2
    """

    poll_ms: int = 200
    settle_ms: int = 600
    settle_most_ms: int = 2500
    report_ms: int = 500
    load_slack_ms: int = 3000
    load_factor: float = 3.0


@dataclass(frozen=True, slots=True)
class _Pending:
    placement: Placement
    until: Millis


class Placer:
    """Plans and orders while this VM leads.

    :param engines: called for the engines by service.
    :param runners: called for the runners of a service that stay.
    :param leads: called for whether this VM leads.
    :param fence: called for the fencing token of the leader.
    :param is_doubtful: called for whether a runner failed lately; it is asked before a
        plan relies on it.
    :param emit: called when an order is answered, and when it is settled.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        api: RunnerApi,
        clock: Clock,
        engines: Callable[[], Mapping[str, Engine]],
        runners: Callable[[str], Iterable[Target]],
        leads: Callable[[], bool],
        fence: Callable[[], int],
        is_doubtful: Callable[[Target], bool],
        emit: Callable[[Event], None],
        config: PlacerConfig | None = None,
        layout: LayoutConfig | None = None,
    ) -> None:
        self._api = api
        self._clock = clock
        self._engines = engines
        self._runners = runners
        self._leads = leads
        self._fence = fence
        self._is_doubtful = is_doubtful
        self._emit = emit
        self._dead: set[tuple[str, int]] = set()
        self._config = config or PlacerConfig()
        self._layout = layout or LayoutConfig()
        self._pending: dict[str, _Pending] = {}
        self._known: frozenset[tuple[str, int]] = frozenset()
        self._changed_at: Millis | None = None
        self._unsettled_since: Millis | None = None

    async def run(self) -> None:
        """Look at the runners again and again, until cancelled."""
        while True:
            await asyncio.sleep(self._config.poll_ms / 1000)
            if not self._leads():
                self._pending.clear()
                continue
            for service, engine in self._engines().items():
                await self._look(service, engine)

    async def _look(self, service: str, engine: Engine) -> None:
        runners = await self._without_dead(list(self._runners(service)))
        self._settle_pending(runners)
        if not self._is_settled(runners):
            return
        pending = [item.placement for item in self._pending.values()]
        plan = plan_layout(engine, runners, self._layout, pending)
        if plan:
            await asyncio.gather(*(self._order(engine, item) for item in plan))

    async def _without_dead(self, runners: list[Target]) -> list[Target]:
        """Leave out runners that fail and give no report.

        Their entries may stay for seconds, while others could hold their layers.
        """
        doubtful = [runner for runner in runners if self._is_doubtful(runner)]
        starts = {(runner.id, runner.born) for runner in doubtful}
        self._dead &= starts
        asked = [r for r in doubtful if (r.id, r.born) not in self._dead]
        report_ms = self._config.report_ms
        reports = await asyncio.gather(*(self._api.report(r, report_ms) for r in asked))
        for runner, report in zip(asked, reports, strict=True):
            if report is None or report.born != runner.born:
                self._dead.add((runner.id, runner.born))
        return [r for r in runners if (r.id, r.born) not in self._dead]

    def _is_settled(self, runners: list[Target]) -> bool:
        now = self._clock.now()
        known = frozenset((runner.id, runner.born) for runner in runners)
        if known != self._known:
            if self._unsettled_since is None:
                self._unsettled_since = now
            self._known = known
            self._changed_at = now
        if self._unsettled_since is None:
            return True
        is_quiet = now - self._changed_at >= self._config.settle_ms
        if is_quiet or now - self._unsettled_since >= self._config.settle_most_ms:
            self._unsettled_since = None
            return True
        return False

    def _settle_pending(self, runners: list[Target]) -> None:
        """Forget orders that are done, lost or void."""
        now = self._clock.now()
        by_id = {runner.id: runner for runner in runners}
        for runner_id, item in list(self._pending.items()):
            runner = by_id.get(runner_id)
            placement = item.placement
            outcome = None
            if runner is None or runner.born != placement.runner.born:
                outcome = "void"
            elif _holds(runner, placement):
                outcome = "done"
            elif now >= item.until:
                outcome = "overdue"
            if outcome is not None:
                del self._pending[runner_id]
                self._emit(OrderSettled(runner_id, str(placement.layers), outcome))

    async def _order(self, engine: Engine, placement: Placement) -> None:
        runner = placement.runner
        now = self._clock.now()
        load_ms = engine.load_ms * placement.layers.size / max(1, engine.layers)
        wait_ms = load_ms * self._config.load_factor + self._config.load_slack_ms
        self._pending[runner.id] = _Pending(placement, Millis(int(now + wait_ms)))
        report = await self._api.report(runner, self._config.report_ms)
        if report is None or report.born != runner.born or report.is_busy:
            return
        if not self._leads():
            return
        reply = await self._api.place(
            runner, placement.layers, report.orders, self._fence()
        )
        outcome = reply.outcome
        layers = str(placement.layers)
        token = self._fence()
        self._emit(OrderAnswered(runner.id, layers, outcome.value, token))
        if outcome in (OrderOutcome.CONFLICT, OrderOutcome.REJECTED):
            self._pending.pop(runner.id, None)


def _holds(runner: Target, placement: Placement) -> bool:
    held = runner.held
    wanted = placement.layers
    return held is not None and (held.first, held.end) == (wanted.first, wanted.end)
