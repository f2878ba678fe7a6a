"""Server-sent events of a stream, kept whole."""

import re
from dataclasses import dataclass

EVENT_END = re.compile(rb"\r?\n\r?\n")
MAX_END_BYTES = 4
ID_LINE = re.compile(rb"^id: ?([0-9]{1,18})\r?$", re.MULTILINE)
DATA_LINE = re.compile(rb"^data[:\r\n]", re.MULTILINE)
MAX_EVENT_BYTES = 1_048_576


class EventTooLongError(ConnectionError):
    """An event that does not end within :data:`MAX_EVENT_BYTES`.

    .. versionadded:: 0.2
    """


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event with its bytes as they arrived.

    :param id: its id, ``None`` without one.
    """

    id: int | None
    data: bytes


class EventSplitter:
    """Takes bytes of a stream and gives its complete events.

    Comments and other blocks that carry no event are given with the event that follows
    them, so that a runner that sends nothing else is seen to pause.

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        # What has arrived since the last event. It is scanned once, so that the work
        # does not grow with what a runner sends in place of an event.
        self._kept = bytearray()
        self._block_at = 0
        self._scan_at = 0

    @property
    def has_partial(self) -> bool:
        """Return whether an event has begun that is not complete."""
        return bool(self._kept[self._block_at :].strip())

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Take what arrived and return the events that are complete now.

        :raises EventTooLongError: if too much has arrived since the last event.
        """
        kept = self._kept
        kept += data
        events = []
        event_at = 0
        for match in EVENT_END.finditer(kept, self._scan_at):
            end = match.end()
            found = ID_LINE.search(kept, self._block_at, end)
            if found is not None or DATA_LINE.search(kept, self._block_at, end):
                number = int(found[1]) if found else None
                events.append(StreamEvent(number, bytes(kept[event_at:end])))
                event_at = end
            self._block_at = end
        del kept[:event_at]
        self._block_at -= event_at
        # The end of a block may have begun.
        self._scan_at = max(self._block_at, len(kept) - MAX_END_BYTES + 1)
        if len(kept) > MAX_EVENT_BYTES:
            raise EventTooLongError("the next event of the stream does not end")
        return events

    def end(self) -> list[StreamEvent]:
        """Return what follows the last event, now that the stream has ended."""
        comments = bytes(self._kept[: self._block_at])
        del self._kept[: self._block_at]
        self._scan_at = self._block_at = 0
        return [StreamEvent(None, comments)] if comments else []
