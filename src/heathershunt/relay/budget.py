"""Retries as the relays take them: from this VM's own part, or granted on demand."""

import asyncio
from collections.abc import Callable
from enum import Enum

from heathershunt.clock import Clock
from heathershunt.retrybudget import (
    Balance,
    FleetRecord,
    GrantLedger,
    HeldGrants,
    RetryPool,
    Standing,
    Turns,
    WindowBudget,
    WindowBudgetConfig,
)

# Interval at which the place of this VM and the waiting requests are examined.
TICK_MS = 100


class RetryOrigin(Enum):
    """Part of the budget that a retry was taken from.

    .. versionadded:: 0.10
    """

    OWN = "own"
    POOL = "pool"


class RetryBudget:
    """Takes retries for requests, and lets them wait for grants in a large fleet.

    :param turns: rounding of shares, which is kept up to date here.
    :param ledger: grants of this VM as a coordinator, likewise.
    :param held: grants to this VM.
    :param pool: asks for grants.
    :param standing: returns the place of this VM in the fleet.
    :param fleet: returns the record of the fleet in the store.

    .. versionadded:: 0.10
    """

    def __init__(
        self,
        clock: Clock,
        config: WindowBudgetConfig,
        turns: Turns,
        ledger: GrantLedger,
        held: HeldGrants,
        pool: RetryPool,
        standing: Callable[[], Standing],
        fleet: Callable[[], FleetRecord],
    ) -> None:
        self.own = WindowBudget(clock, config, turns, fleet)
        self.pool = pool
        self._turns = turns
        self._ledger = ledger
        self._held = held
        self._standing = standing
        self._fleet = fleet

    def record_request(self, service: str) -> None:
        """Count a request of a caller."""
        self.own.record_request(service)

    def take(
        self, service: str, vms: int, *, has_begun: bool = False
    ) -> RetryOrigin | None:
        """Take one retry; return where it is from, ``None`` if none is left.

        :param vms: VMs that share the budget.
        :param has_begun: whether a part of the answer was already delivered.
        """
        vms = self._known(vms)
        if self.own.take(service, vms, has_begun=has_begun):
            return RetryOrigin.OWN
        if self.own.is_large(vms) and self._held.take(service, has_begun):
            self.own.record_granted(service)
            return RetryOrigin.POOL
        return None

    def may_take(self, service: str, vms: int, *, has_begun: bool = False) -> bool:
        """Return whether :meth:`take` would take a retry now."""
        vms = self._known(vms)
        if self.own.may_take(service, vms, has_begun=has_begun):
            return True
        return self.own.is_large(vms) and self._held.count(service, has_begun) > 0

    def may_reroute(self, service: str, vms: int) -> bool:
        """Return whether a retry is left for a request that leaves a slow chain.

        No retry is asked for: the chain that the request leaves still serves it.
        """
        return self.own.may_reroute(service, self._known(vms))

    def left(self, service: str, vms: int, *, has_begun: bool = False) -> int:
        """Return how many retries this VM has left of its own part.

        :param vms: VMs that share the budget.
        :param has_begun: whether a part of the answer was already delivered.
        """
        return self.own.left(service, self._known(vms), has_begun=has_begun)

    async def wait(
        self, service: str, vms: int, limit_ms: float, *, has_begun: bool = False
    ) -> bool:
        """Wait until :meth:`take` may succeed; return whether to try it.

        In a small fleet nothing is granted, so that the wait ends at once.

        :param limit_ms: longest wait.
        """
        if limit_ms <= 0 or not self.own.is_large(self._known(vms)):
            return False
        return await self.pool.wait(service, has_begun, limit_ms)

    def balance(self, service: str, vms: int, *, has_begun: bool = False) -> Balance:
        """Return what this VM has used and may use without a grant."""
        return self.own.balance(service, self._known(vms), has_begun=has_begun)

    async def run(self) -> None:
        """Keep the division up to date and serve waiting requests, until cancelled."""
        try:
            while True:
                self.update()
                await asyncio.sleep(TICK_MS / 1000)
        finally:
            self.pool.close()

    def update(self) -> None:
        """Take over changes of the fleet, and wake requests that find a retry."""
        standing = self._standing()
        self._turns.update()
        self._ledger.update(standing)
        self.pool.update()
        queue = self.pool.queue
        for service in queue.services():
            for has_begun in (True, False):
                if self.may_take(service, standing.vms, has_begun=has_begun):
                    queue.call_next(service, 1, only_begun=has_begun)
            self.pool.ask(service)

    def _known(self, vms: int) -> int:
        """Return the VMs that share the budget, also if they are not listed yet."""
        return max(vms, self._fleet().vms) if self.own.is_settling else vms

    # Gauges

    def own_left(self) -> float | None:
        """Return the retries that this VM has left, of the service with the fewest."""
        vms = self._known(self._standing().vms)
        balances = (
            self.own.balance(service, vms, has_begun=True)
            for service in self.own.services()
        )
        return min((item.allowed - item.used for item in balances), default=None)

    def pool_left(self) -> int | None:
        """Return the retries left in the pool of this VM; ``None`` if it has none."""
        left = (
            self._ledger.left(service, has_begun=True)
            for service in self.own.services()
        )
        return min((item for item in left if item is not None), default=None)
