"""Figures of the choice of chains by the router."""

import itertools
from dataclasses import replace

from heathershunt.clock import Millis
from heathershunt.routing import Router, RoutingConfig, pipeline_capacity
from measure.figures import microseconds_each, print_figure
from measure.pipeline_model import (
    HOP_MS,
    LAYERS,
    ChooseChain,
    PipelineModel,
    least_loaded,
    make_routers,
    mixed_views,
    round_robin,
    router_policy,
    runner_view,
)

VMS = 4
MANY_VMS = 64
# Time between two load reports of the runners.
LAG_MS = 500
MEAN_TOKENS = 64


def choice_time() -> None:
    """Measure the time of one chain choice by a router with 64 runs in flight."""
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

        times_ms = itertools.count(1, 30)

        def choose(router=router, views=views, times_ms=times_ms) -> None:
            # Time advances, so the reports age, which is the slower case.
            now = Millis(next(times_ms))
            router.choose_chain("m", "1", None, LAYERS, views, now)

        choice_us = microseconds_each(choose, 100)
        name = f"chain choice, {len(views)} views"
        print_figure(
            name, choice_us, "us", f"{33 * choice_us / 1e4:.2f} % of a core at 33/s"
        )


def herding(
    choose: ChooseChain,
    routers: list[Router] | None,
    vm_weights: tuple[float, ...],
) -> float:
    """Return the ratio of most to mean open runs of ten equal runners, over time.

    The load is 80 % of the capacity.

    :param routers: as for :class:`PipelineModel`.
    :param vm_weights: how the drafts are distributed over the VMs.
    """
    views = [runner_view(number, "middle", 0, LAYERS) for number in range(10)]
    max_rate = pipeline_capacity(views, LAYERS, HOP_MS).tokens_per_second
    vms = len(vm_weights)
    model = PipelineModel(views, vms, LAG_MS, choose, routers)
    mean_gap_ms = 1000 / (0.8 * max_rate / MEAN_TOKENS)
    ratios = []

    def arrive() -> None:
        vm = model.random.choices(range(vms), vm_weights)[0]
        model.start(vm, model.random.randint(32, 96))
        model.schedule(model.random.expovariate(1 / mean_gap_ms), arrive)

    def sample() -> None:
        counts = [runner.open_runs for runner in model.runners.values()]
        if sum(counts):
            ratios.append(max(counts) * len(counts) / sum(counts))
        model.schedule(50, sample)

    arrive()
    model.schedule(5_000, sample)
    model.run_until(65_000)
    return sum(ratios) / len(ratios)


def throughput(
    choose: ChooseChain,
    routers: list[Router] | None,
    crossing: bool,
    headroom: float,
    vms: int = VMS,
) -> float:
    """Return the tokens per second over the bound, with a constant number of runs.

    :param crossing: as for :func:`mixed_views`.
    :param headroom: runs relative to those that saturate the runners.
    """
    views = mixed_views(crossing)
    capacity = pipeline_capacity(views, LAYERS, HOP_MS)
    model = PipelineModel(views, vms, LAG_MS, choose, routers)

    def start_draft(vm: int) -> None:
        model.start(vm, model.random.randint(64, 192))

    model.on_end = lambda run: model.schedule(0, lambda: start_draft(run.vm))
    for number in range(int(capacity.runs * headroom)):
        model.schedule(number * 2, lambda vm=number % vms: start_draft(vm))
    model.run_until(20_000)
    tokens_before = model.tokens
    model.run_until(50_000)
    return (model.tokens - tokens_before) / 30 / capacity.tokens_per_second


def policies(vms: int) -> list[tuple[ChooseChain, list[Router] | None]]:
    """Return the policies to compare, each with its routers."""
    routers = make_routers(vms, RoutingConfig())
    return [
        (router_policy(routers), routers),
        (round_robin(), None),
        (least_loaded(), None),
    ]


def main() -> None:
    """Print the figures of the choice of chains."""
    choice_time()
    for weights, traffic in (
        ((1,) * VMS, "4 VMs"),
        ((7, 1, 1, 1), "4 VMs, 70 % at one"),
        ((1,) * MANY_VMS, f"{MANY_VMS} VMs"),
    ):
        results = [herding(*policy, weights) for policy in policies(len(weights))]
        baseline = f"round robin {results[1]:.2f}, least loaded {results[2]:.2f}"
        print_figure(f"herding, {traffic}", results[0], "worst/mean", baseline)
    cases = [(VMS, headroom) for headroom in (0.9, 1.0, 1.1)] + [(MANY_VMS, 1.0)]
    for crossing in (False, True):
        for vms, headroom in cases:
            results = [
                throughput(choose, routers, crossing, headroom, vms)
                for choose, routers in policies(vms)
            ]
            ranges = "crossing" if crossing else "equal"
            name = f"throughput, {vms} VMs, {ranges} ranges, {headroom} x runs"
            baseline = f"round robin {results[1]:.3f}, least loaded {results[2]:.3f}"
            print_figure(name, results[0], "of bound", baseline)
