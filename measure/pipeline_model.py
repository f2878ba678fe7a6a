"""A small discrete queue model of runners that share a model's layers.

A runner computes one step at a time; a step takes the sequences that are ready, up
to the batch limit. A run visits the stages of its chain once for each token. Load
reports are snapshots of all runners, seen by every VM after the lag.
"""

import heapq
import random
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace

from heathershunt.clock import ManualClock, Millis
from heathershunt.routing import Router, RoutingConfig, RunnerLoad, RunnerView

LAYERS = 32
HOP_MS = 0.6


@dataclass(eq=False)
class Run:
    """A draft on its way through a chain."""

    id: str
    vm: int
    chain: tuple[str, ...]
    tokens_left: int
    stage: int = 0


@dataclass(eq=False)
class ModelRunner:
    """A runner's queue and the runs that are open there."""

    view: RunnerView
    ready: deque = field(default_factory=deque)
    busy: bool = False
    open_runs: int = 0

    def report(self) -> RunnerLoad:
        """Return the present load."""
        running = min(self.open_runs, self.view.load.batch_limit)
        queued = self.open_runs - running
        return replace(self.view.load, running=running, queued=queued)


Choose = Callable[[int, Mapping[str, RunnerView], Millis], tuple[str, ...]]


class PipelineModel:
    """Runs drafts over ``views`` with the chains that ``choose`` returns."""

    def __init__(
        self,
        views: list[RunnerView],
        vms: int,
        lag_ms: int,
        choose: Choose,
        routers: list[Router] | None = None,
        seed: int = 7,
    ) -> None:
        self.clock = ManualClock()
        self.random = random.Random(seed)
        self.runners = {view.runner: ModelRunner(view) for view in views}
        self.choose, self.routers, self.lag_ms = choose, routers, lag_ms
        self.views = [dict.fromkeys(self.runners) for _ in range(vms)]
        self.tokens = self.ended = 0
        self.on_end: Callable[[Run], None] = lambda run: None
        self._events: list = []
        self._count = 0
        self._now = 0.0
        self._report()

    def at(self, delay: float, act: Callable[[], None]) -> None:
        """Call ``act`` after ``delay`` milliseconds."""
        self._count += 1
        heapq.heappush(self._events, (self._now + delay, self._count, act))

    def run_until(self, end: float) -> None:
        """Process all events up to ``end``."""
        while self._events and self._events[0][0] <= end:
            self._now, _, act = heapq.heappop(self._events)
            self.clock.advance(int(self._now) - self.clock.now())
            act()

    def start(self, vm: int, tokens: int) -> Run:
        """Start a draft at one VM."""
        now = self.clock.now()
        chain = self.choose(vm, self.views[vm], now)
        self._count += 1
        run = Run(f"run{self._count}", vm, chain, tokens)
        for runner in chain:
            self.runners[runner].open_runs += 1
        if self.routers:
            self.routers[vm].in_flight.start(run.id, chain, now)
        self._arrive([run])
        return run

    def _report(self) -> None:
        """Give every VM a snapshot; it is used until the next, a lag later."""
        now = self.clock.now()
        for vm, views in enumerate(self.views):
            for name, runner in self.runners.items():
                changes = {"load": runner.report(), "reported_at": now}
                if self.routers:
                    changes["own"] = self.routers[vm].in_flight.runs_at(name)
                views[name] = replace(runner.view, **changes)
        self.at(self.lag_ms, self._report)

    def _arrive(self, runs: list[Run]) -> None:
        for run in runs:
            runner = self.runners[run.chain[run.stage]]
            runner.ready.append(run)
            if not runner.busy:
                # The step starts after all sequences of this event have arrived.
                runner.busy = True
                self.at(0, lambda runner=runner: self._step(runner))

    def _step(self, runner: ModelRunner) -> None:
        if not runner.ready:
            runner.busy = False
            return
        load = runner.view.load
        size = min(load.batch_limit, len(runner.ready))
        batch = [runner.ready.popleft() for _ in range(size)]
        time = load.step_ms + load.token_ms * size
        self.at(time, lambda: self._stepped(runner, batch))

    def _stepped(self, runner: ModelRunner, batch: list[Run]) -> None:
        onward = []
        for run in batch:
            run.stage += 1
            if run.stage == len(run.chain):
                run.stage = 0
                run.tokens_left -= 1
                self.tokens += 1
            if run.tokens_left:
                onward.append(run)
            else:
                self._end(run)
        self.at(HOP_MS, lambda: self._arrive(onward))
        self._step(runner)

    def _end(self, run: Run) -> None:
        self.ended += 1
        for runner in run.chain:
            self.runners[runner].open_runs -= 1
        if self.routers:
            self.routers[run.vm].in_flight.end(run.id, self.clock.now())
        self.on_end(run)


