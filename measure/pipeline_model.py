"""Discrete-event model of runners that share the layers of a model.

A runner computes one step at a time, over the sequences that are ready, up to the batch
limit. A run visits the stages of its chain once for each token. Every ``lag_ms`` each
VM gets a snapshot of the load of all runners and uses it until the next one. Times are
in milliseconds.
"""

import heapq
import random
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace

from heathershunt.clock import ManualClock, Millis
from heathershunt.routing import Router, RoutingConfig, RunnerLoadReport, RunnerView

LAYERS = 32
# Network time between two stages.
HOP_MS = 0.6


@dataclass(eq=False)
class Run:
    """A draft that runs on a chain.

    :param vm: index of the VM that routes the draft.
    :param chain: runners of the stages in order.
    :param stage: index of the stage that it is at.
    """

    id: str
    vm: int
    chain: tuple[str, ...]
    tokens_left: int
    stage: int = 0


@dataclass(eq=False)
class SimulatedRunner:
    """A runner with its queue.

    :param ready: runs that wait for the next step.
    :param busy: a step is running or scheduled.
    :param open_runs: runs that have the runner in their chain.
    """

    view: RunnerView
    ready: deque = field(default_factory=deque)
    busy: bool = False
    open_runs: int = 0

    def report(self) -> RunnerLoadReport:
        """Return the current load as the runner reports it."""
        running = min(self.open_runs, self.view.load.batch_limit)
        queued = self.open_runs - running
        return replace(self.view.load, running=running, queued=queued)


# Chooses the runners of a chain for a VM index, the views of that VM and the time.
ChooseChain = Callable[[int, Mapping[str, RunnerView], Millis], tuple[str, ...]]


