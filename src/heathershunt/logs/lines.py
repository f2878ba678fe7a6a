"""Events as JSON lines, queued in bounded memory and written without blocking."""

import asyncio
import os
import secrets
from collections import deque
from collections.abc import Callable

import msgspec

from heathershunt.clock import Clock
from heathershunt.logs.events import Event, LinesDropped
from heathershunt.logs.held import HeldLines
from heathershunt.logs.rates import LineRateLimiter
from heathershunt.logs.request_events import RequestEvent

MAX_QUEUED_LINES = 8192
# While the queue is longer, only lines of failed requests and of events that belong to
# no request are added.
HOLD_THRESHOLD_LINES = MAX_QUEUED_LINES // 2
FLUSH_MS = 100
RETRY_MS = 250
MAX_WRITE_BYTES = 65_536
BOOT_BYTES = 4


class EventLog:
    """Writes each event as one line with a JSON object.

    Lines are queued in memory and written without blocking. While events of a type
    exceed their rate, or the queue is long, the lines of a request are held until the
    request ends: they are written if it failed, else dropped. A later ``lines_dropped``
    event holds the number of dropped lines.

    Each line has the wall time and the monotonic time, the id of this process start
    (``boot``), the number of the line since then, and the newest revision of the store
    that the VM had received.

    :param descriptor: file descriptor to write to; it is made non-blocking.
    :param vm: name of this VM, in every line.
    :ivar revision: newest revision of the store that the VM received.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        descriptor: int,
        vm: str,
        clock: Clock,
        rate_limiter: LineRateLimiter | None = None,
        held: HeldLines | None = None,
    ) -> None:
        self._descriptor = descriptor
        self._vm = vm
        self._clock = clock
        self._rate_limiter = rate_limiter or LineRateLimiter(clock)
        self._held = held or HeldLines()
        self._boot = secrets.token_hex(BOOT_BYTES)
        self._number = 0
        self._queue: deque[bytes] = deque()
        self._unwritten = b""
        self._dropped = 0
        self._timer: asyncio.TimerHandle | None = None
        self._observers: list[Callable[[Event], None]] = []
        self.revision: int | None = None
        os.set_blocking(descriptor, False)

    def add_observer(self, observer: Callable[[Event], None]) -> None:
        """Call ``observer`` with every event, also if its line is dropped."""
        self._observers.append(observer)

    def emit(self, event: Event) -> None:
        """Queue the line of an event, hold it until its request ends, or drop it."""
        for observe in self._observers:
            observe(event)
        is_within_rate = self._rate_limiter.take(event.name)
        line = self._encode(event)
        if isinstance(event, RequestEvent):
            has_capacity = is_within_rate and len(self._queue) < HOLD_THRESHOLD_LINES
            self._add_request_line(event, line, has_capacity)
        elif is_within_rate:
            self._enqueue(line)
        else:
            self._dropped += 1
        if self._timer is None and (self._queue or self._dropped):
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

    def _add_request_line(
        self, event: RequestEvent, line: bytes, has_capacity: bool
    ) -> None:
        request = event.request
        if event.is_failure:
            for held_line in self._held.take(request):
                self._enqueue(held_line)
            self._enqueue(line)
        elif has_capacity and request not in self._held:
            self._enqueue(line)
        elif event.ends_request:
            self._dropped += len(self._held.take(request)) + 1
        else:
            self._dropped += self._held.add(request, line)

    def _enqueue(self, line: bytes) -> None:
        if len(self._queue) >= MAX_QUEUED_LINES:
            self._dropped += 1
        else:
            self._queue.append(line)

    def close(self) -> None:
        """Write queued and held lines; lines that cannot be written now are lost."""
        for line in self._held.take_all():
            self._enqueue(line)
        self.flush()

    def flush(self) -> None:
        """Write queued lines until the descriptor would block, then retry later."""
        self._timer = None
        if self._dropped and len(self._queue) < MAX_QUEUED_LINES:
            dropped, self._dropped = self._dropped, 0
            self.emit(LinesDropped(dropped))
        while self._queue or self._unwritten:
            if not self._unwritten:
                self._unwritten = self._next_chunk()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                self._schedule(RETRY_MS)
                return
            except OSError:
                # The reader has closed the pipe. The error cannot be reported anywhere.
                self._queue.clear()
                self._unwritten = b""
                return
            self._unwritten = self._unwritten[written:]

    def _next_chunk(self) -> bytes:
        parts = []
        size = 0
        while self._queue and size < MAX_WRITE_BYTES:
            line = self._queue.popleft()
            parts.append(line)
            size += len(line)
        return b"".join(parts)

    def _schedule(self, delay_ms: int) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay_ms / 1000, self.flush)
