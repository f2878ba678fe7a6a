"""Costs that spread the requests of many VMs over unequal runners.

All VMs decide on nearly the same reports, which are up to some seconds old. The chain
that is the cheapest by a report is chosen by all of them until the next one. Three
things prevent this:

- The cost of a runner grows with the part of its KV cache that is in use, so that a
  runner which fills up is as expensive as a slower one before it rejects requests.
- How much that part counts is drawn for each request. Requests of the same moment
  differ in it, so some take fast runners that are busy, and others take slower ones
  that are free.
- The older a report is, the less it counts: what the other VMs have on a runner is
  expected to approach the load at which all runners in use cost the same.
"""

import math
import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

# Time in which the weight of a report falls to 1/e. With a longer one VMs fill runners
# that were free a second ago; with a shorter one runners that are free now are noticed
# late.
TRUST_MS = 600
# Largest weight of the use of a runner's KV cache in its cost. The mean is half of it.
MAX_USE_WEIGHT = 2.0
# Age of the reports from which on the weight is drawn from its whole range.
FULL_RANGE_AGE_MS = 150
# Largest random factor on the cost of each runner, and the same without reports.
JITTER = 1.3
UNKNOWN_JITTER = 2.0
# Part of all KV caches that is assumed to be in use while nothing is known of the other
# VMs, as after a restart of all VMs.
UNKNOWN_USE = 0.3
# Most requests of other VMs on a runner that one of this VM stands for when room is
# looked for without reports. If it stood for one of each VM, a single request would
# make a runner full in a large fleet, and streams would wait for room after a start.
MAX_OWN_FACTOR = 40
# Reports older than this may lack a demand that has grown since, as after a start, so
# no less than UNKNOWN_USE is assumed to be in use then either.
OLD_REPORT_MS = 2000
# Smallest and largest part of all KV caches that the expected load may take.
MIN_USE = 0.02
MAX_USE = 0.95
# Smallest free part of a KV cache in the cost: a full runner costs 50 times as much.
MIN_FREE = 0.02


@dataclass(slots=True)
class RunnerUse:
    """What is known of a runner when a chain is chosen.

    :param layer_ms: usual time of the request for one layer, at a medium load.
    :param capacity: size of the KV cache for requests, in tokens times layers.
    :param own: KV cache that requests of this VM have reserved.
    :param others: the same for the other VMs by their last report.
    :param rejected_ms: time since it rejected a request as full, if it did so.
    :param is_full: whether it rejected a request of this VM since the last report.
    """

    layer_ms: float
    capacity: float
    own: float
    others: float
    rejected_ms: int | None = None
    is_full: bool = False


class Spread:
    """Costs of the runners for one request.

    :param uses: all runners that the request may use.
    :param vms: number of VMs that share the runners.
    :param age_ms: mean age of the reports of the other VMs; ``None`` without any.

    .. versionadded:: 0.10
    """

    def __init__(
        self, uses: Iterable[RunnerUse], vms: int, age_ms: float | None
    ) -> None:
        self._others_vms = vms - 1
        self._is_known = age_ms is not None
        self._is_recent = age_ms is not None and age_ms <= OLD_REPORT_MS
        # A VM that has just started may not have the other VMs in its list yet.
        self._others_part = (vms - 1) / vms if self._is_known else 1.0
        self._trust = 0.0 if age_ms is None else _trust(age_ms)
        self._level_ms = self._find_level(uses)
        self._weight = self._draw_weight(age_ms)
        self._jitter = (JITTER if self._is_known else UNKNOWN_JITTER) - 1

    def _find_level(self, uses: Iterable[RunnerUse]) -> float:
        """Return the cost up to which the load of all VMs fills the runners."""
        own = others = total_capacity = 0.0
        capacity_by_ms: dict[float, float] = {}
        for use in uses:
            own += use.own
            others += use.others
            capacity, layer_ms = use.capacity, use.layer_ms
            total_capacity += capacity
            capacity_by_ms[layer_ms] = capacity_by_ms.get(layer_ms, 0.0) + capacity
        total = own + others
        if not self._is_known:
            total = max(total, own * (1 + self._others_vms))
        if not self._is_recent:
            total = max(total, UNKNOWN_USE * total_capacity)
        total = min(max(total, MIN_USE * total_capacity), MAX_USE * total_capacity)
        return fill_level(capacity_by_ms, total)

    def _draw_weight(self, age_ms: float | None) -> float:
        mean = MAX_USE_WEIGHT / 2
        part = 1.0 if age_ms is None else min(1.0, age_ms / FULL_RANGE_AGE_MS)
        width = mean * part * self._others_part
        return random.uniform(mean - width, mean + width)

    def reserved(self, use: RunnerUse) -> float:
        """Return the KV cache that all VMs are expected to have reserved now.

        A rejection that another VM saw counts as a report of its age: if it counted as
        one that the runner is still full, all VMs would leave the runner together.
        """
        return self._reserved(use, self._others_vms)

    def room(self, use: RunnerUse, reserved: float) -> float:
        """Return the KV cache that requests may take, in tokens times layers.

        :param reserved: KV cache that is expected to be reserved.
        """
        if not self._is_known and reserved > use.capacity:
            reserved = self._reserved(use, min(self._others_vms, MAX_OWN_FACTOR))
        return use.capacity - reserved

    def _reserved(self, use: RunnerUse, own_factor: float) -> float:
        """Return the KV cache that is expected to be reserved.

        :param own_factor: requests of the other VMs on a runner that one of this VM
            stands for if there are no reports.
        """
        if use.is_full:
            return use.capacity
        part = max(0.0, 1 - use.layer_ms / self._level_ms)
        expected = part * use.capacity * self._others_part
        if self._is_known:
            others = self._trust * use.others + (1 - self._trust) * expected
        else:
            others = max(expected, use.own * own_factor, use.others)
        reserved = use.own + others
        if use.rejected_ms is not None and reserved < use.capacity:
            reserved += _trust(use.rejected_ms) * (use.capacity - reserved)
        return reserved

    def cost_ms(self, use: RunnerUse, free: float) -> float:
        """Return the cost of one layer on a runner, in milliseconds.

        :param free: part of the runner that is free, by its KV cache and its slots.
        """
        factor = max(MIN_FREE, free) ** -self._weight
        return use.layer_ms * factor * (1 + self._jitter * random.random())


def fill_level(capacity_by_ms: Mapping[float, float], total: float) -> float:
    """Return the cost of a layer at which all runners in use cost the same.

    The cost of a runner is its usual time divided by the free part of its KV cache. The
    load fills the fastest runners first, up to the cost of the next slower ones.

    :param capacity_by_ms: KV caches of all runners with a usual time of a layer, by it.
    :param total: load of all runners, less than their capacity.
    """
    level = math.inf
    filled = weighted = 0.0
    for layer_ms, capacity in sorted(capacity_by_ms.items()):
        if layer_ms >= level:
            break
        filled += capacity
        weighted += capacity * layer_ms
        if filled > total:
            level = weighted / (filled - total)
    return level


def _trust(age_ms: float) -> float:
    """Return the weight of a report of some age, against what is expected anyway."""
    return math.exp(-age_ms / TRUST_MS)
