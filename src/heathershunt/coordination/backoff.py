"""Pauses between calls that fail."""

import random


class Backoff:
    """Pauses that grow with each failure in a row.

    Jitter keeps the VMs from asking in step after an outage.

    :param least_ms: shortest pause.
    :param most_ms: longest pause.
    :ivar failures: failures in a row.

    .. versionadded:: 0.3
    """

    def __init__(self, least_ms: float, most_ms: float) -> None:
        self._least_ms = least_ms
        self._most_ms = most_ms
        self.failures = 0

    def next_ms(self) -> float:
        """Count a failure and return the pause that follows it."""
        self.failures += 1
        bound = min(self._most_ms, self._least_ms * 2**self.failures)
        return random.uniform(self._least_ms, bound)

    def reset(self) -> None:
        """Take note of a success."""
        self.failures = 0
