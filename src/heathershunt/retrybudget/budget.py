"""The part of the retry budget that a VM uses without asking another one."""

from collections.abc import Callable
from dataclasses import dataclass

from heathershunt.clock import Clock
from heathershunt.retrybudget.config import WindowBudgetConfig
from heathershunt.retrybudget.fleet import NO_RECORD, FleetRecord
from heathershunt.retrybudget.turns import Turns
from heathershunt.retrybudget.window import EventWindow

# Fraction of the shared budget that is used in a fleet that is divided by head count. A
# VM does not see the retries of other VMs, nor those of its process before a restart.
USED_FRACTION = 0.5
# Time after the start of a process until it knows the other VMs.
SETTLING_MS = 2000
# Retries of each service that a process takes from the slack in any case; in a large
# fleet, the most that it takes before it knows the other VMs.
FIRST_RETRIES = 1
# Fraction of a VM's share for requests of which nothing was delivered; the rest is kept
# for streams that have begun.
UNSTARTED_FRACTION = 0.6
# Fraction of a VM's share for requests that leave a chain that is only slow; without a
# retry that chain may still serve them.
REROUTE_FRACTION = 0.3

# In a large fleet: fraction of what requests earn that is used at the VM where they
# are.
EARNED_FRACTION = 0.8
# The same for a process in its first window, as the process before it may have used 0.8
# a moment ago. It earns as others do until it has NEW_EARNED_MAX of what the requests
# of a whole window earn, or FIRST_EARNED_MAX after the first restart of all VMs in the
# window; this takes 0.4 s and 0.9 s. Later it earns NEW_EARNED_FRACTION. All VMs
# together then stay within what requests earn, also if they restart every 4 s: 0.8
# before that, 0.07 in the first 4 s, 0.05 in the next 4 s and 0.03 in 2 s. The rest is
# for VMs that start first and get the requests of those that do not run yet: with 0.1,
# 0.06 and 0.04 the model had 1.025 of the bound.
NEW_EARNED_FRACTION = 0.12
NEW_EARNED_MAX = 0.03
FIRST_EARNED_MAX = 0.07
# Fraction of the slack that is divided among the VMs.
SHARED_FRACTION = 0.25
# The same for processes in their first window: the processes before them may have used
# their shares a moment ago. The second one is for the first restart of all VMs in a
# window. Three restarts and the pool, which the coordinators may have granted before,
# add up to 0.95 of the slack.
NEW_SHARED_FRACTION = 0.1
FIRST_SHARED_FRACTION = 0.15
# Sums of parts may end slightly below a whole number.
ROUNDING = 1e-9


@dataclass(frozen=True, slots=True)
class Balance:
    """What a VM has used of a service's budget in the last window, and may use.

    :param requests: requests of callers of this VM.
    :param used: retries without a grant.
    :param granted: retries with a grant of the coordinator.
    :param allowed: retries without a grant that are allowed.

    .. versionadded:: 0.10
    """

    requests: int
    used: int
    granted: int
    allowed: float


