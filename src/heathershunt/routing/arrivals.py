"""Rate of the own choices, from which the unseen ones of other VMs are estimated."""

from heathershunt.clock import Millis

WINDOW_MS = 500
# Weight of one window in the rate; about the last 2.5 s count.
WINDOW_WEIGHT = 0.2


class ArrivalRate:
    """Choices per millisecond for one model, smoothed over a few seconds.

    .. versionadded:: 0.1
    """

    __slots__ = ("_count", "_since", "per_ms")

    def __init__(self, now: Millis) -> None:
        self.per_ms = 0.0
        self._count = 0
        self._since = now

    def add(self, now: Millis) -> None:
        """Count one choice."""
        elapsed_ms = now - self._since
        if elapsed_ms >= WINDOW_MS:
            rate = self._count / elapsed_ms
            # A long window replaces what several short ones would have.
            kept = (1 - WINDOW_WEIGHT) ** (elapsed_ms / WINDOW_MS)
            self.per_ms = (
                kept * self.per_ms + (1 - kept) * rate if self.per_ms else rate
            )
            self._count, self._since = 0, now
        self._count += 1
