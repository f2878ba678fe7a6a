"""Rate limit of this VM's writes to the store, which all VMs share."""

import asyncio

# The store accepts several hundred writes a second. Of 400, a fifth is left to bundles
# and leases.
WRITES_PER_SECOND = 320.0
MIN_RATE = 1.0
# Additive increase and multiplicative decrease let VMs that do not exchange messages
# converge to equal shares of the store's rate.
INCREASE_PER_SECOND = 20.0
DECREASE_FACTOR = 0.7
DECREASE_PAUSE_SECONDS = 0.25
BURST_SECONDS = 0.1


class WritePacer:
    """Spaces writes and slows down when the store refuses one as rate limited.

    :param limit: highest rate of all VMs together, in writes per second.

    .. versionadded:: 0.1
    """

    def __init__(self, limit: float = WRITES_PER_SECOND) -> None:
        self._total_limit = limit
        self._limit = limit
        self.rate = limit
        self._next_at = 0.0
        self._slowed_at = 0.0

    def share(self, vms: int) -> None:
        """Limit this VM to one of ``vms`` equal parts of the highest rate."""
        self._limit = self._total_limit / vms
        self.rate = min(self.rate, self._limit)

    async def take(self) -> None:
        """Wait until one write may be sent."""
        now = asyncio.get_running_loop().time()
        self._next_at = max(self._next_at, now - BURST_SECONDS) + 1 / self.rate
        if self._next_at > now:
            await asyncio.sleep(self._next_at - now)

    def record_accepted(self) -> None:
        """Increase the rate after a write that the store accepted."""
        self.rate = min(self._limit, self.rate + INCREASE_PER_SECOND / self.rate)

    def record_refused(self) -> None:
        """Decrease the rate, once for writes refused within the decrease pause."""
        now = asyncio.get_running_loop().time()
        if now - self._slowed_at >= DECREASE_PAUSE_SECONDS:
            self._slowed_at = now
            self.rate = max(MIN_RATE, self.rate * DECREASE_FACTOR)
