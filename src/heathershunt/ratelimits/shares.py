"""Division of one target's limit among the VMs, without messages for each request.

A few VMs send to a target with a limit: so many that the first requests of all of them
stay within the limit too, which those of hundreds of VMs would not. All VMs agree on
them by a hash of the names. Each of them has a part of the limit, by its demand if the
demands of all are known, and else the same part as the others. So the parts add up to
about the limit whatever the VMs know, and each VM can decide alone.
"""

import hashlib
from bisect import bisect
from collections.abc import Collection, Mapping
from functools import lru_cache
from itertools import chain

# Fraction of a limit that is used, as VMs learn of a lower limit or another VM late.
USED_FRACTION = 0.9
# VMs that send to a target for each request a second that it takes: many for the first
# few requests, fewer for more. Each VM may have a token ready, so their number also
# bounds the burst of all of them.
SENDERS_PER_FIRST_RATE = 4.0
MAX_FIRST_SENDERS = 4
SENDERS_PER_RATE = 0.5
# Requests a second that a target gets though it takes fewer, even none: only its
# answers tell that it takes more again.
MIN_RATE = 0.2
# Points of a VM on the ring; more of them divide the targets more evenly.
POINTS_PER_VM = 8
# Smallest weight of a VM, as a fraction of the mean demand: a VM that had no requests
# may get some.
MIN_WEIGHT_FRACTION = 0.25


def sender_count(per_s: float, vms: int) -> int:
    """Return how many of ``vms`` VMs may send requests to a target.

    :param per_s: limit of the target.
    """
    first = min(MAX_FIRST_SENDERS, max(1, int(per_s * SENDERS_PER_FIRST_RATE)))
    return min(vms, first + int(per_s * SENDERS_PER_RATE))


class SenderRing:
    """Chooses the VMs that may send to a target, the same ones on all VMs.

    The VMs have points on a ring of hashes, and a target is sent requests by the first
    VMs after its own hash. So a VM that comes or goes changes one sender of some
    targets.

    :param vms: names of all VMs, on whose order nothing depends.

    .. versionadded:: 0.7
    """

    def __init__(self, vms: Collection[str]) -> None:
        self._points = sorted(
            (_hash(f"{vm} {number}"), vm)
            for vm in vms
            for number in range(POINTS_PER_VM)
        )

    def senders(self, target_id: str, count: int) -> tuple[str, ...]:
        """Return ``count`` VMs, or all of them if there are fewer."""
        start = bisect(self._points, (_hash(target_id), ""))
        found: dict[str, None] = {}
        for _, vm in chain(self._points[start:], self._points[:start]):
            if len(found) >= count:
                break
            found[vm] = None
        return tuple(found)


def share_per_s(
    vm: str,
    senders: Collection[str],
    per_s: float,
    demand_by_vm: Mapping[str, float],
) -> float:
    """Return the requests a second that one VM may send to a target; 0 for none.

    :param senders: VMs that may send to the target.
    :param per_s: limit of the target.
    :param demand_by_vm: requests a second that VMs receive, as far as it is known.
    """
    if vm not in senders:
        return 0.0
    usable = max(MIN_RATE, per_s * USED_FRACTION)
    if any(name not in demand_by_vm for name in senders):
        return usable / len(senders)
    mean = sum(demand_by_vm[name] for name in senders) / len(senders)
    if mean <= 0:
        return usable / len(senders)
    least = mean * MIN_WEIGHT_FRACTION
    total = sum(max(least, demand_by_vm[name]) for name in senders)
    return usable * max(least, demand_by_vm[vm]) / total


@lru_cache(maxsize=4)
def ring_of(vms: frozenset[str]) -> SenderRing:
    """Return the ring of some VMs."""
    return SenderRing(vms)


def _hash(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
