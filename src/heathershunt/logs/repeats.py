"""Limit on log lines about the same thing, as entries of the store."""

from heathershunt.clock import Clock, Millis

PERIOD_MS = 60_000
MAX_LINES_PER_PERIOD = 50


class RepeatLimiter:
    """Allows one line on each subject in each period, and few lines in all.

    .. versionadded:: 0.8
    """

    def __init__(
        self,
        clock: Clock,
        period_ms: int = PERIOD_MS,
        max_lines: int = MAX_LINES_PER_PERIOD,
    ) -> None:
        self._clock = clock
        self._period_ms = period_ms
        self._max_lines = max_lines
        self._started_at: Millis | None = None
        self._logged: set[str] = set()

    def take(self, subject: str) -> bool:
        """Return whether a line on the subject may be written now."""
        now = self._clock.now()
        if self._started_at is None or now - self._started_at >= self._period_ms:
            self._started_at = now
            self._logged.clear()
        if subject in self._logged or len(self._logged) >= self._max_lines:
            return False
        self._logged.add(subject)
        return True
