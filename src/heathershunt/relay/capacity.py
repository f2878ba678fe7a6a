"""Who looks for room while all chains are full."""

from heathershunt.clock import Clock, Millis

# Time between two looks for a chain with room.
CAPACITY_POLL_MS = 60


class CapacityGate:
    """Lets one waiting stream after the other look for room.

    After one found none, the others need not look for a while: with many streams
    waiting, the search itself would take all of the processor.

    .. versionadded:: 0.2
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._full_until: dict[str, Millis] = {}

    def may_search(self, service: str) -> bool:
        """Return whether there may be room by now."""
        return self._clock.now() >= self._full_until.get(service, 0)

    def note_full(self, service: str) -> None:
        """Take note that there is no room."""
        self._full_until[service] = Millis(self._clock.now() + CAPACITY_POLL_MS)