class WindowBudget:
    """Counts the requests of each service on this VM, and limits their retries.

    In a small fleet, a process earns its share of the slack over the first window of
    its life, after it has come to know the other VMs: the process before it may have
    used the same share a moment ago, and one that knows no other VM takes the whole for
    its own. In a large fleet the share is smaller, and smaller still in the first
    window.

    :param turns: rounds parts in a large fleet; ``None`` to round them down.
    :param fleet: returns the record of the fleet in the store.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        clock: Clock,
        config: WindowBudgetConfig,
        turns: Turns | None = None,
        fleet: Callable[[], FleetRecord] = lambda: NO_RECORD,
    ) -> None:
        self._clock = clock
        self._config = config
        self._turns = turns
        self._fleet = fleet
        self._started_wall = clock.wall()
        self._requests_by_service: dict[str, EventWindow] = {}
        self._retries_by_service: dict[str, EventWindow] = {}
        self._granted_by_service: dict[str, EventWindow] = {}
        self._max_vms = 1
        self._started_at = self._max_vms_at = clock.now()

    def record_request(self, service: str) -> None:
        """Count a request of a caller."""
        window = self._requests_by_service.setdefault(service, EventWindow())
        window.add(self._clock.now())

    def record_granted(self, service: str) -> None:
        """Count a retry for which another VM granted."""
        window = self._granted_by_service.setdefault(service, EventWindow())
        window.add(self._clock.now())

    @property
    def is_settling(self) -> bool:
        """Return whether this process may not know all other VMs yet."""
        return self._age_ms < SETTLING_MS

    def is_large(self, vms: int) -> bool:
        """Return whether a part of the slack is granted on demand.

        :param vms: VMs that share the budget.
        """
        return self._update_max_vms(vms) > self._config.max_flat_vms

    def take(self, service: str, vms: int, *, has_begun: bool = False) -> bool:
        """Take one retry; return whether there was one left.

        :param vms: VMs that share the budget.
        :param has_begun: whether a part of the answer was already delivered.
        """
        if not self.may_take(service, vms, has_begun=has_begun):
            return False
        self._retries_by_service.setdefault(service, EventWindow()).add(
            self._clock.now()
        )
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
        """
        fraction = 1.0 if has_begun else UNSTARTED_FRACTION
        vms = self._most_vms(vms)
        balance = self._balance(service, vms, fraction)
        return max(0, int(balance.allowed) - self._used(balance, vms))

    def balance(self, service: str, vms: int, *, has_begun: bool = False) -> Balance:
        """Return what was used and what is allowed, as for :meth:`take`."""
        fraction = 1.0 if has_begun else UNSTARTED_FRACTION
        return self._balance(service, self._update_max_vms(vms), fraction)

    def services(self) -> list[str]:
        """Return the services that had requests."""
        return list(self._requests_by_service)

    def _has_left(self, service: str, vms: int, fraction: float) -> bool:
        """Return whether a fraction of this VM's part has a retry left."""
        vms = self._update_max_vms(vms)
        balance = self._balance(service, vms, fraction)
        return self._used(balance, vms) + 1 <= balance.allowed

    def _used(self, balance: Balance, vms: int) -> int:
        """Return the retries that count against the part of this VM.

        :param vms: most VMs in the last window.
        """
        if vms > self._config.max_flat_vms:
            return balance.used
        # The share of a VM was large enough for those that were granted.
        return balance.used + balance.granted

    def _balance(self, service: str, vms: int, fraction: float) -> Balance:
        since = self._clock.now() - self._config.window_ms
        requests, retries, granted = (
            window_by_service[service].count(since)
            if service in window_by_service
            else 0
            for window_by_service in (
                self._requests_by_service,
                self._retries_by_service,
                self._granted_by_service,
            )
        )
        earned = requests * self._config.ratio
        if vms <= self._config.max_flat_vms:
            allowed = (earned * USED_FRACTION + self._flat_slack(vms)) * fraction
        else:
            part = earned * self._earned_fraction() + self._share(vms)
            allowed = part * fraction + self._offset()
        return Balance(requests, retries, granted, allowed)

    def _flat_slack(self, vms: int) -> float:
        """Return the retries that this process may take beyond those by requests."""
        share = USED_FRACTION * self._config.slack / max(1, vms)
        earning_ms = max(0, self._age_ms - SETTLING_MS)
        earned = share * min(1.0, earning_ms / self._config.window_ms)
        return max(earned, min(share, FIRST_RETRIES))

    def _share(self, vms: int) -> float:
        """Return the same in a large fleet."""
        fraction = SHARED_FRACTION
        if self._is_new:
            fraction = self._after_restart(NEW_SHARED_FRACTION, FIRST_SHARED_FRACTION)
        share = fraction * self._config.slack / vms
        return min(share, FIRST_RETRIES) if self.is_settling else share

    def _earned_fraction(self) -> float:
        """Return the fraction of what requests earn that is used in a large fleet."""
        if not self._is_new:
            return EARNED_FRACTION
        most = self._after_restart(NEW_EARNED_MAX, FIRST_EARNED_MAX)
        most *= self._config.window_ms / max(1, self._age_ms)
        return max(NEW_EARNED_FRACTION, min(EARNED_FRACTION, most))

    def _after_restart(self, again: float, first: float) -> float:
        """Return ``again`` if all VMs may have restarted before in this window."""
        window_ms = self._config.window_ms
        had_restart = self._fleet().had_restart(self._started_wall, window_ms)
        return again if had_restart else first

    def _offset(self) -> float:
        """Return what is added to a part before it is rounded down.

        Without any retry to divide there is no fraction of one.
        """
        if self._turns is None or not self._config.slack:
            return ROUNDING
        return self._turns.offset() + ROUNDING

    @property
    def _is_new(self) -> bool:
        """Return whether the process before may have used retries of this window."""
        return self._age_ms < self._config.window_ms

    @property
    def _age_ms(self) -> int:
        return self._clock.now() - self._started_at

    def _update_max_vms(self, vms: int) -> int:
        """Keep and return the most VMs in the last window."""
        if self._most_vms(vms) == vms:
            self._max_vms = vms
            self._max_vms_at = self._clock.now()
        return self._max_vms

    def _most_vms(self, vms: int) -> int:
        """Return the most VMs in the last window; those that left used their share."""
        is_over = self._clock.now() - self._max_vms_at > self._config.window_ms
        return vms if is_over else max(vms, self._max_vms)
