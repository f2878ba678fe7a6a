"""Structured lines on standard output, bounded and never blocking."""

import asyncio
import os
import secrets
from collections import deque
from collections.abc import Callable

import msgspec

from heathershunt.clock import Clock
from heathershunt.logs.events import Event, LinesDropped
from heathershunt.logs.held import HeldLines
from heathershunt.logs.rates import LineRates
from heathershunt.logs.request_events import RequestEvent

MAX_WAITING_LINES = 8192
# Beyond this only lines on failed requests and on the VM itself are added.
MAX_ORDINARY_LINES = MAX_WAITING_LINES // 2
FLUSH_MS = 100
RETRY_MS = 250
MAX_WRITE_BYTES = 65_536
BOOT_BYTES = 4


class EventLog:
    """Writes one JSON object a line.

    Lines wait in memory and are written without blocking. While an event comes faster
    than its rate, or many lines wait, the lines of a request are held until it ends:
    they are written if it failed, else dropped. Dropped lines are counted in a later
    line.

    Each line has the time of day and the steady clock, the number of the line in this
    start of the process (``boot``), and the store's revision that the VM knew.

    :param descriptor: file descriptor to write to.
    :param vm: name of this VM, in every line.
    :ivar revision: newest revision of the store that the VM knows.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        descriptor: int,
        vm: str,
        clock: Clock,
        rates: LineRates | None = None,
        held: HeldLines | None = None,
    ) -> None:
        self._descriptor = descriptor
        self._vm = vm
        self._clock = clock
        self._rates = rates or LineRates(clock)
        self._held = held or HeldLines()
        self._boot = secrets.token_hex(BOOT_BYTES)
        self._number = 0
        self._lines: deque[bytes] = deque()
        self._rest = b""
        self._dropped = 0
        self._timer: asyncio.TimerHandle | None = None
        self._observers: list[Callable[[Event], None]] = []
        self.revision: int | None = None
        os.set_blocking(descriptor, False)

    def add_observer(self, observer: Callable[[Event], None]) -> None:
        """Call a function with every event, also where its line is dropped."""
        self._observers.append(observer)

    def emit(self, event: Event) -> None:
        """Queue the line of an event, or hold it until its request ends."""
        for observe in self._observers:
            observe(event)
        is_within_rate = self._rates.take(event.name)
        line = self._encode(event)
        if isinstance(event, RequestEvent):
            is_calm = is_within_rate and len(self._lines) < MAX_ORDINARY_LINES
            self._add_of_request(event, line, is_calm)
        elif is_within_rate:
            self._add(line)
        else:
            self._dropped += 1
        if self._timer is None and (self._lines or self._dropped):
            self._schedule(FLUSH_MS)

    def _encode(self, event: Event) -> bytes:
        self._number += 1
        line = {
            "time_ms": self._clock.wall(),
            "vm": self._vm,
            "event": event.name,
            "boot": self._boot,
            "number": self._number,
            "steady_ms": self._clock.now(),
            "revision": self.revision,
            **vars(event),
        }
        return msgspec.json.encode(line) + b"\n"

    def _add_of_request(self, event: RequestEvent, line: bytes, is_calm: bool) -> None:
        request = event.request
        if event.is_failure:
            for held in self._held.take(request):
                self._add(held)
            self._add(line)
        elif is_calm and request not in self._held:
            self._add(line)
        elif event.ends_request:
            self._dropped += len(self._held.take(request)) + 1
        else:
            self._dropped += self._held.add(request, line)

    def _add(self, line: bytes) -> None:
        if len(self._lines) >= MAX_WAITING_LINES:
            self._dropped += 1
        else:
            self._lines.append(line)

    def close(self) -> None:
        """Write what waits, held lines too; what the reader does not take is lost."""
        for line in self._held.take_all():
            self._add(line)
        self.flush()

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it."""
        self._timer = None
        if self._dropped and len(self._lines) < MAX_WAITING_LINES:
            dropped, self._dropped = self._dropped, 0
            self.emit(LinesDropped(dropped))
        while self._lines or self._rest:
            if not self._rest:
                self._rest = self._take()
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                self._schedule(RETRY_MS)
                return
            except OSError:
                # Nobody reads any more, and there is nowhere left to report it.
                self._lines.clear()
                self._rest = b""
                return
            self._rest = self._rest[written:]

    def _take(self) -> bytes:
        parts = []
        size = 0
        while self._lines and size < MAX_WRITE_BYTES:
            line = self._lines.popleft()
            parts.append(line)
            size += len(line)
        return b"".join(parts)

    def _schedule(self, delay_ms: int) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay_ms / 1000, self.flush)
