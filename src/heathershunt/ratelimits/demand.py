"""Requests a second that this VM and the others receive."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from heathershunt.clock import Millis

MILLISECONDS_PER_SECOND = 1000
# Time over which the demand of a VM is counted. A sudden change is spread over it, so
# that the other VMs learn of it before the parts have changed much.
WINDOW_MS = 4000
# The demand of another VM is used for this long after it was last reported.
MAX_AGE_MS = 10_000


@dataclass(frozen=True, slots=True)
class KnownDemand:
    """Demand of a VM as it reported it.

    :param per_s: requests a second.
    """

    per_s: float
    reported_at: Millis


class DemandTable:
    """Counts the requests of this VM, and keeps the demands of the others.

    :param vm: name of this VM.

    .. versionadded:: 0.7
    """

    def __init__(self, vm: str) -> None:
        self._vm = vm
        self._times: deque[Millis] = deque()
        self._known_by_vm: dict[str, KnownDemand] = {}

    def record_request(self, now: Millis) -> None:
        """Count a request of a caller of this VM."""
        self._times.append(now)
        self._drop_old(now)

    def put(self, vm: str, demand: KnownDemand) -> None:
        """Set the demand of another VM, unless a later report of it is known."""
        known = self._known_by_vm.get(vm)
        if vm != self._vm and (known is None or known.reported_at < demand.reported_at):
            self._known_by_vm[vm] = demand

    def known(self, now: Millis) -> dict[str, KnownDemand]:
        """Return the demands by VM, that of this VM included."""
        self._drop_old(now)
        limit = now - MAX_AGE_MS
        self._known_by_vm = {
            vm: demand
            for vm, demand in self._known_by_vm.items()
            if demand.reported_at >= limit
        }
        own_per_s = len(self._times) * MILLISECONDS_PER_SECOND / WINDOW_MS
        return self._known_by_vm | {self._vm: KnownDemand(own_per_s, now)}

    def keep_only(self, vms: Iterable[str]) -> None:
        """Drop the demands of VMs that are not among ``vms``."""
        kept = set(vms)
        for vm in self._known_by_vm.keys() - kept:
            del self._known_by_vm[vm]

    def _drop_old(self, now: Millis) -> None:
        while self._times and self._times[0] <= now - WINDOW_MS:
            self._times.popleft()
