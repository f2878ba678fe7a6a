"""Progress of a stream at its caller, and the gaps between its events."""

from heathershunt.clock import Clock, GapEstimator, Millis
from heathershunt.relay.events import StreamEvent
from heathershunt.relay.resumption import ResumePoint


class StreamProgress:
    """Drops events that a new run repeats, and measures the gaps between events.

    :param started_at: time at which the request was received.
    :param last_id: id of the event to start after; ``None`` for the first event.
    :ivar first_event_ms: time from the request to the first event; ``None`` before it.
    :ivar last_gap_ms: time between the last two events.
    :ivar longest_gap_ms: longest time between two events.

    .. versionadded:: 0.2
    """

    def __init__(self, clock: Clock, started_at: Millis, last_id: int | None) -> None:
        self._clock = clock
        self._last_at = started_at
        self.last_id = last_id
        self.first_event_ms: int | None = None
        self.last_gap_ms = 0
        self.longest_gap_ms = 0
        self._gaps: GapEstimator | None = None
        self._are_ids_consecutive = True

    @property
    def resume_point(self) -> ResumePoint | None:
        """Return where a new run has to go on; ``None`` if no event was sent yet."""
        if not self.has_begun or self.last_id is None:
            return None
        return ResumePoint(self.last_id, self._are_ids_consecutive)

    @property
    def p99_gap_ms(self) -> float | None:
        """Return the 99th percentile of the gaps; ``None`` before the first one."""
        return None if self._gaps is None else self._gaps.p99_ms

    @property
    def has_begun(self) -> bool:
        """Return whether the caller has received an event."""
        return self.first_event_ms is not None

    @property
    def paused_ms(self) -> int:
        """Return the time since the last event, before the first since the request."""
        return self._clock.now() - self._last_at

    def accept(self, events: list[StreamEvent]) -> bytes:
        """Record events; return the bytes of those that the caller does not have."""
        new_data = []
        for event in events:
            if event.id is not None:
                if self.last_id is not None and event.id <= self.last_id:
                    continue
                self._are_ids_consecutive &= event.id == (self.last_id or 0) + 1
                self.last_id = event.id
            new_data.append(event.data)
        if new_data:
            self._record_pause()
        return b"".join(new_data)

    def _record_pause(self) -> None:
        pause_ms = self.paused_ms
        self._last_at = self._clock.now()
        if self.first_event_ms is None:
            self.first_event_ms = pause_ms
            return
        self.last_gap_ms = pause_ms
        self.longest_gap_ms = max(self.longest_gap_ms, pause_ms)
        if self._gaps is None:
            self._gaps = GapEstimator.from_first_gap(pause_ms)
        else:
            self._gaps.observe(pause_ms)
