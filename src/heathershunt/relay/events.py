"""Splitting of a stream into complete server-sent events."""

import re
from dataclasses import dataclass

BLOCK_END = re.compile(rb"\r?\n\r?\n")
MAX_BLOCK_END_BYTES = 4
ID_LINE = re.compile(rb"^id: ?([0-9]{1,18})\r?$", re.MULTILINE)
DATA_LINE = re.compile(rb"^data[:\r\n]", re.MULTILINE)
MAX_EVENT_BYTES = 1_048_576


class EventTooLongError(ConnectionError):
    """An event that does not end within :data:`MAX_EVENT_BYTES`.

    .. versionadded:: 0.2
    """


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """A server-sent event with its bytes as received.

    :param id: numeric id of the event; ``None`` without one.
    """

    id: int | None
    data: bytes


class EventSplitter:
    """Splits the bytes of a stream into complete events.

    Comments and other blocks without an event are returned with the next event, so that
    a runner that sends nothing else counts as paused.

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        # Bytes received since the last event. Each is scanned once, so that the work
        # does not grow with what a runner sends in place of an event.
        self._buffer = bytearray()
        self._block_start = 0
        self._scan_start = 0

    @property
    def has_partial(self) -> bool:
        """Return whether an incomplete event has been received."""
        return bool(self._buffer[self._block_start :].strip())

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add received bytes and return the events that are complete now.

        :raises EventTooLongError: if more than :data:`MAX_EVENT_BYTES` have arrived
            since the last event.
        """
        buffer = self._buffer
        buffer += data
        events = []
        event_start = 0
        for match in BLOCK_END.finditer(buffer, self._scan_start):
            end = match.end()
            found = ID_LINE.search(buffer, self._block_start, end)
            if found is not None or DATA_LINE.search(buffer, self._block_start, end):
                number = int(found[1]) if found else None
                events.append(StreamEvent(number, bytes(buffer[event_start:end])))
                event_start = end
            self._block_start = end
        del buffer[:event_start]
        self._block_start -= event_start
        # A read may end inside the separator of two blocks.
        self._scan_start = max(self._block_start, len(buffer) - MAX_BLOCK_END_BYTES + 1)
        if len(buffer) > MAX_EVENT_BYTES:
            raise EventTooLongError("the next event of the stream does not end")
        return events

    def end(self) -> list[StreamEvent]:
        """Return the comments after the last event, once the stream has ended."""
        comments = bytes(self._buffer[: self._block_start])
        del self._buffer[: self._block_start]
        self._scan_start = self._block_start = 0
        return [StreamEvent(None, comments)] if comments else []
