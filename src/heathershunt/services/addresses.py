"""Choice of one address of a plain service; deterministic with a seeded source."""

import random
from collections import Counter
from collections.abc import Collection, Sequence

from heathershunt.clock import Millis
from heathershunt.http import Address

MIN_EJECTION_MS = 1_000
MAX_EJECTION_MS = 30_000
# A try without an answer counts against its address only after at least this long.
MIN_COUNTED_WAIT_MS = 500
# One retry per five calls limits the extra load during an outage to 20 %.
CALLS_PER_RETRY = 5
MAX_TOKENS = 20 * CALLS_PER_RETRY


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
        """Return an address that was not tried, or ``None`` if all were tried.

        If every address that was not tried is ejected, all of them are eligible.
        """
        untried = [address for address in addresses if address not in tried]
        healthy = [
            a for a in untried if self._ejected_until.get(a, 0) <= now
        ] or untried
        if not healthy:
            return None
        pair = self._random.sample(healthy, min(2, len(healthy)))
        return min(pair, key=self.in_flight.__getitem__)

    def start(self, address: Address) -> None:
        """Count a call that starts at this address."""
        self.in_flight[address] += 1

    def finish(self, address: Address, healthy: bool | None, now: Millis) -> None:
        """Count a call that ended, and eject the address for a while if it failed.

        :param healthy: ``None`` if the result is not conclusive for the address.
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
        self._eject(address, now)

    def suspect(self, address: Address, waited_ms: int, now: Millis) -> None:
        """Eject an address for a while that has not answered a call, which goes on.

        :param waited_ms: time without an answer.
        """
        if waited_ms >= MIN_COUNTED_WAIT_MS:
            self._eject(address, now)

    def _eject(self, address: Address, now: Millis) -> None:
        exponent = min(self._failures[address], 10)
        self._failures[address] += 1
        delay = min(MIN_EJECTION_MS * 2**exponent, MAX_EJECTION_MS)
        self._ejected_until[address] = Millis(now + delay)

    def keep_only(self, addresses: Collection[Address]) -> None:
        """Remove the failure counts and ejections of addresses that are not listed."""
        for address in set(self._ejected_until) - set(addresses):
            del self._ejected_until[address]
            self._failures.pop(address, None)


class CallRetryBudget:
    """Limits retries to a share of the calls, so that they don't amplify an outage.

    .. versionadded:: 0.1
    """

    def __init__(self) -> None:
        self._tokens = MAX_TOKENS

    def record_call(self) -> None:
        """Count one call."""
        self._tokens = min(MAX_TOKENS, self._tokens + 1)

    def take(self) -> bool:
        """Use up one retry, or return ``False`` if none is left."""
        if self._tokens < CALLS_PER_RETRY:
            return False
        self._tokens -= CALLS_PER_RETRY
        return True
