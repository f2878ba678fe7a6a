"""A budget of repeated sends over a sliding window, shared out among the VMs."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from heathershunt.clock import Clock, Millis
from heathershunt.pipelines import ServiceUsage

# Part of the shared budget that is used. VMs do not know of each other's repeats, and
# one that restarts does not know of its own.
USED_PART = 0.5
# Part of a VM's share for requests that nothing was delivered of; the rest is kept for
# streams that have begun.
FRESH_PART = 0.6
# Part of a VM's share for requests that leave a chain that is only slow; without a
# repeat they may still be served where they are.
LEAVE_PART = 0.3
# What others told of their use counts for this long.
TOLD_FRESH_MS = 1500
# Part of what all VMs have left that may be used until the next news. News of others is
# up to two exchanges old, and all VMs may use their parts at once.
GRANT_PART = 1 / 3


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


@dataclass(slots=True)
class _Grant:
    """Repeats that a VM may use beyond its own share until the next news."""

    most: float
    used: int = 0


class WindowBudget:
    """Counts first sends and repeats of one service at this VM.

    A VM has a share of its own, for which it needs to know nothing of the others. While
    it knows their use, it may take its part of what all of them have left, too: faults
    strike few VMs at a time, and one that has just started has counted few requests.

    .. versionadded:: 0.2
    """

    def __init__(self, clock: Clock, config: BudgetConfig) -> None:
        self._clock = clock
        self._config = config
        self._requests_by_service: dict[str, _Window] = {}
        self._repeats_by_service: dict[str, _Window] = {}
        self._most_vms = 1
        self._most_vms_at = clock.now()
        self._told_at: Millis | None = None
        self._others_by_service: dict[str, ServiceUsage] = {}
        self._grants_by_service: dict[str, _Grant] = {}

    def own_usage(self) -> list[ServiceUsage]:
        """Return requests and repeats of this VM in the last window."""
        since = self._clock.now() - self._config.window_ms
        return [
            ServiceUsage(
                service, window.count(since), self._repeats_of(service).count(since)
            )
            for service, window in self._requests_by_service.items()
        ]

    def set_others_usage(self, usages: Iterable[ServiceUsage]) -> None:
        """Take requests and repeats of all other VMs in the last window."""
        self._told_at = self._clock.now()
        self._others_by_service = {usage.service: usage for usage in usages}
        self._grants_by_service = {}

    def note_request(self, service: str) -> None:
        """Count a request of a caller."""
        self._requests_of(service).add(self._clock.now())

    def take(self, service: str, vms: int, *, has_begun: bool = False) -> bool:
        """Take one repeat; return whether there was one left.

        :param vms: VMs that share the budget.
        :param has_begun: whether a part of the answer was delivered already.
        """
        part = 1.0 if has_begun else FRESH_PART
        if not self._has_left(service, vms, part):
            return False
        self._repeats_of(service).add(self._clock.now())
        grant = self._grants_by_service.get(service)
        if grant is not None:
            grant.used += 1
        return True

    def may_leave(self, service: str, vms: int) -> bool:
        """Return whether repeats are left for a request that runs somewhere slowly.

        :param vms: VMs that share the budget.
        """
        return self._has_left(service, vms, LEAVE_PART)

    def _has_left(self, service: str, vms: int, part: float) -> bool:
        """Return whether a part of this VM's share, or of its grant, is left."""
        now = self._clock.now()
        since = now - self._config.window_ms
        vms = max(1, self._note_vms(vms, now))
        requests = self._requests_of(service).count(since)
        repeats = self._repeats_of(service).count(since)
        config = self._config
        allowed = USED_PART * (requests * config.ratio + config.slack / vms)
        if repeats + 1 <= allowed * part:
            return True
        grant = self._grant(service, vms, requests, repeats)
        return grant is not None and grant.used + 1 <= grant.most * part

    def _grant(
        self, service: str, vms: int, requests: int, repeats: int
    ) -> _Grant | None:
        """Return what this VM may use until the next news, ``None`` without news."""
        told_at = self._told_at
        if told_at is None or self._clock.now() - told_at > TOLD_FRESH_MS:
            return None
        grant = self._grants_by_service.get(service)
        if grant is None:
            others = self._others_by_service.get(service) or ServiceUsage(service)
            config = self._config
            allowed = (requests + others.requests) * config.ratio + config.slack
            left = USED_PART * allowed - repeats - others.repeats
            grant = _Grant(max(0.0, left) * GRANT_PART / vms)
            self._grants_by_service[service] = grant
        return grant

    def _requests_of(self, service: str) -> _Window:
        return self._requests_by_service.setdefault(service, _Window())

    def _repeats_of(self, service: str) -> _Window:
        return self._repeats_by_service.setdefault(service, _Window())

    def _note_vms(self, vms: int, now: Millis) -> int:
        """Return the most VMs of the last window; those that left used their share."""
        if vms >= self._most_vms or now - self._most_vms_at > self._config.window_ms:
            self._most_vms = vms
            self._most_vms_at = now
        return self._most_vms
