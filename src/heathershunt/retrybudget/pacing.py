"""Limits on the calls of a VM to coordinators."""

from collections import deque
from collections.abc import Sequence

from heathershunt.clock import Clock, Millis
from heathershunt.http import Address

# Time between two calls, for all services together, so at most 4 calls in a second. It
# bounds the load of a coordinator. Calls at once and a longer pause after them would
# make streams wait for longer than they may.
CALL_GAP_MS = 250
# Time after a failed call in which a coordinator is not called.
AVOID_MS = 1000
# Time after an answer that granted nothing in which a coordinator is not called for the
# same service.
EMPTY_MS = 300


class CallPacer:
    """Decides when this VM may call which coordinator.

    In the methods, ``None`` in place of an address stands for this VM itself, which
    needs no call.

    .. versionadded:: 0.10
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._calling: set[str] = set()
        self._next_at = clock.now()
        self._failed_until: dict[Address, Millis] = {}
        self._empty_until: dict[tuple[str, Address | None], Millis] = {}

    def wait_ms(self) -> int:
        """Return the time until a call may start."""
        return max(0, self._next_at - self._clock.now())

    def usable(
        self, service: str, coordinators: Sequence[Address | None]
    ) -> list[Address | None]:
        """Return the coordinators that may be asked for retries now, in their order.

        :param coordinators: coordinators by preference.
        """
        now = self._clock.now()
        may_call = service not in self._calling and self.wait_ms() == 0
        return [
            address
            for address in coordinators
            if self._empty_until.get((service, address), 0) <= now
            and (
                address is None
                or (may_call and self._failed_until.get(address, 0) <= now)
            )
        ]

    def start(self, service: str) -> None:
        """Count a call that starts."""
        self._calling.add(service)
        self._next_at = Millis(self._clock.now() + CALL_GAP_MS)

    def end(self, service: str) -> None:
        """Count the end of a call."""
        self._calling.discard(service)

    def record_failure(self, address: Address) -> None:
        """Do not call a coordinator for a while, as it did not answer."""
        self._failed_until[address] = self._after(AVOID_MS)
        self._drop_ended()

    def record_empty(self, service: str, address: Address | None) -> None:
        """Do not ask a coordinator for a while, as it granted nothing."""
        self._empty_until[service, address] = self._after(EMPTY_MS)
        self._drop_ended()

    def _after(self, delay_ms: int) -> Millis:
        return Millis(self._clock.now() + delay_ms)

    def _drop_ended(self) -> None:
        now = self._clock.now()
        for until_by_key in (self._failed_until, self._empty_until):
            for key in [key for key, until in until_by_key.items() if until <= now]:
                del until_by_key[key]


class RecentNeeds:
    """Counts the requests that lacked a retry since the last call could be made.

    As many are likely to lack one until the next call.

    .. versionadded:: 0.10
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._times: dict[tuple[str, bool], deque[Millis]] = {}

    def record(self, service: str, has_begun: bool) -> None:
        """Count a request that has to wait for a retry."""
        times = self._times.setdefault((service, has_begun), deque())
        times.append(self._clock.now())

    def count(self, service: str, has_begun: bool) -> int:
        """Return the requests of the last :data:`CALL_GAP_MS`."""
        times = self._times.get((service, has_begun), deque())
        while times and times[0] <= self._clock.now() - CALL_GAP_MS:
            times.popleft()
        return len(times)
