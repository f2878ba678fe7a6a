"""Runs of a stream on chains of runners."""

import asyncio
from dataclasses import dataclass, field

from result import Err

from heathershunt.clock import Millis
from heathershunt.discovery import Target
from heathershunt.http import ClientResponse
from heathershunt.pipelines import Chain
from heathershunt.relay.events import EventSplitter, StreamEvent
from heathershunt.relay.messages import ReplyHead
from heathershunt.relay.resumption import ResumePoint, StreamBrokenError


class RunPausedError(Exception):
    """A run that is silent, from which another one may take over.

    :ivar faulty: runner that gives no report; ``None`` if all do.

    .. versionadded:: 0.8
    """

    def __init__(self, detail: str, faulty: Target | None) -> None:
        super().__init__(detail)
        self.faulty = faulty


@dataclass(slots=True)
class Run:
    """One run of a stream on a chain.

    :param tokens: tokens that the load ledger counts for the run.
    :param sent_at: time when the run was sent.
    :param sending: the request, whose result is the reply; ``None`` if it is not sent.
    :param resumed: where the run goes on with a stream that has begun; ``None`` for
        one that starts the stream.
    :param response: reply of the first runner; ``None`` until its head arrives.
    :param head: decoded head of the reply.
    :ivar events: number of events that this run has sent.
    :ivar began_at: time of its first event; ``None`` before it.
    :ivar has_outlasted: whether it has written for so long that an end of its runner
        would say nothing of the prompt.
    :ivar is_patient: whether a silence of the run is waited out.
    :ivar is_delivered: whether the run counts among those that may have reached a
        runner.
    :ivar is_released: whether the connection of the run was closed.

    .. versionadded:: 0.3
    """

    chain: Chain
    tokens: float
    sent_at: Millis
    sending: asyncio.Future | None = None
    resumed: ResumePoint | None = None
    response: ClientResponse | None = None
    head: ReplyHead | None = None
    splitter: EventSplitter = field(default_factory=EventSplitter)
    events: int = 0
    began_at: Millis | None = None
    has_outlasted: bool = False
    is_patient: bool = False
    is_delivered: bool = False
    is_released: bool = False

    def next_events(self, data: bytes | None) -> list[StreamEvent] | None:
        """Return the events that are complete now; ``None`` at the end of the stream.

        :param data: bytes received; ``None`` at the end of the stream.
        :raises StreamBrokenError: if the stream ends inside an event, or does not go on
            with the one that has begun.
        """
        if data is not None:
            events = self.splitter.feed(data)
            if self.resumed is not None:
                events = [self.resumed.checked(event) for event in events]
            self.events += len(events)
            return events
        if self.splitter.has_partial:
            raise StreamBrokenError("the stream ends inside an event")
        comments = self.splitter.end()
        if self.resumed is not None:
            self.resumed.check_end(comments)
            return None
        return comments or None


def cancel_request(task: asyncio.Future | None) -> None:
    """Cancel a request, or close its connection if the reply has arrived."""
    if task is None:
        return
    if not task.done():
        task.cancel()
    elif not task.cancelled() and task.exception() is None:
        outcome = task.result()
        if not isinstance(outcome, Err):
            outcome.ok_value.close()
