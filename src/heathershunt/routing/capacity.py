"""How much a pipeline of mixed runners can carry."""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from heathershunt.routing.views import RunnerView

Range = tuple[int, int]
NEGLIGIBLE_FLOW = 1e-9
# A token that arrives during a step waits half a step on average before its own.
STEPS_PER_VISIT = 1.5


@dataclass(frozen=True)
class PipelineCapacity:
    """What the runners of one model carry together.

    :param tokens_per_second: bound that the slowest layers set.
    :param runs: concurrent runs that keep the slowest layers full (Little's law).
    :param tokens_per_second_by_range: share of the bound on each layer range.

    .. versionadded:: 0.1
    """

    tokens_per_second: float
    runs: float
    tokens_per_second_by_range: Mapping[Range, float]


def pipeline_capacity(
    views: Iterable[RunnerView], layers: int, hop_ms: float = 0.6
) -> PipelineCapacity:
    """Return the capacity of ``views``, all usable for one model and version.

    The bound is the largest flow from layer 0 to ``layers``, where a runner
    carries ``batch_limit`` tokens per full step. Each stage then holds flow times
    the time of a visit, plus the runs on the link to it.
    """
    rate_by_range: dict[Range, float] = {}
    batch_by_range: dict[Range, int] = {}
    for view in views:
        load = view.load
        empty = view.end_layer <= view.first_layer or load.batch_limit < 1
        if view.leaving or empty:
            continue
        key = (view.first_layer, view.end_layer)
        rate = load.batch_limit * 1000 / load.full_step_ms()
        rate_by_range[key] = rate_by_range.get(key, 0.0) + rate
        batch_by_range[key] = batch_by_range.get(key, 0) + load.batch_limit
    flow_by_range = _largest_flow(rate_by_range, layers)
    total = sum(flow for (first, _), flow in flow_by_range.items() if first == 0)
    runs = sum(
        STEPS_PER_VISIT * batch_by_range[key] * flow / rate_by_range[key]
        + flow * hop_ms / 1000
        for key, flow in flow_by_range.items()
    )
    return PipelineCapacity(total, runs, flow_by_range)


def _largest_flow(rate_by_range: Mapping[Range, float], layers: int) -> dict:
    """Return the flow on each range by shortest augmenting paths."""
    flow_by_range = dict.fromkeys(rate_by_range, 0.0)
    while path := _augmenting_path(rate_by_range, flow_by_range, layers):
        slack = min(
            rate_by_range[key] - flow_by_range[key] if forward else flow_by_range[key]
            for key, forward in path
        )
        for key, forward in path:
            flow_by_range[key] += slack if forward else -slack
    return flow_by_range


def _augmenting_path(
    rate_by_range: Mapping[Range, float],
    flow_by_range: Mapping[Range, float],
    layers: int,
) -> list[tuple[Range, bool]]:
    came_by: dict[int, tuple[Range, bool]] = {}
    waiting = deque([0])
    while waiting and layers not in came_by:
        here = waiting.popleft()
        for key, rate in rate_by_range.items():
            first, end = key
            if first == here and rate - flow_by_range[key] > NEGLIGIBLE_FLOW:
                there, forward = end, True
            elif end == here and flow_by_range[key] > NEGLIGIBLE_FLOW:
                there, forward = first, False
            else:
                continue
            if there and there not in came_by:
                came_by[there] = (key, forward)
                waiting.append(there)
    path: list[tuple[Range, bool]] = []
    at = layers
    while at and at in came_by:
        key, forward = came_by[at]
        path.append((key, forward))
        at = key[0] if forward else key[1]
    return path
