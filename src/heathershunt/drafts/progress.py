"""Progress deadlines of runner streams, from the observed gaps between tokens."""

import asyncio
from collections.abc import Callable

from heathershunt.clock import Clock, Millis

TICK_MS = 25
FIRST_TOKEN_LIMIT_MS = 2000


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
