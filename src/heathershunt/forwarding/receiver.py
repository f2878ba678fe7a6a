"""Requests that other VMs forward to this one."""

from collections.abc import Awaitable, Callable
from dataclasses import replace

import logbook

from heathershunt.clock import Clock, SystemClock
from heathershunt.forwarding.messages import (
    FORWARD_PATH,
    NOT_TAKEN_HEADER,
    SENT_TO_HEADER,
    SERVED_HEADER,
    decode_forward,
    encode_ids,
)
from heathershunt.http import Request, Response, StreamResponse
from heathershunt.logs import EventLog, RepeatLimiter
from heathershunt.logs.forward_events import ForwardReceived
from heathershunt.relay.earlier import EarlierSends, Unserved
from heathershunt.relay.links import LinkState
from heathershunt.relay.messages import CallerRequest
from heathershunt.schema.decoding import MalformedError

log = logbook.Logger("heathershunt.forwarding")

NOT_TAKEN_STATUS = 503
Answer = Response | StreamResponse


class ForwardReceiver:
    """Relays forwarded requests to targets, and never to another VM.

    :param serve: relays a request; the result is a reason why this VM does not take it,
        or its answer and, if it was refused, what was sent.
    :ivar active_requests: number of forwarded requests being served.

    .. versionadded:: 0.10
    """

    def __init__(
        self,
        clock: Clock,
        events: EventLog,
        links: LinkState,
        serve: Callable[
            [CallerRequest, EarlierSends],
            Awaitable[str | tuple[Answer, Unserved | None]],
        ],
    ) -> None:
        self._clock = clock
        self._events = events
        self._links = links
        self._serve = serve
        self._lines = RepeatLimiter(SystemClock())
        self.active_requests = 0

    def takes(self, request: Request) -> bool:
        """Return whether a request of another VM is a forwarded one."""
        return request.path == FORWARD_PATH

    async def handle(self, request: Request) -> Answer:
        """Return the answer for the caller, or the mark that it is not taken."""
        if self._links.is_cut_off:
            return _not_taken("cut off from the targets")
        try:
            message = decode_forward(request.body)
        except MalformedError as error:
            if self._lines.take(request.peer):
                log.warning("malformed forwarded request: {}", error)
            return _not_taken("the message is malformed")
        earlier = message.earlier
        decoded = message.request_at(self._clock.now())
        event = ForwardReceived(
            decoded.id, message.sender, message.left_ms, message.sent_to
        )
        self._events.emit(event)
        self.active_requests += 1
        answer: Answer | None = None
        try:
            served = await self._serve(decoded, earlier)
            if isinstance(served, str):
                return _not_taken(served)
            answer = self._marked(*served, earlier)
        finally:
            if not isinstance(answer, StreamResponse):
                self.active_requests -= 1
        return self._counted(answer) if isinstance(answer, StreamResponse) else answer

    def _marked(
        self, answer: Answer, unserved: Unserved | None, earlier: EarlierSends
    ) -> Answer:
        """Return an answer with the mark of a refusal, and without marks of targets."""
        marks = (NOT_TAKEN_HEADER, SENT_TO_HEADER, SERVED_HEADER)
        headers = {k: v for k, v in answer.headers.items() if k.lower() not in marks}
        headers[SERVED_HEADER] = "1"
        if unserved is not None:
            new_ids = unserved.sends.target_ids - earlier.target_ids
            if self._links.is_cut_off and unserved.sends.sends <= earlier.sends:
                return _not_taken("cut off from the targets")
            if new_ids:
                headers[SENT_TO_HEADER] = encode_ids(new_ids)
        return replace(answer, headers=headers)

    def _counted(self, answer: StreamResponse) -> StreamResponse:
        """Return a stream that counts as active until it is closed."""
        on_closed = answer.on_closed

        def end() -> None:
            self.active_requests -= 1
            if on_closed is not None:
                on_closed()

        return replace(answer, on_closed=end)


def _not_taken(reason: str) -> Response:
    return Response(NOT_TAKEN_STATUS, {NOT_TAKEN_HEADER: reason})
