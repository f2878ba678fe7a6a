"""What a caller has of a stream, and how evenly it came."""

from heathershunt.clock import Clock, GapEstimator, Millis
from heathershunt.relay.events import StreamEvent


class StreamProgress:
    """Keeps events in order over several runs and measures the pauses.

    :param started_at: when the request came.
    :param last_id: event after which the stream begins; ``None`` for its start.
    :ivar first_event_ms: time to the first event; ``None`` before it.
    :ivar gap_ms: the last pause.

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

    @property
    def p99_gap_ms(self) -> float | None:
        """Return the 99th centile of the pauses; ``None`` before the first one."""
        return None if self._gaps is None else self._gaps.p99_ms

    @property
    def has_begun(self) -> bool:
        """Return whether the caller has a part of the answer."""
        return self.first_event_ms is not None

    @property
    def paused_ms(self) -> int:
        """Return the time since the last event, or since the request came."""
        return self._clock.now() - self._last_at

    def accept(self, events: list[StreamEvent]) -> bytes:
        """Return the bytes of the events that the caller does not have yet."""
        new_data = []
        for event in events:
            if event.id is not None:
                if self.last_id is not None and event.id <= self.last_id:
                    continue
                self.last_id = event.id
            new_data.append(event.data)
        if new_data:
            self._note_pause()
        return b"".join(new_data)

    def _note_pause(self) -> None:
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
