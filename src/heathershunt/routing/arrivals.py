"""Rate of this VM's chain choices, used to estimate the choices of other VMs."""

from heathershunt.clock import Millis

WINDOW_MS = 500
# Weight of the latest window in the smoothed rate, which averages over about 2.5 s.
WINDOW_WEIGHT = 0.2


class ArrivalRate:
    """Chain choices per millisecond for one model, smoothed over a few seconds.

    .. versionadded:: 0.1
    """

    __slots__ = ("_count", "_since", "per_ms")

    def __init__(self, now: Millis) -> None:
        self.per_ms = 0.0
        self._count = 0
        self._since = now

    def add(self, now: Millis) -> None:
        """Count one choice made at ``now``."""
        elapsed_ms = now - self._since
        if elapsed_ms >= WINDOW_MS:
            rate = self._count / elapsed_ms
            # A longer window gets the weight of the short windows that it spans.
            old_weight = (1 - WINDOW_WEIGHT) ** (elapsed_ms / WINDOW_MS)
            self.per_ms = (
                old_weight * self.per_ms + (1 - old_weight) * rate
                if self.per_ms
                else rate
            )
            self._count, self._since = 0, now
        self._count += 1
