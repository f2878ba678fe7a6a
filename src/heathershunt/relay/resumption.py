"""Checks that a run goes on with a stream that another run has begun.

A faulty runner may answer with the text of an error, with other events, or with none.
None of it may reach the caller, or pass for the end of the stream.
"""

from dataclasses import dataclass, replace

from heathershunt.relay.events import BLOCK_END, StreamEvent


class StreamBrokenError(ConnectionError):
    """A stream that ends before its last event.

    .. versionadded:: 0.2
    """


@dataclass(slots=True)
class ResumePoint:
    """Where a run has to go on, and whether it has.

    :param last_id: id of the last event that the caller has.
    :param is_consecutive: whether the ids of all events so far were consecutive.
    :ivar has_gone_on: whether the run has sent a later event.

    .. versionadded:: 0.8
    """

    last_id: int
    is_consecutive: bool
    has_gone_on: bool = False

    def checked(self, event: StreamEvent) -> StreamEvent:
        """Return an event of the run without the comments before it.

        :raises StreamBrokenError: if it cannot be part of the stream.
        """
        if event.id is None:
            raise StreamBrokenError("the resumed stream has an event without an id")
        if event.id > self.last_id and not self.has_gone_on:
            if self.is_consecutive and event.id != self.last_id + 1:
                raise StreamBrokenError(f"the resumed stream goes on at {event.id}")
            self.has_gone_on = True
        start = _end_of_comments(event.data)
        return replace(event, data=event.data[start:]) if start else event

    def check_end(self, comments: list[StreamEvent]) -> None:
        """Check the end of the run, and what came after its last event.

        :raises StreamBrokenError: if the run has not gone on with the stream.
        """
        for comment in comments:
            if _end_of_comments(comment.data + b"x\n\n") < len(comment.data):
                raise StreamBrokenError("the resumed stream ends with other text")
        if not self.has_gone_on:
            raise StreamBrokenError("the resumed stream has no new event")


def _end_of_comments(data: bytes) -> int:
    """Return where the last block of some data starts.

    :raises StreamBrokenError: if a block before it is no comment.
    """
    start = 0
    for match in BLOCK_END.finditer(data):
        if match.end() == len(data):
            break
        lines = data[start : match.start()].splitlines()
        if any(line and not line.startswith(b":") for line in lines):
            raise StreamBrokenError("the resumed stream has text that is no event")
        start = match.end()
    return start
