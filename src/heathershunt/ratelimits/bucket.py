"""Token bucket whose rate may change from call to call."""

import math

from heathershunt.clock import Millis

MILLISECONDS_PER_SECOND = 1000
MIN_RATE = 1e-6


class RateLimit:
    """Token bucket whose rate may change from call to call.

    :param burst_ms: the bucket holds the tokens of this time, at least one.
    :param rate: requests per second.
    :param is_full: whether it holds its tokens from the start, or none.

    .. versionadded:: 0.1
    """

    __slots__ = ("_burst_ms", "_filled_at", "_tokens")

    def __init__(
        self, burst_ms: int, rate: float, now: Millis, *, is_full: bool = True
    ) -> None:
        self._burst_ms = burst_ms
        self._filled_at = now
        self._tokens = self._capacity(rate) if is_full else 0.0

    def _capacity(self, rate: float) -> float:
        return max(1.0, rate * self._burst_ms / MILLISECONDS_PER_SECOND)

    def wait_ms(self, rate: float, now: Millis, tokens: int = 1) -> int:
        """Return the milliseconds until tokens are available; 0 if they are now."""
        gained = (now - self._filled_at) * rate / MILLISECONDS_PER_SECOND
        self._tokens = min(self._capacity(rate), self._tokens + gained)
        self._filled_at = now
        if self._tokens >= tokens:
            return 0
        missing = (tokens - self._tokens) * MILLISECONDS_PER_SECOND
        return math.ceil(missing / max(rate, MIN_RATE))

    def take(self, most_debt: float = math.inf) -> None:
        """Take one token, after ``wait_ms`` returned 0 or in advance.

        :param most_debt: tokens that the bucket may lack at most.
        """
        self._tokens = max(-most_debt, self._tokens - 1)
