"""Exponential backoff with jitter."""

import random


class Backoff:
    """Delays that grow with each consecutive failure.

    Jitter keeps the VMs of a fleet from retrying in step after an outage.

    :param min_ms: shortest delay.
    :param max_ms: longest delay.
    :ivar failures: number of consecutive failures.

    .. versionadded:: 0.3
    """

    def __init__(self, min_ms: float, max_ms: float) -> None:
        self._min_ms = min_ms
        self._max_ms = max_ms
        self.failures = 0

    def next_ms(self) -> float:
        """Count a failure and return the delay before the next attempt."""
        self.failures += 1
        limit_ms = min(self._max_ms, self._min_ms * 2**self.failures)
        return random.uniform(self._min_ms, limit_ms)

    def reset(self) -> None:
        """Reset the delay after a success."""
        self.failures = 0
