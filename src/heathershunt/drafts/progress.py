"""Progress deadlines of runner streams, from the observed gaps between tokens."""

import asyncio
from collections.abc import Callable

from heathershunt.clock import Clock, Millis

TICK_MS = 25
GAP_FACTOR = 4
FIRST_TOKEN_LIMIT_MS = 2000
MEAN_WEIGHT = 1 / 64
DEVIATION_WEIGHT = 1 / 32
DEVIATIONS_TO_P99 = 3.0


class GapEstimator:
    """Estimates the 99th centile of a gap from its mean and mean deviation.

    .. versionadded:: 0.1
    """

    def __init__(self, floor_ms: float, initial_ms: float) -> None:
        self._floor_ms = floor_ms
        self._mean = initial_ms
        self._deviation = 0.0

    def observe(self, gap_ms: float) -> None:
        """Take one gap into account."""
        error = gap_ms - self._mean
        self._mean += MEAN_WEIGHT * error
        self._deviation += DEVIATION_WEIGHT * (abs(error) - self._deviation)

    def deadline_ms(self) -> float:
        """Return the longest gap that is not yet a stall."""
        p99 = self._mean + DEVIATIONS_TO_P99 * self._deviation
        return max(self._floor_ms, GAP_FACTOR * p99)


class Watched:
    """A stream whose progress is watched.

    :param on_stall: called once each time the deadline passes.
    """

    __slots__ = ("deadline", "on_stall")

    def __init__(self, deadline: float, on_stall: Callable[[], None]) -> None:
        self.deadline = deadline
        self.on_stall = on_stall


class ProgressMonitor:
    """Checks all watched streams on one timer; a token only moves its deadline.

    .. versionadded:: 0.1
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._watched: set[Watched] = set()
        self._active = asyncio.Event()

    def watch(self, watched: Watched) -> None:
        """Start to check a stream."""
        self._watched.add(watched)
        self._active.set()

    def forget(self, watched: Watched) -> None:
        """Stop to check a stream."""
        self._watched.discard(watched)

    def check(self, now: Millis) -> None:
        """Report the streams whose deadline has passed."""
        for watched in [w for w in self._watched if w.deadline <= now]:
            watched.deadline = float("inf")
            watched.on_stall()

    async def run(self) -> None:
        """Check until cancelled; without a watched stream nothing ticks."""
        while True:
            if not self._watched:
                self._active.clear()
                await self._active.wait()
            await asyncio.sleep(TICK_MS / 1000)
            self.check(self._clock.now())
