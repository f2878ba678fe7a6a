"""Turns of streams that wait for a chain with capacity."""

import asyncio
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

from heathershunt.admission import LineConfig, Waiter, WaitingLine
from heathershunt.clock import Clock, Millis
from heathershunt.pipelines.waiting import WaitingLedger

# Interval between two searches for a chain with capacity.
CAPACITY_POLL_MS = 60


class Place:
    """Place of one stream in the line of its service.

    :ivar is_taken: whether the stream has a chain and no longer waits.
    :ivar has_waited: whether the stream waited at all.

    .. versionadded:: 0.10
    """

    def __init__(self, line: "ServiceLine", waiter: Waiter) -> None:
        self._line = line
        self.waiter = waiter
        self.is_taken = False
        self.has_waited = False
        self._woken = asyncio.Event()

    @property
    def has_turn(self) -> bool:
        """Return whether the stream is to search now."""
        return self._line.waiting_line.turn is self.waiter

    def wake(self) -> None:
        """Let the stream search, as it has the turn."""
        self._woken.set()

    def pass_on(self, is_restricted: bool) -> None:
        """Give the turn to the next one, as the stream found no chain.

        :param is_restricted: whether it may not use all runners that others may.
        """
        self._woken.clear()
        self._line.waiting_line.pass_on(self.waiter, is_restricted)
        self._line.report_stuck()
        self._line.advance()

    def take(self) -> None:
        """Record that the stream has a chain."""
        self.is_taken = True

    async def wait(self, limit_ms: float) -> None:
        """Wait for the turn, at most ``limit_ms``."""
        if self.has_turn:
            return
        self.has_waited = True
        self._woken.clear()
        try:
            async with asyncio.timeout(limit_ms / 1000):
                await self._woken.wait()
        except TimeoutError:
            pass


class ServiceLine:
    """Streams of one service that wait in order, and the timer of their searches.

    :param ledger: counts the streams for the other VMs and knows theirs.

    .. versionadded:: 0.10
    """

    def __init__(self, clock: Clock, ledger: WaitingLedger, service: str) -> None:
        self._clock = clock
        self._ledger = ledger
        self._service = service
        config = LineConfig(rest_ms=CAPACITY_POLL_MS)
        self.waiting_line = WaitingLine.from_config(config)
        self._places_by_waiter: dict[Waiter, Place] = {}
        self._timer: asyncio.TimerHandle | None = None

    @contextmanager
    def place(self, waiter: Waiter) -> Iterator[Place]:
        """Let a stream wait inside the ``with`` block.

        However the block ends, the next one gets the turn if this one had it.
        """
        place = self._places_by_waiter[waiter] = Place(self, waiter)
        self._ledger.add(self._service, waiter.rank)
        self.waiting_line.join(waiter)
        self.advance()
        try:
            yield place
        finally:
            del self._places_by_waiter[waiter]
            self._ledger.remove(self._service, waiter.rank)
            if place.is_taken:
                self.waiting_line.take(waiter, self._clock.now())
            else:
                self.waiting_line.leave(waiter)
            self.report_stuck()
            self.advance()

    def report_stuck(self) -> None:
        """Leave the streams that wait for a reason of their own out of the reports."""
        self._ledger.set_stuck(self._service, self.waiting_line.stuck())

    def on_run_end(self) -> None:
        """Let a stream search, as a run has ended and there may be room."""
        self.waiting_line.on_room(self._clock.now())
        self.advance()

    def is_too_late(self, waiter: Waiter, left_ms: float) -> bool:
        """Return whether the turn of a stream that joins now would come too late.

        :param left_ms: time for which the stream may wait.
        """
        return self.waiting_line.is_too_late(waiter, left_ms, self._clock.now())

    def return_ms(self, waiter: Waiter) -> int:
        """Return the time after which the caller of a refused stream may return."""
        return self.waiting_line.return_ms(waiter, self._clock.now())

    def advance(self) -> None:
        """Give the turn to the next stream if it may search now, else set the timer."""
        now = self._clock.now()
        if not self.waiting_line or self.waiting_line.turn is not None:
            return
        elsewhere = self._ledger.elsewhere(self._service)
        waiter = self.waiting_line.next_turn(now, elsewhere)
        if waiter is not None:
            self._places_by_waiter[waiter].wake()
            return
        if self._timer is not None:
            self._timer.cancel()
        delay_s = max(0, self.waiting_line.next_at - now) / 1000
        self._timer = asyncio.get_running_loop().call_later(delay_s, self.advance)


class CapacityGate:
    """Decides which of the streams that wait may search for a chain with capacity.

    Streams that wait in order have a line for each service. Of the others, the first
    one to ask searches; after a search that found no chain, all of them skip theirs for
    a while: with many streams waiting, the searches alone would use up the CPU.

    :param ledger: counts the streams that wait in order.

    .. versionadded:: 0.2
    """

    def __init__(self, clock: Clock, ledger: WaitingLedger | None = None) -> None:
        self._clock = clock
        self._ledger = ledger or WaitingLedger(clock)
        self._full_until: dict[str, Millis] = {}
        self._waiting: Counter[str] = Counter()
        self._lines_by_service: dict[str, ServiceLine] = {}

    def waiting(self, service: str) -> int:
        """Return how many streams of a service wait for a chain."""
        return self._waiting[service]

    @contextmanager
    def counted(self, service: str) -> Iterator[None]:
        """Count a stream as waiting inside the ``with`` block."""
        self._waiting[service] += 1
        try:
            yield
        finally:
            self._waiting[service] -= 1

    def line(self, service: str) -> ServiceLine:
        """Return the line of a service."""
        line = self._lines_by_service.get(service)
        if line is None:
            line = ServiceLine(self._clock, self._ledger, service)
            self._lines_by_service[service] = line
        return line

    def on_run_end(self, service: str) -> None:
        """Let a stream of a service search, as a run of this VM has ended."""
        line = self._lines_by_service.get(service)
        if line is not None:
            line.on_run_end()

    def may_search(self, service: str) -> bool:
        """Return whether a chain of a service may have capacity again.

        This is asked for streams that do not wait in order.
        """
        return self._clock.now() >= self._full_until.get(service, 0)

    def record_full(self, service: str) -> None:
        """Record that no chain of a service has capacity."""
        self._full_until[service] = Millis(self._clock.now() + CAPACITY_POLL_MS)
