"""Server-sent events of a stream, kept whole."""

import re
from dataclasses import dataclass

EVENT_END = re.compile(rb"\r?\n\r?\n")
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
        self._rest = b""
        self._comments = b""

    @property
    def has_partial(self) -> bool:
        """Return whether an event has begun that is not complete."""
        return bool(self._rest.strip())

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Take what arrived and return the events that are complete now."""
        data = self._rest + data if self._rest else data
        events = []
        at = 0
        for match in EVENT_END.finditer(data):
            block = data[at : match.end()]
            at = match.end()
            found = ID_LINE.search(block)
            if found is None and DATA_LINE.search(block) is None:
                self._comments += block
                continue
            data_of_event, self._comments = self._comments + block, b""
            events.append(StreamEvent(int(found[1]) if found else None, data_of_event))
        self._rest = data[at:]
        if len(self._comments) + len(self._rest) > MAX_EVENT_BYTES:
            raise EventTooLongError("the next event of the stream does not end")
        return events

    def end(self) -> list[StreamEvent]:
        """Return what follows the last event, now that the stream has ended."""
        comments, self._comments = self._comments, b""
        return [StreamEvent(None, comments)] if comments else []
