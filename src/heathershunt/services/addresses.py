"""Choice of one address of a plain service; pure but for the random source."""

import random
from collections import Counter
from collections.abc import Collection, Sequence

from heathershunt.clock import Millis
from heathershunt.http import Address

FIRST_EJECTION_MS = 1_000
LONGEST_EJECTION_MS = 30_000
# One retry for five calls keeps the extra load of an outage at 20%.
CALLS_PER_RETRY = 5
BUDGET_LIMIT = 20 * CALLS_PER_RETRY


class AddressChooser:
    """Chooses the less busy of two random addresses and avoids failing ones.

    .. versionadded:: 0.1
    """

    def __init__(self, source: random.Random) -> None:
        self._random = source
        self.in_flight: Counter[Address] = Counter()
        self._failures: Counter[Address] = Counter()
        self._ejected_until: dict[Address, Millis] = {}

    def choose(
        self, addresses: Sequence[Address], tried: Collection[Address], now: Millis
    ) -> Address | None:
        """Return an address that was not tried, or ``None`` if there is none.

        When every address is failing, all of them are eligible.
        """
        left = [address for address in addresses if address not in tried]
        healthy = [a for a in left if self._ejected_until.get(a, 0) <= now] or left
        if not healthy:
            return None
        pair = self._random.sample(healthy, min(2, len(healthy)))
        return min(pair, key=self.in_flight.__getitem__)

    def start(self, address: Address) -> None:
        """Count a call that starts."""
        self.in_flight[address] += 1

    def finish(self, address: Address, healthy: bool | None, now: Millis) -> None:
        """Count a call that ended; leave the address out for a while if it failed.

        :param healthy: ``None`` if the call says nothing about the address.
        """
        self.in_flight[address] -= 1
        if self.in_flight[address] <= 0:
            del self.in_flight[address]
        if healthy is None:
            return
        if healthy:
            self._failures.pop(address, None)
            self._ejected_until.pop(address, None)
            return
        exponent = min(self._failures[address], 10)
        self._failures[address] += 1
        delay = min(FIRST_EJECTION_MS * 2**exponent, LONGEST_EJECTION_MS)
        self._ejected_until[address] = Millis(now + delay)

    def keep_only(self, addresses: Collection[Address]) -> None:
        """Forget the failures of addresses that are no longer listed."""
        for address in set(self._ejected_until) - set(addresses):
            del self._ejected_until[address]
            self._failures.pop(address, None)


class RetryBudget:
    """Retries as a share of calls, so that an outage is not multiplied.

    .. versionadded:: 0.1
    """

    def __init__(self) -> None:
        self._level = BUDGET_LIMIT

    def earn(self) -> None:
        """Count one call."""
        self._level = min(BUDGET_LIMIT, self._level + 1)

    def take(self) -> bool:
        """Take one retry, or return ``False`` if none is left."""
        if self._level < CALLS_PER_RETRY:
            return False
        self._level -= CALLS_PER_RETRY
        return True
