"""Clocks in milliseconds; all packages read the time from them."""

import time
from typing import NewType, Protocol

Millis = NewType("Millis", int)

NANOSECONDS_PER_MILLISECOND = 1_000_000


class Clock(Protocol):
    """Source of monotonic and wall time in milliseconds.

    .. versionadded:: 0.1
    """

    def now(self) -> Millis:
        """Return monotonic time; it never goes back."""

    def wall(self) -> Millis:
        """Return wall time in milliseconds since the Unix epoch; it may be adjusted."""


class SystemClock:
    """Clock of the operating system.

    .. versionadded:: 0.1
    """

    def now(self) -> Millis:
        """Return monotonic time in milliseconds.

        The time advances while the machine is suspended, because leases on other
        machines expire meanwhile.
        """
        nanoseconds = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        return Millis(nanoseconds // NANOSECONDS_PER_MILLISECOND)

    def wall(self) -> Millis:
        """Return milliseconds since the Unix epoch."""
        return Millis(time.time_ns() // NANOSECONDS_PER_MILLISECOND)


class ManualClock:
    """Clock that tests and measurements advance explicitly.

    :param start: initial monotonic time in milliseconds.
    :param wall: initial wall time in milliseconds.

    .. versionadded:: 0.1
    """

    def __init__(self, start: int = 0, wall: int = 1_000_000) -> None:
        self._now = start
        self._wall = wall

    def now(self) -> Millis:
        """Return the current monotonic time of this clock."""
        return Millis(self._now)

    def wall(self) -> Millis:
        """Return the current wall time of this clock."""
        return Millis(self._wall)

    def advance(self, milliseconds: int) -> None:
        """Advance both times by ``milliseconds``, which may be negative."""
        self._now += milliseconds
        self._wall += milliseconds
