"""When an address may be dialled again."""

import random

from heathershunt.clock import Millis

FIRST_DELAY_MS = 250
LONGEST_DELAY_MS = 8000
# A connection that is lost sooner than this after dialling counts as a failure, so
# that a peer that accepts and drops links is not dialled in a tight loop.
STABLE_MS = 5000
REMEMBERED_ADDRESSES = 4096


class DialBackoff:
    """Jittered exponential delay for each address.

    .. versionadded:: 0.1
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._failures_by_address: dict[str, int] = {}
        self._due_by_address: dict[str, Millis] = {}
        self._connected_by_address: dict[str, Millis] = {}

    def is_due(self, address: str, now: Millis) -> bool:
        """Return whether ``address`` may be dialled."""
        connected = self._connected_by_address.pop(address, None)
        if connected is not None:
            if now - connected < STABLE_MS:
                self.failed(address, now)
            else:
                self._failures_by_address.pop(address, None)
        return now >= self._due_by_address.get(address, now)

    def failed(self, address: str, now: Millis) -> None:
        """Take note of a failed attempt."""
        if len(self._due_by_address) >= REMEMBERED_ADDRESSES:
            self._due_by_address.clear()
            self._failures_by_address.clear()
        failures = self._failures_by_address.get(address, 0)
        longest = min(LONGEST_DELAY_MS, FIRST_DELAY_MS << min(failures, 16))
        delay = self._rng.randint(longest // 2, longest)
        self._failures_by_address[address] = failures + 1
        self._due_by_address[address] = Millis(now + delay)

    def connected(self, address: str, now: Millis) -> None:
        """Take note of an open connection."""
        self._due_by_address.pop(address, None)
        self._connected_by_address[address] = now
