"""Exponential back-off with full jitter."""

import random

from heathershunt.clock import Millis


class Backoff:
    """Delays between tries.

    :param base_ms: upper bound of the first delay.
    :param most_ms: upper bound of all delays.
    :param seed: differs between VMs, so that they do not retry in step.

    .. versionadded:: 0.1
    """

    def __init__(self, base_ms: int, most_ms: int, seed: int) -> None:
        self._base_ms = base_ms
        self._most_ms = most_ms
        self._random = random.Random(seed)

    def delay(self, attempt: int, retry_after: int = 0) -> Millis:
        """Return the delay before the next try.

        :param attempt: failed tries so far, from 1.
        :param retry_after: time that the target asked for; jitter is added to it.
        """
        # The exponent is bounded, or a long outage would build huge integers.
        bound = min(self._most_ms, self._base_ms << min(attempt - 1, 30))
        return Millis(retry_after + self._random.randint(0, bound))
