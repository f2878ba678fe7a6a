"""Streamed answer that another VM relays."""

import asyncio

from heathershunt.clock import Clock
from heathershunt.discovery import Member
from heathershunt.forwarding.choice import HopChooser
from heathershunt.forwarding.hop import READ_ERRORS
from heathershunt.forwarding.race import ForwardSpec, HopRace
from heathershunt.http import ClientResponse, ResponseStream
from heathershunt.relay.events import EventSplitter, StreamEvent
from heathershunt.relay.progress import StreamProgress
from heathershunt.relay.resumption import ResumePoint, StreamBrokenError
from heathershunt.relay.timeouts import StreamTimeouts
from heathershunt.verdict import Refusal

BACKLOG_BYTES = 65_536
SUCCESS = 200
# A silent runner is left by the VM that relays its stream after ``reroute_ms``. If
# nothing comes for this many times as long, that VM itself is silent. Callers give a
# stream up after 1.67 times ``reroute_ms``.
SILENCE_FACTOR = 1.3


class HopStream:
    """Passes the body of a streamed answer on as it arrives.

    A resumable stream is passed on by whole events. If the hop breaks, another VM
    continues after the last one.

    :param race: gives the request to further VMs.
    :param member: VM that relays the stream.
    :param response: answer of that VM.

    .. versionadded:: 0.10
    """

    def __init__(
        self,
        clock: Clock,
        chooser: HopChooser,
        race: HopRace,
        spec: ForwardSpec,
        member: Member,
        response: ClientResponse,
    ) -> None:
        self._clock = clock
        self._chooser = chooser
        self._race = race
        self._deadline = spec.deadline
        self._is_resumable = spec.is_stream and spec.route.is_resumable
        self._silence_ms = (
            SILENCE_FACTOR * StreamTimeouts.from_route(spec.route).reroute_ms
        )
        request, point = spec.request, spec.resume
        last_id = request.last_event_id if point is None else point.last_id
        self._progress = StreamProgress(clock, request.received_at, last_id)
        self._resume = point
        self._splitter = EventSplitter()
        self._is_closed = False
        self._member = member
        self._response = response
        chooser.start(member.vm)

    async def run(self, sink: ResponseStream) -> None:
        """Write the body until it ends.

        :raises ConnectionError: if the hop breaks before that, and no other VM
            continues the stream.
        """
        pieces = self._next_events if self._is_resumable else self._next_bytes
        while (data := await pieces()) is not None:
            if data:
                sink.write(data)
            if sink.backlog() > BACKLOG_BYTES:
                await sink.drain()

    async def _next_bytes(self) -> bytes | None:
        return await self._read(self._deadline - self._clock.now())

    async def _read(self, limit_ms: float) -> bytes | None:
        """Return the next bytes of the hop, ``None`` at the end of its answer.

        :raises ConnectionError: if the hop breaks, or nothing arrives in time.
        """
        left_ms = min(limit_ms, self._deadline - self._clock.now())
        try:
            async with asyncio.timeout(max(0, left_ms) / 1000):
                return await self._response.read_some()
        except READ_ERRORS as error:
            detail = str(error) or type(error).__name__
            raise StreamBrokenError(f"VM {self._member.vm}: {detail}") from None

    async def _next_events(self) -> bytes | None:
        """Return the bytes of the next events, if need be through another VM."""
        while True:
            try:
                data = await self._read(self._silence_ms)
                events = self._split(data)
            except ConnectionError as error:
                await self._continue(error)
                continue
            if events is None:
                return None
            return self._progress.accept(events)

    def _split(self, data: bytes | None) -> list[StreamEvent] | None:
        """Return the events that are complete now; ``None`` at the end of the stream.

        :raises ConnectionError: if the stream ends early, or does not go on with the
            one that has begun.
        """
        if data is not None:
            events = self._splitter.feed(data)
            if self._resume is not None:
                events = [self._resume.checked(event) for event in events]
            return events
        if self._splitter.has_partial:
            raise StreamBrokenError("the stream ends inside an event")
        comments = self._splitter.end()
        if self._resume is None:
            return comments or None
        self._resume.check_end(comments)
        return None

    async def _continue(self, error: ConnectionError) -> None:
        """Have another VM continue the stream after the last event.

        :raises ConnectionError: if none does.
        """
        last_id = self._progress.last_id
        if last_id is None or self._deadline <= self._clock.now():
            raise error
        self._release()
        won = await self._race.resume(self._member, last_id, str(error))
        if isinstance(won, Refusal):
            raise StreamBrokenError(won.detail)
        member, answer = won
        if answer.stream is None or answer.response.status != SUCCESS:
            raise StreamBrokenError(f"VM {member.vm} does not continue the stream")
        self._member, self._response = member, answer.stream
        self._is_closed = False
        self._chooser.start(member.vm)
        self._splitter = EventSplitter()
        self._resume = self._progress.resume_point or ResumePoint(last_id, False)

    def close(self) -> None:
        """Close the hop, which cancels the request at the other VM."""
        self._release()

    def _release(self) -> None:
        if self._is_closed:
            return
        self._is_closed = True
        self._chooser.end(self._member.vm)
        self._response.close()
