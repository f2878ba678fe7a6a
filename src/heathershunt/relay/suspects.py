"""Targets that failed lately and are avoided for a while."""

from collections.abc import Callable
from dataclasses import dataclass

from heathershunt.clock import Clock, Millis
from heathershunt.discovery import Target
from heathershunt.logs import Event
from heathershunt.logs.events import TargetEjected, TargetReadmitted
from heathershunt.pipelines import NoteBook, RunnerNote

BASE_EJECTION_MS = 2000
MAX_EJECTION_MS = 16_000
# Time without a failure after which the count starts anew.
FAILURE_RESET_MS = 20_000
# Time limits may be shorter than the work of a sound target, so one says little.
CONSECUTIVE_TIMEOUTS = 3


@dataclass(slots=True)
class _Ejection:
    born: int
    failures: int
    ejected_until: Millis
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
        peer_notes: NoteBook | None = None,
    ) -> None:
        self._clock = clock
        self._emit = emit
        self._peer_notes = peer_notes
        self._ejections_by_id: dict[str, _Ejection] = {}
        self._timeouts_by_id: dict[str, int] = {}
        self._backoff_until_by_id: dict[str, Millis] = {}

    def note_timeout(self, target: Target) -> None:
        """Count a request that got no answer in its time; blame after some."""
        count = self._timeouts_by_id.get(target.id, 0) + 1
        self._timeouts_by_id[target.id] = count
        if count >= CONSECUTIVE_TIMEOUTS:
            del self._timeouts_by_id[target.id]
            self.eject(target)

    def eject(self, target: Target) -> None:
        """Avoid a target that failed."""
        now = self._clock.now()
        ejection = self._ejections_by_id.get(target.id)
        if ejection is None or ejection.born != target.born:
            ejection = self._ejections_by_id[target.id] = _Ejection(
                target.born, 0, now, now
            )
        elif now < ejection.ejected_until:
            # Requests that were sent before fail together; they count as one failure.
            return
        elif now - ejection.failed_at > FAILURE_RESET_MS:
            ejection.failures = 0
        ejection.failures += 1
        ejection.failed_at = now
        pause_ms = min(MAX_EJECTION_MS, BASE_EJECTION_MS * 2 ** (ejection.failures - 1))
        ejection.ejected_until = Millis(now + pause_ms)
        self._emit(TargetEjected(target.id, ejection.failures, pause_ms))

    def back_off(self, target: Target, duration_ms: int) -> None:
        """Avoid a target for a short time without counting a failure."""
        self._backoff_until_by_id[target.id] = Millis(self._clock.now() + duration_ms)

    def note_success(self, target: Target) -> None:
        """Note a success of a target."""
        if target.id in self._ejections_by_id:
            self._emit(TargetReadmitted(target.id))
        self.forget(target.id)

    def is_suspect(self, target: Target) -> bool:
        """Return whether a target is to be avoided now."""
        if self.is_backed_off(target) or self.is_blamed(target):
            return True
        peer_notes = self._peer_notes
        return peer_notes is not None and peer_notes.is_failed(target.id, target.born)

    def notes(self) -> list[RunnerNote]:
        """Return the targets that this VM has found failing itself."""
        now = self._clock.now()
        return [
            RunnerNote(target_id, ejection.born, is_failed=True)
            for target_id, ejection in self._ejections_by_id.items()
            if now < ejection.ejected_until
        ]

    def is_backed_off(self, target: Target) -> bool:
        """Return whether a target is avoided without having been blamed."""
        backoff_until = self._backoff_until_by_id.get(target.id)
        return backoff_until is not None and self._clock.now() < backoff_until

    def is_blamed(self, target: Target) -> bool:
        """Return whether a target failed lately."""
        ejection = self._ejections_by_id.get(target.id)
        if ejection is None or ejection.born != target.born:
            return False
        return self._clock.now() < ejection.ejected_until

    def forget(self, target_id: str) -> None:
        """Drop what is known of a target that is gone."""
        self._ejections_by_id.pop(target_id, None)
        self._timeouts_by_id.pop(target_id, None)
        self._backoff_until_by_id.pop(target_id, None)
