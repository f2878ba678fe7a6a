"""The plan: which runner shall hold which layers of which model version; pure.

The number of replicas is not configured. All usable runners are shared among the
models of the bundle, and within a model evenly over its ranges of layers.
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
PLACED_ROLES = frozenset({DRAFTING, LOADING, IDLE})


@dataclass(frozen=True)
class Order:
    """Desired state of one runner.

    :param checks_fence: whether the runner rejects an old fencing token.

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
        """Return the order as the engine protocol has it."""
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
        """Return whether a runner holds, or is loading, what is ordered."""
        return (
            (report.model, report.version) == (self.model, self.version)
            and sorted(report.adapters) == sorted(self.adapters)
            and _range(report) == Range(self.first_layer, self.end_layer)
            and report.role in (self.role, LOADING)
        )


def _range(report: RunnerReport) -> Range:
    return Range(report.first_layer, report.end_layer)


def is_usable(report: RunnerReport) -> bool:
    """Return whether placement may order a runner."""
    return not report.leaving and report.role in PLACED_ROLES


def model_ranges(
    model: Model, runners: Iterable[RunnerReport], layers_per_runner: int
) -> tuple[Range, ...]:
    """Return the ranges that a model is cut into."""
    held = Counter(_range(r) for r in runners if r.model == model.name)
    return choose_ranges(model.layers, held, layers_per_runner)


def allot_runners(
    models: Sequence[Model], runners: Sequence[RunnerReport], layers_per_runner: int
) -> dict[str, list[RunnerReport]]:
    """Share usable runners among the models; a runner moves only where it must.

    A runner of no model in the bundle goes to the model with the fewest runners for
    each of its ranges. A model with fewer runners than ranges takes runners from the
    model with the most.
    """
    usable = sorted(filter(is_usable, runners), key=lambda r: r.runner)
    stages = {m.name: len(model_ranges(m, usable, layers_per_runner)) for m in models}
    own: dict[str, list[RunnerReport]] = {name: [] for name in sorted(stages)}
    free = []
    for report in usable:
        own.get(report.model, free).append(report)

    def ratio(name: str) -> float:
        return len(own[name]) / stages[name]

    for report in free:
        if own:
            own[min(own, key=ratio)].append(report)
    for name in own:
        while len(own[name]) < stages[name]:
            donor = max(own, key=ratio)
            if len(own[donor]) <= stages[donor]:
                break
            own[name].append(own[donor].pop())
    return own


def assign_ranges(
    ranges: Sequence[Range], runners: Sequence[RunnerReport]
) -> dict[str, Range]:
    """Return the range of each runner, spread evenly and over failure domains."""
    members: dict[Range, list[RunnerReport]] = {one: [] for one in ranges}
    strays = []
    for report in runners:
        members.get(_range(report), strays).append(report)

    def crowd(one: Range, domain: str) -> tuple[int, int, Range]:
        same = sum(r.domain == domain for r in members[one])
        return len(members[one]), same, one

    for report in strays:
        members[min(ranges, key=lambda one: crowd(one, report.domain))].append(report)
    while True:
        largest = max(ranges, key=lambda one: len(members[one]))
        smallest = min(ranges, key=lambda one: len(members[one]))
        if len(members[largest]) - len(members[smallest]) < 2:
            break
        report = _best_to_move(members[largest], members[smallest])
        members[largest].remove(report)
        members[smallest].append(report)
    return {r.runner: one for one, held in members.items() for r in held}


def _best_to_move(
    source: list[RunnerReport], target: list[RunnerReport]
) -> RunnerReport:
    """Prefer a domain that is common in the source and rare in the target."""
    left = Counter(r.domain for r in source)
    there = Counter(r.domain for r in target)
    return min(source, key=lambda r: (there[r.domain], -left[r.domain], r.runner))


def plan(
    model: Model,
    models: Sequence[Model],
    states: Sequence[RunnerState],
    *,
    layers_per_runner: int,
    loads: int,
    token: int = 0,
) -> tuple[Order, ...]:
    """Return the orders that bring the runners of ``model`` closer to its plan.

    :param models: all models of the bundle.
    :param states: all runners that report.
    :param loads: loads that may run at a time; those under way are counted.
    :param token: fencing token that every runner shall know; runners with a lower
        one are ordered what they hold already, so that older orders are rejected.
    """
    by_name = {state.report.runner: state for state in states}
    reports = [state.report for state in states]
    mine = allot_runners(models, reports, layers_per_runner)[model.name]
    ranges = model_ranges(model, filter(is_usable, reports), layers_per_runner)
    assigned = assign_ranges(ranges, mine)
    desired = [_order(by_name[r.runner], model, assigned[r.runner]) for r in mine]
    known, changes = [], []
    for order in desired:
        report = by_name[order.runner].report
        if not order.is_fulfilled_by(report):
            changes.append(order)
        elif order.checks_fence and report.fence < token:
            known.append(order)
    loading = sum(r.role == LOADING for r in mine)
    room = max(0, loads - loading)
    chosen = _safe_changes(model, ranges, mine, changes, room)
    return (*known, *chosen)


def _order(state: RunnerState, model: Model, one: Range) -> Order:
    report = state.report
    return Order(
        report.runner,
        state.address,
        report.checks_fence,
        model.name,
        model.version,
        model.adapters,
        one.first,
        one.end,
    )


def _confirmed(
    model: Model, ranges: Sequence[Range], runners: Sequence[RunnerReport]
) -> dict[str, dict[Range, set[str]]]:
    """Return the runners that serve each range, by version."""
    by_version: dict[str, dict[Range, set[str]]] = defaultdict(
        lambda: {one: set() for one in ranges}
    )
    for report in runners:
        if report.model == model.name and report.role == DRAFTING:
            if _range(report) in ranges:
                by_version[report.version][_range(report)].add(report.runner)
    return by_version


def _safe_changes(
    model: Model,
    ranges: Sequence[Range],
    mine: Sequence[RunnerReport],
    changes: Sequence[Order],
    room: int,
) -> list[Order]:
    """Choose changes that leave every chain that must stay whole.

    Until full chains of the bundle's version are confirmed, full chains of the older
    version stay; a range of the bundle's version never loses its last runner.
    """
    serving = _confirmed(model, ranges, mine)
    protected = {model.version}
    if not all(serving[model.version].values()):
        protected |= {v for v, held in serving.items() if all(held.values())}
    reports = {report.runner: report for report in mine}
    planned = _planned(model, mine)
    chosen: list[Order] = []
    pending = list(changes)
    while pending and len(chosen) < room:
        # A range that fewest runners of the new version will hold comes first.
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


def _planned(model: Model, mine: Sequence[RunnerReport]) -> Counter[Range]:
    wanted = (model.name, model.version)
    return Counter(_range(r) for r in mine if (r.model, r.version) == wanted)


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
