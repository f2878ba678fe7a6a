"""Rate limit for the log lines of each type of event."""

from heathershunt.clock import Clock, Millis

MILLISECONDS_PER_SECOND = 1000
# Three times the rate of each event on a VM with its share of the planned load.
LINES_PER_S = 100
# All targets of a large site may change at the same time.
BURST_LINES = 400


class LineRateLimiter:
    """Token buckets, one for each type of event.

    :param per_s: sustained lines per second.
    :param burst: capacity of a bucket, in lines.

    .. versionadded:: 0.3
    """

    def __init__(
        self, clock: Clock, per_s: float = LINES_PER_S, burst: float = BURST_LINES
    ) -> None:
        self._clock = clock
        self._per_s = per_s
        self._burst = burst
        self._buckets_by_name: dict[str, tuple[float, Millis]] = {}

    def take(self, name: str) -> bool:
        """Take one token from the bucket of an event; return whether there was one."""
        now = self._clock.now()
        tokens, updated_at = self._buckets_by_name.get(name, (self._burst, now))
        refill = (now - updated_at) * self._per_s / MILLISECONDS_PER_SECOND
        tokens = min(self._burst, tokens + refill)
        has_token = tokens >= 1
        self._buckets_by_name[name] = (tokens - 1 if has_token else tokens, now)
        return has_token
