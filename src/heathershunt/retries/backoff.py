"""Exponential back-off with full jitter."""

import random

from heathershunt.clock import Millis


class Backoff:
    """Random delays between tries.

    :param base_ms: upper bound of the first delay; it doubles with each failed try.
    :param max_ms: upper bound of all delays.
    :param seed: must differ between VMs, so that they do not retry at the same time.

    .. versionadded:: 0.1
    """

    def __init__(self, base_ms: int, max_ms: int, seed: int) -> None:
        self._base_ms = base_ms
        self._max_ms = max_ms
        self._random = random.Random(seed)

    def delay(self, attempt: int, retry_after: int = 0) -> Millis:
        """Return the delay before the next try.

        :param attempt: failed tries so far, from 1.
        :param retry_after: delay that the target requested, in milliseconds; the random
            delay is added to it.
        """
        # The exponent is limited, since a long outage would otherwise produce huge
        # integers.
        bound = min(self._max_ms, self._base_ms << min(attempt - 1, 30))
        return Millis(retry_after + self._random.randint(0, bound))
