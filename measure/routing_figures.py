"""Figures of the chain choice."""

import itertools
from dataclasses import replace

from heathershunt.clock import Millis
from heathershunt.routing import Router, RoutingConfig, pipeline_capacity
from measure.figures import figure, microseconds_each
from measure.pipeline_model import (
    HOP_MS,
    LAYERS,
    Choose,
    PipelineModel,
    chain_choice,
    least_loaded,
    mixed_views,
    round_robin,
    routers_for,
    runner_view,
)

VMS = 4
MANY_VMS = 64
LAG_MS = 500
MEAN_TOKENS = 64


def choice_time() -> None:
    """Measure the time of one chain choice, with own runs in flight."""
    for copies in (1, 4):
        router = Router.from_config(RoutingConfig(), 1)
        views = {
            view.runner: replace(view, own=router.in_flight.runs_at(view.runner))
            for view in mixed_views(copies=copies)
        }
        router.set_peer_factor(VMS)
        for number in range(64):
            chain = router.choose_chain("m", "1", None, LAYERS, views, Millis(1))
            runners = chain.ok_value.runners()
            router.in_flight.start(f"run{number}", runners, Millis(number % 2))

        times = itertools.count(1, 30)

        def choose(router=router, views=views, times=times) -> None:
            # The reports grow old, which is the slower case.
            now = Millis(next(times))
            router.choose_chain("m", "1", None, LAYERS, views, now)

        micros = microseconds_each(choose, 100)
        name = f"chain choice, {len(views)} views"
        figure(name, micros, "us", f"{33 * micros / 1e4:.2f} % of a core at 33/s")


def herding(
    choose: Choose,
    routers: list[Router] | None,
    vm_weights: tuple[float, ...],
) -> float:
    """Return worst/mean open runs over ten equal runners, averaged over time."""
    views = [runner_view(number, "middle", 0, LAYERS) for number in range(10)]
    bound = pipeline_capacity(views, LAYERS, HOP_MS).tokens_per_second
    vms = len(vm_weights)
    model = PipelineModel(views, vms, LAG_MS, choose, routers)
    gap_ms = 1000 / (0.8 * bound / MEAN_TOKENS)
    ratios = []

    def arrive() -> None:
        vm = model.random.choices(range(vms), vm_weights)[0]
        model.start(vm, model.random.randint(32, 96))
        model.at(model.random.expovariate(1 / gap_ms), arrive)

    def look() -> None:
        counts = [runner.open_runs for runner in model.runners.values()]
        if sum(counts):
            ratios.append(max(counts) * len(counts) / sum(counts))
        model.at(50, look)

    arrive()
    model.at(5_000, look)
    model.run_until(65_000)
    return sum(ratios) / len(ratios)


def throughput(
    choose: Choose,
    routers: list[Router] | None,
    crossing: bool,
    headroom: float,
    vms: int = VMS,
) -> float:
    """Return tokens per second over the bound, with the runs that admission allows."""
    views = mixed_views(crossing)
    capacity = pipeline_capacity(views, LAYERS, HOP_MS)
    model = PipelineModel(views, vms, LAG_MS, choose, routers)

    def begin(vm: int) -> None:
        model.start(vm, model.random.randint(64, 192))

    model.on_end = lambda run: model.at(0, lambda: begin(run.vm))
    for number in range(int(capacity.runs * headroom)):
        model.at(number * 2, lambda vm=number % vms: begin(vm))
    model.run_until(20_000)
    before = model.tokens
    model.run_until(50_000)
    return (model.tokens - before) / 30 / capacity.tokens_per_second


def policies(vms: int) -> list[tuple[Choose, list[Router] | None]]:
    """Return the router's choice, round robin and least loaded."""
    routers = routers_for(vms, RoutingConfig())
    return [
        (chain_choice(routers), routers),
        (round_robin(), None),
        (least_loaded(), None),
    ]


def main() -> None:
    """Print the figures of the chain choice."""
    choice_time()
    for weights, traffic in (
        ((1,) * VMS, "4 VMs"),
        ((7, 1, 1, 1), "4 VMs, 70 % at one"),
        ((1,) * MANY_VMS, f"{MANY_VMS} VMs"),
    ):
        found = [herding(*policy, weights) for policy in policies(len(weights))]
        baseline = f"round robin {found[1]:.2f}, least loaded {found[2]:.2f}"
        figure(f"herding, {traffic}", found[0], "worst/mean", baseline)
    cases = [(VMS, headroom) for headroom in (0.9, 1.0, 1.1)] + [(MANY_VMS, 1.0)]
    for crossing in (False, True):
        for vms, headroom in cases:
            found = [
                throughput(choose, routers, crossing, headroom, vms)
                for choose, routers in policies(vms)
            ]
            ranges = "crossing" if crossing else "equal"
            name = f"throughput, {vms} VMs, {ranges} ranges, {headroom} x runs"
            baseline = f"round robin {found[1]:.3f}, least loaded {found[2]:.3f}"
            figure(name, found[0], "of bound", baseline)
