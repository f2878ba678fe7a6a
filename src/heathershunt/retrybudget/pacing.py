"""Limits on the calls of a VM to its coordinator."""

from collections import deque

from heathershunt.clock import Clock, Millis

# Calls in each period, for all services together. It bounds the load of a coordinator.
MAX_CALLS = 4
PERIOD_MS = 1000
# Time after a failed call in which no other one is made.
AVOID_MS = 1000
# Time after a call that was granted nothing until the next one for its service.
EMPTY_MS = 250


class CallPacer:
    """Decides when this VM may call its coordinator.

    .. versionadded:: 0.10
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._calling: set[str] = set()
        self._started: deque[Millis] = deque(maxlen=MAX_CALLS)
        self._avoided_until = clock.now()
        self._empty_until: dict[str, Millis] = {}

    def wait_ms(self, service: str) -> int:
        """Return the time until a call may start; that of one in flight is unknown."""
        now = self._clock.now()
        times = [self._avoided_until, self._empty_until.get(service, 0)]
        if len(self._started) == MAX_CALLS:
            times.append(self._started[0] + PERIOD_MS)
        return max(0, max(times) - now)

    def may_call(self, service: str) -> bool:
        """Return whether a call for a service may start now."""
        return service not in self._calling and self.wait_ms(service) == 0

    def start(self, service: str) -> None:
        """Count a call that starts."""
        self._calling.add(service)
        self._started.append(self._clock.now())

    def end(self, service: str) -> None:
        """Count the end of a call."""
        self._calling.discard(service)

    def record_failure(self) -> None:
        """Make no calls for a while, as the coordinator did not answer."""
        self._avoided_until = Millis(self._clock.now() + AVOID_MS)

    def record_empty(self, service: str) -> None:
        """Make no calls for a service for a while, as nothing was granted."""
        self._empty_until[service] = Millis(self._clock.now() + EMPTY_MS)
