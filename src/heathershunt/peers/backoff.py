"""Backoff between attempts to dial a peer address."""

import random

from heathershunt.clock import Millis

BASE_DELAY_MS = 250
MAX_DELAY_MS = 8000
# A connection that needs a new dial sooner than this after it was opened counts as
# a failure, so that a peer that accepts and drops links is not dialled in a tight loop.
STABLE_MS = 5000
MAX_TRACKED_ADDRESSES = 4096


class DialBackoff:
    """Jittered exponential backoff per address.

    The delay is drawn between half of a ceiling and the ceiling, which doubles with
    each failure up to ``MAX_DELAY_MS``.

    .. versionadded:: 0.1
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._failures_by_address: dict[str, int] = {}
        self._due_at_by_address: dict[str, Millis] = {}
        self._connected_at_by_address: dict[str, Millis] = {}

    def is_due(self, address: str, now: Millis) -> bool:
        """Return whether the backoff of ``address`` is over.

        Call it only while no connection to ``address`` is open: the last connection
        is taken to have ended now, and counts as a failure if it was too short.
        """
        connected_at = self._connected_at_by_address.pop(address, None)
        if connected_at is not None:
            if now - connected_at < STABLE_MS:
                self.record_failure(address, now)
            else:
                self._failures_by_address.pop(address, None)
        return now >= self._due_at_by_address.get(address, now)

    def record_failure(self, address: str, now: Millis) -> None:
        """Start the backoff after a failed attempt to dial ``address``."""
        if len(self._due_at_by_address) >= MAX_TRACKED_ADDRESSES:
            self._due_at_by_address.clear()
            self._failures_by_address.clear()
        failures = self._failures_by_address.get(address, 0)
        ceiling = min(MAX_DELAY_MS, BASE_DELAY_MS << min(failures, 16))
        delay = self._rng.randint(ceiling // 2, ceiling)
        self._failures_by_address[address] = failures + 1
        self._due_at_by_address[address] = Millis(now + delay)

    def record_connection(self, address: str, now: Millis) -> None:
        """End the backoff of ``address``: a connection to it is open."""
        self._due_at_by_address.pop(address, None)
        self._connected_at_by_address[address] = now
