"""How many lines of each event may be written."""

from heathershunt.clock import Clock, Millis

MILLISECONDS_PER_SECOND = 1000
# A VM at its share of the planned load writes a third of this for each event.
LINES_PER_S = 100
# All targets of a large site may change at once.
BURST_LINES = 400


class LineRates:
    """A token bucket for each event.

    :param per_s: lines a second in the long run.
    :param burst: lines at once.

    .. versionadded:: 0.3
    """

    def __init__(
        self, clock: Clock, per_s: float = LINES_PER_S, burst: float = BURST_LINES
    ) -> None:
        self._clock = clock
        self._per_s = per_s
        self._burst = burst
        self._tokens_by_name: dict[str, tuple[float, Millis]] = {}

    def take(self, name: str) -> bool:
        """Take a line of an event; return whether it is within the rate."""
        now = self._clock.now()
        tokens, at = self._tokens_by_name.get(name, (self._burst, now))
        refill = (now - at) * self._per_s / MILLISECONDS_PER_SECOND
        tokens = min(self._burst, tokens + refill)
        has_token = tokens >= 1
        self._tokens_by_name[name] = (tokens - 1 if has_token else tokens, now)
        return has_token
