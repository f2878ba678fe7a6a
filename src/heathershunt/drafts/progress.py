"""Stall detection for streams of runners: one timer checks all progress deadlines."""

import asyncio
from collections.abc import Callable

from heathershunt.clock import Clock, Millis

CHECK_INTERVAL_MS = 25
FIRST_TOKEN_LIMIT_MS = 2000


class StreamWatch:
    """Deadline for the next token of one stream.

    :param deadline: monotonic time in milliseconds; infinite while none is set.
    :param on_stall: called once each time the deadline passes.
    """

    __slots__ = ("deadline", "on_stall")

    def __init__(self, deadline: float, on_stall: Callable[[], None]) -> None:
        self.deadline = deadline
        self.on_stall = on_stall


class ProgressMonitor:
    """Checks the deadlines of all registered streams on one timer.

    A new token only sets the deadline of its stream; no timer is restarted for it.

    .. versionadded:: 0.1
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._watches: set[StreamWatch] = set()
        self._active = asyncio.Event()

    def register(self, watch: StreamWatch) -> None:
        """Start checking a stream."""
        self._watches.add(watch)
        self._active.set()

    def unregister(self, watch: StreamWatch) -> None:
        """Stop checking a stream."""
        self._watches.discard(watch)

    def check(self, now: Millis) -> None:
        """Call ``on_stall`` of each stream whose deadline has passed at ``now``."""
        for watch in [w for w in self._watches if w.deadline <= now]:
            watch.deadline = float("inf")
            watch.on_stall()

    async def run(self) -> None:
        """Check until cancelled; the timer pauses while no stream is registered."""
        while True:
            if not self._watches:
                self._active.clear()
                await self._active.wait()
            await asyncio.sleep(CHECK_INTERVAL_MS / 1000)
            self.check(self._clock.now())
