"""A budget of repeated sends over a sliding window, shared out among the VMs."""

from collections import deque
from dataclasses import dataclass

from heathershunt.clock import Clock, Millis

# Part of the shared budget that is used. VMs do not know of each other's repeats, and
# one that restarts does not know of its own.
USED_FRACTION = 0.5
# Part of a VM's share for requests that nothing was delivered of; the rest is kept for
# streams that have begun.
UNSTARTED_FRACTION = 0.6
# Part of a VM's share for requests that leave a chain that is only slow; without a
# repeat they may still be served where they are.
REROUTE_FRACTION = 0.3


@dataclass(frozen=True)
class BudgetConfig:
    """Bounds over all VMs.

    :param window_ms: length of the window.
    :param ratio: repeats allowed for each request.
    :param slack: repeats allowed beyond that.

    .. versionadded:: 0.2
    """

    window_ms: int
    ratio: float
    slack: float


class _Window:
    """Times of events in the last window."""

    def __init__(self) -> None:
        self._times: deque[Millis] = deque()

    def add(self, now: Millis) -> None:
        self._times.append(now)

    def count(self, since: int) -> int:
        while self._times and self._times[0] <= since:
            self._times.popleft()
        return len(self._times)


class WindowBudget:
    """Counts first sends and repeats of one service at this VM.

    .. versionadded:: 0.2
    """

    def __init__(self, clock: Clock, config: BudgetConfig) -> None:
        self._clock = clock
        self._config = config
        self._requests_by_service: dict[str, _Window] = {}
        self._retries_by_service: dict[str, _Window] = {}
        self._max_vms = 1
        self._max_vms_at = clock.now()

    def note_request(self, service: str) -> None:
        """Count a request of a caller."""
        window = self._requests_by_service.setdefault(service, _Window())
        window.add(self._clock.now())

    def take(self, service: str, vms: int, *, has_begun: bool = False) -> bool:
        """Take one repeat; return whether there was one left.

        :param vms: VMs that share the budget.
        :param has_begun: whether a part of the answer was delivered already.
        """
        fraction = 1.0 if has_begun else UNSTARTED_FRACTION
        if not self._has_left(service, vms, fraction):
            return False
        self._retries_by_service[service].add(self._clock.now())
        return True

    def may_reroute(self, service: str, vms: int) -> bool:
        """Return whether repeats are left for a request that runs somewhere slowly.

        :param vms: VMs that share the budget.
        """
        return self._has_left(service, vms, REROUTE_FRACTION)

    def _has_left(self, service: str, vms: int, fraction: float) -> bool:
        """Return whether a part of this VM's share has a repeat left."""
        now = self._clock.now()
        since = now - self._config.window_ms
        vms = self._update_max_vms(vms, now)
        requests = self._requests_by_service.setdefault(service, _Window())
        retries = self._retries_by_service.setdefault(service, _Window())
        config = self._config
        vm_slack = config.slack / max(1, vms)
        allowed = USED_FRACTION * (requests.count(since) * config.ratio + vm_slack)
        return retries.count(since) + 1 <= allowed * fraction

    def _update_max_vms(self, vms: int, now: Millis) -> int:
        """Return the most VMs of the last window; those that left used their share."""
        if vms >= self._max_vms or now - self._max_vms_at > self._config.window_ms:
            self._max_vms = vms
            self._max_vms_at = now
        return self._max_vms
