"""Hybrid logical clock: wall time that is consistent with causal order.

A time is one integer: 48 bits of milliseconds since the Unix epoch and a 16-bit
counter. A counter that overflows carries into the milliseconds, so the order is kept.
"""

from heathershunt.clock import Clock, Millis

COUNTER_BITS = 16
COUNTER_MASK = (1 << COUNTER_BITS) - 1
# The time of a peer whose clock is further ahead is ignored: adopting the time would
# move the hybrid clock of every process in the deployment ahead permanently.
MAX_AHEAD_MS = 60_000


def pack_hlc(wall: int, counter: int = 0) -> int:
    """Return the packed time of a wall time in milliseconds and a counter."""
    return wall << COUNTER_BITS | counter


def unpack_hlc(hlc: int) -> tuple[Millis, int]:
    """Return wall time in milliseconds and the counter of a packed time."""
    return Millis(hlc >> COUNTER_BITS), hlc & COUNTER_MASK


class HybridClock:
    """Hybrid logical clock of one process.

    :param clock: source of wall time.
    :ivar ignored: number of received times that were ignored.

    .. versionadded:: 0.1
    """

    def __init__(self, clock: Clock) -> None:
        self._wall = clock.wall
        self._last = 0
        self.ignored = 0

    @property
    def last(self) -> int:
        """Return the last packed time that was issued or adopted."""
        return self._last

    def tick(self) -> int:
        """Return the packed time of a local event, higher than all earlier times."""
        now = self._wall() << COUNTER_BITS
        last = self._last
        self._last = now if now > last else last + 1
        return self._last

    def observe(self, remote: int) -> int:
        """Adopt the packed time of a received message; return the time of its receipt.

        A time that is no integer or more than :data:`MAX_AHEAD_MS` ahead of the wall
        clock is ignored and counted in ``ignored``.
        """
        limit = pack_hlc(self._wall() + MAX_AHEAD_MS)
        if isinstance(remote, int) and self._last < remote <= limit:
            self._last = remote
        elif not isinstance(remote, int) or remote > limit:
            self.ignored += 1
        return self.tick()
