"""Limits of one client account on this VM."""

import math
from dataclasses import dataclass

from heathershunt.clock import Millis

MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True)
class AccountLimits:
    """What one account may use of this VM.

    :param share: weight in fair queueing, above 0.
    :param concurrent: most requests that run at a time.
    :param requests_per_second: highest mean rate of accepted requests.
    :param queued: most requests that wait at a time.

    .. versionadded:: 0.1
    """

    share: float = 1.0
    concurrent: float = 64
    requests_per_second: float = 100.0
    queued: int = 256


class RateLimit:
    """Token bucket whose rate may change from call to call.

    :param burst_ms: the bucket holds the tokens of this time, at least one.
    :param rate: requests per second.

    .. versionadded:: 0.1
    """

    __slots__ = ("_burst_ms", "_filled_at", "_tokens")

    def __init__(self, burst_ms: int, rate: float, now: Millis) -> None:
        self._burst_ms = burst_ms
        self._filled_at = now
        self._tokens = self._capacity(rate)

    def _capacity(self, rate: float) -> float:
        return max(1.0, rate * self._burst_ms / MILLISECONDS_PER_SECOND)

    def wait_ms(self, rate: float, now: Millis) -> int:
        """Return the milliseconds until a token is available; 0 if one is now."""
        gained = (now - self._filled_at) * rate / MILLISECONDS_PER_SECOND
        self._tokens = min(self._capacity(rate), self._tokens + gained)
        self._filled_at = now
        if self._tokens >= 1:
            return 0
        missing = (1 - self._tokens) * MILLISECONDS_PER_SECOND
        return math.ceil(missing / max(rate, 1e-6))

    def take(self) -> None:
        """Take one token; call after ``wait_ms`` returned 0."""
        self._tokens -= 1
