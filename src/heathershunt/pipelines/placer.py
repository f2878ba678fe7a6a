"""Orders runners to hold layers, from one VM at a time, until all layers are held."""

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

    :param poll_ms: time between two passes over the runners.
    :param debounce_ms: time without a change of the runners before a plan, as several
        often start together.
    :param max_debounce_ms: longest wait from the first change to the plan.
    :param report_timeout_ms: time limit of a request for a report.
    :param load_slack_ms: time beyond the longest load of the layers after which an
        order counts as lost.
    :param load_time_factor: longest load of layers as a multiple of the usual time, as
        concurrent loads share the weight store.

    .. versionadded:: 0.2
    """

    poll_ms: int = 200
    debounce_ms: int = 600
    max_debounce_ms: int = 2500
    report_timeout_ms: int = 500
    load_slack_ms: int = 3000
    load_time_factor: float = 3.0


@dataclass(frozen=True, slots=True)
class _Pending:
    placement: Placement
    deadline: Millis


class Placer:
    """Plans the layers of the runners and orders them, while this VM is the leader.

    :param api: sends the orders.
    :param engines: called for the engines by service.
    :param runners: called for the runners of a service that are not about to leave.
    :param is_leader: called for whether this VM is the leader.
    :param fence: called for the fencing token of the leader.
    :param is_suspect: called for whether a runner failed recently; the placer requests
        a report from such a runner before a plan relies on it.
    :param emit: called when a runner answers an order, and when an order is done, void
        or overdue.
    :param is_paused: called for whether a runner wants no orders now; it keeps its
        place in the plan, and is ordered later.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        api: RunnerApi,
        clock: Clock,
        engines: Callable[[], Mapping[str, Engine]],
        runners: Callable[[str], Iterable[Target]],
        is_leader: Callable[[], bool],
        fence: Callable[[], int],
        is_suspect: Callable[[Target], bool],
        emit: Callable[[Event], None],
        config: PlacerConfig | None = None,
        layout: LayoutConfig | None = None,
        is_paused: Callable[[Target], bool] = lambda runner: False,
    ) -> None:
        self._api = api
        self._clock = clock
        self._engines = engines
        self._runners = runners
        self._is_leader = is_leader
        self._fence = fence
        self._is_suspect = is_suspect
        self._emit = emit
        self._is_paused = is_paused
        self._dead: set[tuple[str, int]] = set()
        self._config = config or PlacerConfig()
        self._layout = layout or LayoutConfig()
        self._pending: dict[str, _Pending] = {}
        self._last_incarnations: frozenset[tuple[str, int]] = frozenset()
        self._changed_at: Millis | None = None
        self._unstable_since: Millis | None = None

    async def run(self) -> None:
        """Plan and send orders periodically, until cancelled."""
        while True:
            await asyncio.sleep(self._config.poll_ms / 1000)
            if not self._is_leader():
                self._pending.clear()
                continue
            for service, engine in self._engines().items():
                await self._reconcile(service, engine)

    async def _reconcile(self, service: str, engine: Engine) -> None:
        runners = await self._without_dead(list(self._runners(service)))
        self._drop_finished(runners)
        if not self._is_stable(runners):
            return
        pending = [item.placement for item in self._pending.values()]
        plan = plan_layout(engine, runners, self._layout, pending)
        if plan:
            await asyncio.gather(*(self._order(engine, item) for item in plan))

    async def _without_dead(self, runners: list[Target]) -> list[Target]:
        """Return the runners without those that failed recently and give no report.

        The entry of a dead runner may stay listed for seconds; meanwhile other runners
        can take over its layers.
        """
        suspected = [runner for runner in runners if self._is_suspect(runner)]
        incarnations = {(runner.id, runner.incarnation) for runner in suspected}
        self._dead &= incarnations
        asked = [r for r in suspected if (r.id, r.incarnation) not in self._dead]
        report_timeout_ms = self._config.report_timeout_ms
        reports = await asyncio.gather(
            *(self._api.report(r, report_timeout_ms) for r in asked)
        )
        for runner, report in zip(asked, reports, strict=True):
            if report is None or report.incarnation != runner.incarnation:
                self._dead.add((runner.id, runner.incarnation))
        return [r for r in runners if (r.id, r.incarnation) not in self._dead]

    def _is_stable(self, runners: list[Target]) -> bool:
        now = self._clock.now()
        incarnations = frozenset((runner.id, runner.incarnation) for runner in runners)
        if incarnations != self._last_incarnations:
            if self._unstable_since is None:
                self._unstable_since = now
            self._last_incarnations = incarnations
            self._changed_at = now
        if self._unstable_since is None:
            return True
        is_quiet = now - self._changed_at >= self._config.debounce_ms
        if is_quiet or now - self._unstable_since >= self._config.max_debounce_ms:
            self._unstable_since = None
            return True
        return False

    def _drop_finished(self, runners: list[Target]) -> None:
        """Drop pending orders that are done, overdue, or void without their runner."""
        now = self._clock.now()
        by_id = {runner.id: runner for runner in runners}
        for runner_id, item in list(self._pending.items()):
            runner = by_id.get(runner_id)
            placement = item.placement
            outcome = None
            if runner is None or runner.incarnation != placement.runner.incarnation:
                outcome = "void"
            elif _holds(runner, placement):
                outcome = "done"
            elif now >= item.deadline:
                outcome = "overdue"
            if outcome is not None:
                del self._pending[runner_id]
                self._emit(OrderSettled(runner_id, str(placement.layers), outcome))

    async def _order(self, engine: Engine, placement: Placement) -> None:
        runner = placement.runner
        if self._is_paused(runner):
            return
        now = self._clock.now()
        load_ms = engine.load_ms * placement.layers.size / max(1, engine.layers)
        wait_ms = load_ms * self._config.load_time_factor + self._config.load_slack_ms
        self._pending[runner.id] = _Pending(placement, Millis(int(now + wait_ms)))
        report = await self._api.report(runner, self._config.report_timeout_ms)
        if report is None or report.incarnation != runner.incarnation or report.is_busy:
            return
        if not self._is_leader():
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
