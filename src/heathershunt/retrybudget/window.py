"""Count of events in a sliding window."""

from collections import deque

from heathershunt.clock import Millis


class EventWindow:
    """Counts events in a sliding window.

    .. versionadded:: 0.10
    """

    def __init__(self) -> None:
        self._times: deque[Millis] = deque()

    def add(self, now: Millis) -> None:
        """Count an event."""
        self._times.append(now)

    def count(self, since: int) -> int:
        """Return the events after ``since``, which may not decrease between calls."""
        while self._times and self._times[0] <= since:
            self._times.popleft()
        return len(self._times)
