"""Throughput and concurrency that a pipeline of mixed runners can sustain."""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from heathershunt.routing.views import RunnerView

Range = tuple[int, int]
# Residual capacity in tokens per second up to which a range counts as saturated.
NEGLIGIBLE_FLOW = 1e-9
# Steps that a token spends at a stage: a token that arrives during a step waits half a
# step on average before its own step.
STEPS_PER_TOKEN = 1.5


@dataclass(frozen=True)
class PipelineCapacity:
    """Combined capacity of the runners of one model.

    :param tokens_per_second: throughput limit, set by the slowest layers.
    :param runs: concurrent runs that saturate the slowest layers (Little's law).
    :param tokens_per_second_by_range: part of the throughput on each layer range.

    .. versionadded:: 0.1
    """

    tokens_per_second: float
    runs: float
    tokens_per_second_by_range: Mapping[Range, float]


def pipeline_capacity(
    views: Iterable[RunnerView], layers: int, hop_ms: float = 0.6
) -> PipelineCapacity:
    """Return the capacity of ``views``, all usable for one model and version.

    The throughput limit is the maximum flow from layer 0 to ``layers``, where a runner
    processes ``batch_limit`` tokens per full step. The runs at each stage are its flow
    times the time that a token spends there, plus the runs on the link to the stage.

    :param hop_ms: one-way link delay between two stages.
    """
    rate_by_range: dict[Range, float] = {}
    batch_by_range: dict[Range, int] = {}
    for view in views:
        load = view.load
        is_empty = view.end_layer <= view.first_layer or load.batch_limit < 1
        if view.leaving or is_empty:
            continue
        key = (view.first_layer, view.end_layer)
        rate = load.batch_limit * 1000 / load.full_step_ms()
        rate_by_range[key] = rate_by_range.get(key, 0.0) + rate
        batch_by_range[key] = batch_by_range.get(key, 0) + load.batch_limit
    flow_by_range = _max_flow(rate_by_range, layers)
    total = sum(flow for (first, _), flow in flow_by_range.items() if first == 0)
    runs = sum(
        STEPS_PER_TOKEN * batch_by_range[key] * flow / rate_by_range[key]
        + flow * hop_ms / 1000
        for key, flow in flow_by_range.items()
    )
    return PipelineCapacity(total, runs, flow_by_range)


def _max_flow(rate_by_range: Mapping[Range, float], layers: int) -> dict:
    """Return the maximum flow by range, found with shortest augmenting paths."""
    flow_by_range = dict.fromkeys(rate_by_range, 0.0)
    while path := _augmenting_path(rate_by_range, flow_by_range, layers):
        residual = min(
            rate_by_range[key] - flow_by_range[key] if forward else flow_by_range[key]
            for key, forward in path
        )
        for key, forward in path:
            flow_by_range[key] += residual if forward else -residual
    return flow_by_range


def _augmenting_path(
    rate_by_range: Mapping[Range, float],
    flow_by_range: Mapping[Range, float],
    layers: int,
) -> list[tuple[Range, bool]]:
    """Return ranges and whether they are used forward; empty if no path is left."""
    edge_by_node: dict[int, tuple[Range, bool]] = {}
    pending = deque([0])
    while pending and layers not in edge_by_node:
        node = pending.popleft()
        for key, rate in rate_by_range.items():
            first, end = key
            if first == node and rate - flow_by_range[key] > NEGLIGIBLE_FLOW:
                neighbor, forward = end, True
            elif end == node and flow_by_range[key] > NEGLIGIBLE_FLOW:
                neighbor, forward = first, False
            else:
                continue
            if neighbor and neighbor not in edge_by_node:
                edge_by_node[neighbor] = (key, forward)
                pending.append(neighbor)
    path: list[tuple[Range, bool]] = []
    path_start = layers
    while path_start and path_start in edge_by_node:
        key, forward = edge_by_node[path_start]
        path.append((key, forward))
        path_start = key[0] if forward else key[1]
    return path
