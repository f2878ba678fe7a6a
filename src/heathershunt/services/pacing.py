"""Pace of this VM's writes to the store, which all VMs share."""

import asyncio

# The store takes several hundred writes a second; a fifth of 400 is left to bundles
# and leases.
WRITES_PER_SECOND = 320.0
LOWEST_RATE = 1.0
# Additive increase and multiplicative decrease let VMs that cannot see each other
# converge to equal shares of the store's rate.
INCREASE_PER_SECOND = 20.0
DECREASE = 0.7
DECREASE_PAUSE_SECONDS = 0.25
BURST_SECONDS = 0.1


class WritePacer:
    """Spaces writes; slows down when the store refuses one for its rate.

    :param limit: highest rate of all VMs together, in writes a second.

    .. versionadded:: 0.1
    """

    def __init__(self, limit: float = WRITES_PER_SECOND) -> None:
        self._total = limit
        self._limit = limit
        self.rate = limit
        self._next = 0.0
        self._slowed_at = 0.0

    def share(self, vms: int) -> None:
        """Take an equal part of the highest rate."""
        self._limit = self._total / vms
        self.rate = min(self.rate, self._limit)

    async def take(self) -> None:
        """Wait for the turn of one write."""
        now = asyncio.get_running_loop().time()
        self._next = max(self._next, now - BURST_SECONDS) + 1 / self.rate
        if self._next > now:
            await asyncio.sleep(self._next - now)

    def accepted(self) -> None:
        """Speed up after a write that the store took."""
        self.rate = min(self._limit, self.rate + INCREASE_PER_SECOND / self.rate)

    def refused(self) -> None:
        """Slow down, once for writes refused at about the same time."""
        now = asyncio.get_running_loop().time()
        if now - self._slowed_at >= DECREASE_PAUSE_SECONDS:
            self._slowed_at = now
            self.rate = max(LOWEST_RATE, self.rate * DECREASE)
