"""Limit on searches for a chain while all chains are full."""

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

from heathershunt.clock import Clock, Millis

# Interval between two searches for a chain with capacity.
CAPACITY_POLL_MS = 60


class CapacityGate:
    """Lets one waiting stream at a time search for a chain with capacity.

    After a search that found none, all streams skip theirs for a while: with many
    streams waiting, the searches alone would use up the CPU.

    .. versionadded:: 0.2
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._full_until: dict[str, Millis] = {}
        self._waiting: Counter[str] = Counter()

    def waiting(self, service: str) -> int:
        """Return how many streams of a service wait for a chain."""
        return self._waiting[service]

    @contextmanager
    def counted(self, service: str) -> Iterator[None]:
        """Count a stream as waiting inside the ``with`` block."""
        self._waiting[service] += 1
        try:
            yield
        finally:
            self._waiting[service] -= 1

    def may_search(self, service: str) -> bool:
        """Return whether a chain of a service may have capacity again."""
        return self._clock.now() >= self._full_until.get(service, 0)

    def record_full(self, service: str) -> None:
        """Record that no chain of a service has capacity."""
        self._full_until[service] = Millis(self._clock.now() + CAPACITY_POLL_MS)
