"""Structured lines on standard output, bounded and never blocking."""

import asyncio
import os
from collections import deque
from collections.abc import Callable

import msgspec

from heathershunt.clock import Clock

MAX_WAITING_LINES = 8192
FLUSH_MS = 100
RETRY_MS = 250
MAX_WRITE_BYTES = 65_536


class EventLog:
    """Writes one JSON object a line.

    Lines wait in memory and are written without blocking; when more than
    :data:`MAX_WAITING_LINES` wait, new ones are dropped and counted in a later line.

    :param descriptor: file descriptor to write to.
    :param vm: name of this VM, in every line.

    .. versionadded:: 0.2
    """

    def __init__(self, descriptor: int, vm: str, clock: Clock) -> None:
        self._descriptor = descriptor
        self._vm = vm
        self._clock = clock
        self._lines: deque[bytes] = deque()
        self._rest = b""
        self._dropped = 0
        self._timer: asyncio.TimerHandle | None = None
        self._observers: list[Callable[[str, dict[str, object]], None]] = []
        os.set_blocking(descriptor, False)

    def add_observer(self, observer: Callable[[str, dict[str, object]], None]) -> None:
        """Call a function with every event and its fields, dropped ones too."""
        self._observers.append(observer)

    def emit(self, event: str, **fields: object) -> None:
        """Queue a line.

        :param event: name of the event.
        :param fields: what decided it, and its outcome.
        """
        for observe in self._observers:
            observe(event, fields)
        if len(self._lines) >= MAX_WAITING_LINES:
            self._dropped += 1
            return
        line = {"time_ms": self._clock.wall(), "vm": self._vm, "event": event, **fields}
        self._lines.append(msgspec.json.encode(line) + b"\n")
        if self._timer is None:
            self._schedule(FLUSH_MS)

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it."""
        self._timer = None
        if self._dropped and len(self._lines) < MAX_WAITING_LINES:
            dropped, self._dropped = self._dropped, 0
            self.emit("lines_dropped", count=dropped)
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
