"""Limits of one client account on this VM."""

import math
from dataclasses import dataclass

from heathershunt.clock import Millis

MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True)
class AccountLimits:
    """What one account may use of this VM.

    :param share: weight in the fair sharing, above 0.
    :param concurrent: requests that run at a time.
    :param requests_per_second: mean rate of offered requests that are accepted.
    :param queued: requests that wait at a time.

    .. versionadded:: 0.1
    """

    share: float = 1.0
    concurrent: float = 64
    requests_per_second: float = 100.0
    queued: int = 256


class RateLimit:
    """Token bucket over a rate that may change.

    :param burst_ms: time whose worth of requests may come at once, at least one.

    .. versionadded:: 0.1
    """

    __slots__ = ("_burst_ms", "_filled_at", "_tokens")

    def __init__(self, burst_ms: int, rate: float, now: Millis) -> None:
        self._burst_ms = burst_ms
        self._filled_at = now
        self._tokens = self._most(rate)

    def _most(self, rate: float) -> float:
        return max(1.0, rate * self._burst_ms / MILLISECONDS_PER_SECOND)

    def wait_ms(self, rate: float, now: Millis) -> int:
        """Return the time until a request conforms; 0 if one does now."""
        gained = (now - self._filled_at) * rate / MILLISECONDS_PER_SECOND
        self._tokens = min(self._most(rate), self._tokens + gained)
        self._filled_at = now
        if self._tokens >= 1:
            return 0
        missing = (1 - self._tokens) * MILLISECONDS_PER_SECOND
        return math.ceil(missing / max(rate, 1e-6))

    def take(self) -> None:
        """Take one token; call after ``wait_ms`` returned 0."""
        self._tokens -= 1