KINDS = {
    "fast": RunnerLoad(batch_limit=32, step_ms=20.0, token_ms=0.2),
    "middle": RunnerLoad(batch_limit=16, step_ms=30.0, token_ms=0.5),
    "slow": RunnerLoad(batch_limit=8, step_ms=40.0, token_ms=1.0),
}


def runner_view(number: int, kind: str, first: int, end: int) -> RunnerView:
    """Return the view of one modelled runner."""
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
        load=KINDS[kind],
    )


def mixed_views(crossing: bool = False, copies: int = 1) -> list[RunnerView]:
    """Return 40 runners of three kinds for each copy.

    :param crossing: two of the layer ranges are also held together by one runner.
    """
    plan = [
        (0, 8, ["fast"] * 2 + ["middle"] * 4 + ["slow"] * 4),
        (8, 16, ["fast"] * 1 + ["middle"] * 5 + ["slow"] * 4),
        (16, 24, ["fast"] * 4 + ["slow"] * 6),
        (24, 32, ["fast"] * 3 + ["middle"] * 4 + ["slow"] * 3),
    ]
    if crossing:
        plan[1] = (8, 16, ["fast"] * 1 + ["middle"] * 3 + ["slow"] * 2)
        plan[2] = (16, 24, ["fast"] * 2 + ["slow"] * 4)
        plan.append((8, 24, ["fast"] * 4 + ["middle"] * 4))
    ranges = [(first, end, kind) for first, end, kinds in plan for kind in kinds]
    return [
        runner_view(number, kind, first, end)
        for number, (first, end, kind) in enumerate(ranges * copies)
    ]


def chain_choice(routers: list[Router]) -> Choose:
    """Return the router's own choice."""

    def choose(vm: int, views: Mapping[str, RunnerView], now: Millis):
        result = routers[vm].choose_chain("m", "1", None, LAYERS, views, now)
        return result.ok_value.runners()

    return choose


def round_robin(seed: int = 3) -> Choose:
    """Return a choice that takes the runners of every layer range in turn."""
    turns: dict[tuple[int, int], int] = {}

    def choose(vm: int, views: Mapping[str, RunnerView], now: Millis):
        def pick(options: list[RunnerView], at: int) -> RunnerView:
            key = (vm, at)
            # Every VM starts at another place, as if it had started at another time.
            turns[key] = turns.get(key, vm * seed) + 1
            return options[turns[key] % len(options)]

        return _walk(views, pick)

    return choose


def least_loaded() -> Choose:
    """Return a choice of the lowest reported load in every layer range."""

    def choose(vm: int, views: Mapping[str, RunnerView], now: Millis):
        def load(view: RunnerView) -> int:
            return view.load.running + view.load.queued

        return _walk(views, lambda options, at: min(options, key=load))

    return choose


def _walk(views: Mapping[str, RunnerView], pick) -> tuple[str, ...]:
    at, chain = 0, []
    while at < LAYERS:
        view = pick([v for v in views.values() if v.first_layer == at], at)
        chain.append(view.runner)
        at = view.end_layer
    return tuple(chain)


def routers_for(vms: int, config: RoutingConfig) -> list[Router]:
    """Return one router for each VM, with different seeds and equal traffic."""
    routers = [Router.from_config(config, seed) for seed in range(vms)]
    for router in routers:
        router.set_peer_factor(vms)
    return routers