class PipelineModel:
    """Simulates drafts on the runners of ``views``.

    :param vms: number of VMs that route drafts.
    :param lag_ms: time between two snapshots of the loads.
    :param choose: chooses the chain of each draft.
    :param routers: routers by VM index, whose runs in flight are updated; None if
        ``choose`` uses no routers.
    :ivar tokens: tokens generated so far.
    :ivar ended: runs ended so far.
    :ivar on_end: called with each run that ends.
    """

    def __init__(
        self,
        views: list[RunnerView],
        vms: int,
        lag_ms: int,
        choose: ChooseChain,
        routers: list[Router] | None = None,
        seed: int = 7,
    ) -> None:
        self.clock = ManualClock()
        self.random = random.Random(seed)
        self.runners = {view.runner: SimulatedRunner(view) for view in views}
        self.choose, self.routers, self.lag_ms = choose, routers, lag_ms
        self.views_by_vm = [dict.fromkeys(self.runners) for _ in range(vms)]
        self.tokens = self.ended = 0
        self.on_end: Callable[[Run], None] = lambda run: None
        self._events: list = []
        self._sequence = 0
        self._now = 0.0
        self._report()

    def schedule(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Call ``callback`` after ``delay_ms``; ties are called in scheduling order."""
        self._sequence += 1
        heapq.heappush(self._events, (self._now + delay_ms, self._sequence, callback))

    def run_until(self, end_ms: float) -> None:
        """Process all events up to the time ``end_ms``."""
        while self._events and self._events[0][0] <= end_ms:
            self._now, _, callback = heapq.heappop(self._events)
            self.clock.advance(int(self._now) - self.clock.now())
            callback()

    def start(self, vm: int, tokens: int) -> Run:
        """Start a draft of ``tokens`` tokens at the VM with index ``vm``."""
        now = self.clock.now()
        chain = self.choose(vm, self.views_by_vm[vm], now)
        self._sequence += 1
        run = Run(f"run{self._sequence}", vm, chain, tokens)
        for runner in chain:
            self.runners[runner].open_runs += 1
        if self.routers:
            self.routers[vm].in_flight.start(run.id, chain, now)
        self._enqueue([run])
        return run

    def _report(self) -> None:
        """Give every VM a snapshot of all loads and schedule the next one."""
        now = self.clock.now()
        for vm, views in enumerate(self.views_by_vm):
            for name, runner in self.runners.items():
                changes = {"load": runner.report(), "reported_at": now}
                if self.routers:
                    changes["own"] = self.routers[vm].in_flight.runs_at(name)
                views[name] = replace(runner.view, **changes)
        self.schedule(self.lag_ms, self._report)

    def _enqueue(self, runs: list[Run]) -> None:
        for run in runs:
            runner = self.runners[run.chain[run.stage]]
            runner.ready.append(run)
            if not runner.busy:
                # Scheduled rather than called: all sequences of the event arrive first.
                runner.busy = True
                self.schedule(0, lambda runner=runner: self._step(runner))

    def _step(self, runner: SimulatedRunner) -> None:
        if not runner.ready:
            runner.busy = False
            return
        load = runner.view.load
        size = min(load.batch_limit, len(runner.ready))
        batch = [runner.ready.popleft() for _ in range(size)]
        duration_ms = load.step_ms + load.token_ms * size
        self.schedule(duration_ms, lambda: self._finish_step(runner, batch))

    def _finish_step(self, runner: SimulatedRunner, batch: list[Run]) -> None:
        unfinished = []
        for run in batch:
            run.stage += 1
            if run.stage == len(run.chain):
                run.stage = 0
                run.tokens_left -= 1
                self.tokens += 1
            if run.tokens_left:
                unfinished.append(run)
            else:
                self._end(run)
        self.schedule(HOP_MS, lambda: self._enqueue(unfinished))
        self._step(runner)

    def _end(self, run: Run) -> None:
        self.ended += 1
        for runner in run.chain:
            self.runners[runner].open_runs -= 1
        if self.routers:
            self.routers[run.vm].in_flight.end(run.id, self.clock.now())
        self.on_end(run)


LOAD_BY_KIND = {
    "fast": RunnerLoadReport(batch_limit=32, step_ms=20.0, token_ms=0.2),
    "middle": RunnerLoadReport(batch_limit=16, step_ms=30.0, token_ms=0.5),
    "slow": RunnerLoadReport(batch_limit=8, step_ms=40.0, token_ms=1.0),
}


def runner_view(number: int, kind: str, first: int, end: int) -> RunnerView:
    """Return the view of a simulated runner that holds layers ``first`` to ``end``."""
    name = f"r{number}"
    domain = f"domain{number % 3}"
    return RunnerView(
        name,
        f"{name}:1",
        f"{name}:2",
        name,
        domain,
        kind,
        "m",
        "1",
        first_layer=first,
        end_layer=end,
        load=LOAD_BY_KIND[kind],
    )


def mixed_views(crossing: bool = False, copies: int = 1) -> list[RunnerView]:
    """Return the views of 40 runners of three kinds, ``copies`` times.

    :param crossing: replace some runners of two adjacent layer ranges by runners that
        hold both.
    """
    layout = [
        (0, 8, ["fast"] * 2 + ["middle"] * 4 + ["slow"] * 4),
        (8, 16, ["fast"] * 1 + ["middle"] * 5 + ["slow"] * 4),
        (16, 24, ["fast"] * 4 + ["slow"] * 6),
        (24, 32, ["fast"] * 3 + ["middle"] * 4 + ["slow"] * 3),
    ]
    if crossing:
        layout[1] = (8, 16, ["fast"] * 1 + ["middle"] * 3 + ["slow"] * 2)
        layout[2] = (16, 24, ["fast"] * 2 + ["slow"] * 4)
        layout.append((8, 24, ["fast"] * 4 + ["middle"] * 4))
    ranges = [(first, end, kind) for first, end, kinds in layout for kind in kinds]
    return [
        runner_view(number, kind, first, end)
        for number, (first, end, kind) in enumerate(ranges * copies)
    ]


def router_policy(routers: list[Router]) -> ChooseChain:
    """Return the policy of the product: the choice of the VM's own router."""

    def choose(vm: int, views: Mapping[str, RunnerView], now: Millis):
        result = routers[vm].choose_chain("m", "1", None, LAYERS, views, now)
        return result.ok_value.runners()

    return choose


def round_robin(seed: int = 3) -> ChooseChain:
    """Return the round-robin policy over the runners that start at the same layer.

    :param seed: offset between the starting points of two VMs.
    """
    counters: dict[tuple[int, int], int] = {}

    def choose(vm: int, views: Mapping[str, RunnerView], now: Millis):
        def pick(candidates: list[RunnerView], layer: int) -> RunnerView:
            key = (vm, layer)
            # VMs start at different runners, as if they had started at different times.
            counters[key] = counters.get(key, vm * seed) + 1
            return candidates[counters[key] % len(candidates)]

        return _build_chain(views, pick)

    return choose


def least_loaded() -> ChooseChain:
    """Return the policy of the lowest reported load among runners of a layer."""

    def choose(vm: int, views: Mapping[str, RunnerView], now: Millis):
        def load(view: RunnerView) -> int:
            return view.load.running + view.load.queued

        return _build_chain(views, lambda candidates, layer: min(candidates, key=load))

    return choose


def _build_chain(views: Mapping[str, RunnerView], pick) -> tuple[str, ...]:
    layer, chain = 0, []
    while layer < LAYERS:
        view = pick([v for v in views.values() if v.first_layer == layer], layer)
        chain.append(view.runner)
        layer = view.end_layer
    return tuple(chain)


def make_routers(vms: int, config: RoutingConfig) -> list[Router]:
    """Return one router for each VM, with different seeds, for equal traffic."""
    routers = [Router.from_config(config, seed) for seed in range(vms)]
    for router in routers:
        router.set_peer_factor(vms)
    return routers
