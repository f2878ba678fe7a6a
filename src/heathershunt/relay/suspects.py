"""Targets that failed lately and are avoided for a while."""

from collections.abc import Callable
from dataclasses import dataclass

from heathershunt.clock import Clock, Millis
from heathershunt.discovery import Target
from heathershunt.logs import Event
from heathershunt.logs.events import TargetEjected, TargetReadmitted
from heathershunt.pipelines import PeerNotes, RunnerNote

BASE_MS = 2000
MOST_MS = 16_000
# Time without a failure after which the count starts anew.
FORGIVEN_MS = 20_000
# Time limits may be shorter than the work of a sound target, so one says little.
TIMEOUTS_IN_A_ROW = 3


@dataclass(slots=True)
class _Record:
    born: int
    failures: int
    until: Millis
    failed_at: Millis


class SuspectList:
    """Targets by id, each with the time until which it is avoided.

    The time doubles with each failure in a row. A restart clears a target, and so does
    a success.

    :param emit: called when a target is ejected or readmitted.
    :param others: runners that other VMs found failing; they are avoided too.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        clock: Clock,
        emit: Callable[[Event], None],
        others: PeerNotes | None = None,
    ) -> None:
        self._clock = clock
        self._emit = emit
        self._others = others
        self._by_id: dict[str, _Record] = {}
        self._timeouts_by_id: dict[str, int] = {}
        self._paused_until: dict[str, Millis] = {}

    def note_timeout(self, target: Target) -> None:
        """Count a request that got no answer in its time; blame after some."""
        count = self._timeouts_by_id.get(target.id, 0) + 1
        self._timeouts_by_id[target.id] = count
        if count >= TIMEOUTS_IN_A_ROW:
            del self._timeouts_by_id[target.id]
            self.blame(target)

    def blame(self, target: Target) -> None:
        """Avoid a target that failed."""
        now = self._clock.now()
        record = self._by_id.get(target.id)
        if record is None or record.born != target.born:
            record = self._by_id[target.id] = _Record(target.born, 0, now, now)
        elif now < record.until:
            # Requests that were sent before fail together; they count as one failure.
            return
        elif now - record.failed_at > FORGIVEN_MS:
            record.failures = 0
        record.failures += 1
        record.failed_at = now
        pause_ms = min(MOST_MS, BASE_MS * 2 ** (record.failures - 1))
        record.until = Millis(now + pause_ms)
        self._emit(TargetEjected(target.id, record.failures, pause_ms))

    def pause(self, target: Target, duration_ms: int) -> None:
        """Avoid a target for a short time without counting a failure."""
        self._paused_until[target.id] = Millis(self._clock.now() + duration_ms)

    def clear(self, target: Target) -> None:
        """Note a success of a target."""
        if target.id in self._by_id:
            self._emit(TargetReadmitted(target.id))
        self.forget(target.id)

    def is_suspect(self, target: Target) -> bool:
        """Return whether a target is to be avoided now."""
        if self.is_paused(target) or self.is_blamed(target):
            return True
        others = self._others
        return others is not None and others.is_failed(target.id, target.born)

    def notes(self) -> list[RunnerNote]:
        """Return the targets that this VM has found failing itself."""
        now = self._clock.now()
        return [
            RunnerNote(target_id, record.born, is_failed=True)
            for target_id, record in self._by_id.items()
            if now < record.until
        ]

    def is_paused(self, target: Target) -> bool:
        """Return whether a target is avoided without having been blamed."""
        paused_until = self._paused_until.get(target.id)
        return paused_until is not None and self._clock.now() < paused_until

    def is_blamed(self, target: Target) -> bool:
        """Return whether a target failed lately."""
        record = self._by_id.get(target.id)
        if record is None or record.born != target.born:
            return False
        return self._clock.now() < record.until

    def forget(self, target_id: str) -> None:
        """Drop what is known of a target that is gone."""
        self._by_id.pop(target_id, None)
        self._timeouts_by_id.pop(target_id, None)
        self._paused_until.pop(target_id, None)
