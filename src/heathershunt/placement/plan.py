"""The plan: which runner should hold which layers of which model version.

The number of replicas is not configured. All usable runners are shared among the
models of the bundle, and within a model evenly over its layer ranges. The functions
of this module are pure.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from heathershunt.bundle import Model
from heathershunt.http import Address
from heathershunt.placement.ranges import Range, choose_ranges
from heathershunt.runners import RunnerReport, RunnerState

DRAFTING = "drafting"
LOADING = "loading"
IDLE = "idle"
# Roles of the runners that placement may send orders to.
PLACED_ROLES = frozenset({DRAFTING, LOADING, IDLE})


@dataclass(frozen=True)
class Order:
    """Desired state of one runner.

    :param checks_fence: whether the runner rejects orders with an old fencing token.

    .. versionadded:: 0.1
    """

    runner: str
    address: Address
    checks_fence: bool
    model: str
    version: str
    adapters: tuple[str, ...]
    first_layer: int
    end_layer: int
    role: str = DRAFTING

    def body(self, fence: int) -> dict[str, Any]:
        """Return the body of the order in the engine protocol."""
        return {
            "fence": fence,
            "model": self.model,
            "version": self.version,
            "adapters": list(self.adapters),
            "first_layer": self.first_layer,
            "end_layer": self.end_layer,
            "role": self.role,
        }

    def is_fulfilled_by(self, report: RunnerReport) -> bool:
        """Return whether a runner holds or is loading the layers of this order."""
        return (
            (report.model, report.version) == (self.model, self.version)
            and sorted(report.adapters) == sorted(self.adapters)
            and _range(report) == Range(self.first_layer, self.end_layer)
            and report.role in (self.role, LOADING)
        )


def _range(report: RunnerReport) -> Range:
    return Range(report.first_layer, report.end_layer)


def is_usable(report: RunnerReport) -> bool:
    """Return whether placement may send orders to a runner."""
    return not report.leaving and report.role in PLACED_ROLES


def model_ranges(
    model: Model, runners: Iterable[RunnerReport], layers_per_runner: int
) -> tuple[Range, ...]:
    """Return the layer ranges that a model is split into."""
    held = Counter(_range(r) for r in runners if r.model == model.name)
    return choose_ranges(model.layers, held, layers_per_runner)


def allocate_runners(
    models: Sequence[Model], runners: Sequence[RunnerReport], layers_per_runner: int
) -> dict[str, list[RunnerReport]]:
    """Share usable runners among the models with as few moves as possible.

    A runner whose model is not in the bundle goes to the model with the fewest runners
    per layer range. A model with fewer runners than ranges takes runners from the model
    with the most runners per range.
    """
    usable = sorted(filter(is_usable, runners), key=lambda r: r.runner)
    stages = {m.name: len(model_ranges(m, usable, layers_per_runner)) for m in models}
    allocated: dict[str, list[RunnerReport]] = {name: [] for name in sorted(stages)}
    unassigned = []
    for report in usable:
        allocated.get(report.model, unassigned).append(report)

    def replicas(name: str) -> float:
        return len(allocated[name]) / stages[name]

    for report in unassigned:
        if allocated:
            allocated[min(allocated, key=replicas)].append(report)
    for name in allocated:
        while len(allocated[name]) < stages[name]:
            donor = max(allocated, key=replicas)
            if len(allocated[donor]) <= stages[donor]:
                break
            allocated[name].append(allocated[donor].pop())
    return allocated


def assign_ranges(
    ranges: Sequence[Range], runners: Sequence[RunnerReport]
) -> dict[str, Range]:
    """Return the range of each runner, by runner name.

    The runners are spread evenly over the ranges, and those of a range over failure
    domains.
    """
    holders: dict[Range, list[RunnerReport]] = {span: [] for span in ranges}
    unassigned = []
    for report in runners:
        holders.get(_range(report), unassigned).append(report)

    def occupancy(span: Range, domain: str) -> tuple[int, int, Range]:
        same = sum(r.domain == domain for r in holders[span])
        return len(holders[span]), same, span

    for report in unassigned:
        holders[min(ranges, key=lambda span: occupancy(span, report.domain))].append(
            report
        )
    while True:
        largest = max(ranges, key=lambda span: len(holders[span]))
        smallest = min(ranges, key=lambda span: len(holders[span]))
        if len(holders[largest]) - len(holders[smallest]) < 2:
            break
        report = _runner_to_move(holders[largest], holders[smallest])
        holders[largest].remove(report)
        holders[smallest].append(report)
    return {r.runner: span for span, held in holders.items() for r in held}


def _runner_to_move(
    source: list[RunnerReport], target: list[RunnerReport]
) -> RunnerReport:
    """Return the runner of ``source`` whose move spreads the domains best.

    Its domain is the rarest in ``target`` and, among equals, the most common in
    ``source``.
    """
    in_source = Counter(r.domain for r in source)
    in_target = Counter(r.domain for r in target)
    return min(
        source, key=lambda r: (in_target[r.domain], -in_source[r.domain], r.runner)
    )


def plan(
    model: Model,
    models: Sequence[Model],
    states: Sequence[RunnerState],
    *,
    layers_per_runner: int,
    max_loads: int,
    token: int = 0,
) -> tuple[Order, ...]:
    """Return the orders that bring the runners of ``model`` closer to its plan.

    :param models: all models of the bundle.
    :param states: all runners with a current report.
    :param max_loads: loads that may run at a time, including those in progress.
    :param token: current fencing token. A runner that checks tokens and reports a lower
        one is ordered what it already holds, so that it rejects older orders.
    """
    by_name = {state.report.runner: state for state in states}
    reports = [state.report for state in states]
    allocated = allocate_runners(models, reports, layers_per_runner)[model.name]
    ranges = model_ranges(model, filter(is_usable, reports), layers_per_runner)
    assigned = assign_ranges(ranges, allocated)
    desired = [_order(by_name[r.runner], model, assigned[r.runner]) for r in allocated]
    token_updates, changes = [], []
    for order in desired:
        report = by_name[order.runner].report
        if not order.is_fulfilled_by(report):
            changes.append(order)
        elif order.checks_fence and report.fence < token:
            token_updates.append(order)
    loading = sum(r.role == LOADING for r in allocated)
    load_slots = max(0, max_loads - loading)
    chosen = _safe_changes(model, ranges, allocated, changes, load_slots)
    return (*token_updates, *chosen)


def _order(state: RunnerState, model: Model, span: Range) -> Order:
    report = state.report
    return Order(
        report.runner,
        state.address,
        report.checks_fence,
        model.name,
        model.version,
        model.adapters,
        span.first,
        span.end,
    )


def _serving_by_version(
    model: Model, ranges: Sequence[Range], runners: Sequence[RunnerReport]
) -> dict[str, dict[Range, set[str]]]:
    """Return the names of the runners that report to serve each range, by version."""
    by_version: dict[str, dict[Range, set[str]]] = defaultdict(
        lambda: {span: set() for span in ranges}
    )
    for report in runners:
        if report.model == model.name and report.role == DRAFTING:
            if _range(report) in ranges:
                by_version[report.version][_range(report)].add(report.runner)
    return by_version


def _safe_changes(
    model: Model,
    ranges: Sequence[Range],
    runners: Sequence[RunnerReport],
    changes: Sequence[Order],
    load_slots: int,
) -> list[Order]:
    """Choose at most ``load_slots`` changes that keep every protected chain complete.

    Until the runners report complete chains of the bundle's version, the older versions
    keep their complete chains. A range of the bundle's version never loses its last
    runner.
    """
    serving = _serving_by_version(model, ranges, runners)
    protected = {model.version}
    if not all(serving[model.version].values()):
        protected |= {v for v, held in serving.items() if all(held.values())}
    reports = {report.runner: report for report in runners}
    planned = _planned_counts(model, runners)
    chosen: list[Order] = []
    pending = list(changes)
    while pending and len(chosen) < load_slots:
        # The range that the fewest runners of the new version hold or load comes first.
        pending.sort(
            key=lambda o: (planned[Range(o.first_layer, o.end_layer)], o.runner)
        )
        order = next(
            (o for o in pending if _may_load(o, reports, serving, protected)), None
        )
        if order is None:
            break
        pending.remove(order)
        chosen.append(order)
        planned[Range(order.first_layer, order.end_layer)] += 1
        for held in serving.values():
            for names in held.values():
                names.discard(order.runner)
    return chosen


def _planned_counts(model: Model, runners: Sequence[RunnerReport]) -> Counter[Range]:
    wanted = (model.name, model.version)
    return Counter(_range(r) for r in runners if (r.model, r.version) == wanted)


def _may_load(
    order: Order,
    reports: Mapping[str, RunnerReport],
    serving: Mapping[str, Mapping[Range, set[str]]],
    protected: set[str],
) -> bool:
    report = reports[order.runner]
    if report.version not in protected:
        return True
    holders = serving[report.version].get(_range(report), set())
    return holders != {order.runner}
