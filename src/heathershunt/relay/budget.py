"""A retry budget over a sliding window, divided among the VMs."""

from collections import deque
from dataclasses import dataclass

from heathershunt.clock import Clock, Millis

# Fraction of the shared budget that is used. A VM does not see the retries of other
# VMs, nor those of its process before a restart.
USED_FRACTION = 0.5
# Time after the start of a process until it knows the other VMs.
SETTLING_MS = 2000
# Retries of each service that a process takes from the slack in any case.
FIRST_RETRIES = 1
# Fraction of a VM's share for requests of which nothing was delivered; the rest is kept
# for streams that have begun.
UNSTARTED_FRACTION = 0.6
# Fraction of a VM's share for requests that leave a chain that is only slow; without a
# retry that chain may still serve them.
REROUTE_FRACTION = 0.3


@dataclass(frozen=True)
class WindowBudgetConfig:
    """Limits on the retries of all VMs together.

    :param window_ms: length of the window, in milliseconds.
    :param ratio: retries allowed for each request in the window.
    :param slack: retries allowed in the window beyond that.

    .. versionadded:: 0.2
    """

    window_ms: int
    ratio: float
    slack: float


class _Window:
    """Counts events in a sliding window."""

    def __init__(self) -> None:
        self._times: deque[Millis] = deque()

    def add(self, now: Millis) -> None:
        self._times.append(now)

    def count(self, since: int) -> int:
        while self._times and self._times[0] <= since:
            self._times.popleft()
        return len(self._times)


class WindowBudget:
    """Counts the requests of each service on this VM, and limits their retries.

    A process earns its share of the slack over the first window of its life,
    after it has come to know the other VMs: the process before it may have used the
    same share a moment ago, and one that knows no other VM takes the whole for its own.

    .. versionadded:: 0.2
    """

    def __init__(self, clock: Clock, config: WindowBudgetConfig) -> None:
        self._clock = clock
        self._config = config
        self._requests_by_service: dict[str, _Window] = {}
        self._retries_by_service: dict[str, _Window] = {}
        self._max_vms = 1
        self._started_at = self._max_vms_at = clock.now()

    def record_request(self, service: str) -> None:
        """Count a request of a caller."""
        window = self._requests_by_service.setdefault(service, _Window())
        window.add(self._clock.now())

    def take(self, service: str, vms: int, *, has_begun: bool = False) -> bool:
        """Take one retry; return whether there was one left.

        :param vms: VMs that share the budget.
        :param has_begun: whether a part of the answer was already delivered.
        """
        if not self.may_take(service, vms, has_begun=has_begun):
            return False
        self._retries_by_service[service].add(self._clock.now())
        return True

    def may_take(self, service: str, vms: int, *, has_begun: bool = False) -> bool:
        """Return whether :meth:`take` would take a retry now."""
        fraction = 1.0 if has_begun else UNSTARTED_FRACTION
        return self._has_left(service, vms, fraction)

    def may_reroute(self, service: str, vms: int) -> bool:
        """Return whether a retry is left for a request that leaves a slow chain.

        :param vms: VMs that share the budget.
        """
        return self._has_left(service, vms, REROUTE_FRACTION)

    def left(self, service: str, vms: int, *, has_begun: bool = False) -> int:
        """Return how many retries :meth:`take` would take now; changes nothing.

        :param vms: VMs that share the budget.
        :param has_begun: whether a part of the answer was already delivered.

        .. versionadded:: 0.10
        """
        now = self._clock.now()
        fraction = 1.0 if has_begun else UNSTARTED_FRACTION
        allowed = self._allowed(service, self._most_vms(vms, now), now) * fraction
        return max(0, int(allowed) - self._taken(service, now))

    def _has_left(self, service: str, vms: int, fraction: float) -> bool:
        """Return whether a fraction of this VM's share has a retry left."""
        now = self._clock.now()
        allowed = self._allowed(service, self._update_max_vms(vms, now), now)
        self._retries_by_service.setdefault(service, _Window())
        return self._taken(service, now) + 1 <= allowed * fraction

    def _allowed(self, service: str, vms: int, now: Millis) -> float:
        """Return this VM's share for requests and slack, in retries of the window."""
        requests = self._requests_by_service.get(service)
        count = requests.count(now - self._config.window_ms) if requests else 0
        return count * self._config.ratio * USED_FRACTION + self._slack(vms, now)

    def _taken(self, service: str, now: Millis) -> int:
        retries = self._retries_by_service.get(service)
        return retries.count(now - self._config.window_ms) if retries else 0

    def _slack(self, vms: int, now: Millis) -> float:
        """Return the retries that this process may take beyond those by requests."""
        share = USED_FRACTION * self._config.slack / max(1, vms)
        earning_ms = max(0, now - self._started_at - SETTLING_MS)
        earned = share * min(1.0, earning_ms / self._config.window_ms)
        return max(earned, min(share, FIRST_RETRIES))

    def _update_max_vms(self, vms: int, now: Millis) -> int:
        """Keep and return the most VMs in the last window."""
        if self._most_vms(vms, now) == vms:
            self._max_vms = vms
            self._max_vms_at = now
        return self._max_vms

    def _most_vms(self, vms: int, now: Millis) -> int:
        """Return the most VMs in the last window; those that left used their share."""
        is_over = now - self._max_vms_at > self._config.window_ms
        return vms if is_over else max(vms, self._max_vms)
