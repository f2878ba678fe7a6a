"""Targets that failed recently and are avoided for a while."""

from collections.abc import Callable
from dataclasses import dataclass

from heathershunt.clock import Clock, Millis
from heathershunt.discovery import Target
from heathershunt.logs import Event
from heathershunt.logs.events import TargetEjected, TargetReadmitted
from heathershunt.pipelines import PeerNotes, RunnerNote
from heathershunt.relay.links import SOUND_LINKS, LinkState

BASE_EJECTION_MS = 2000
MAX_EJECTION_MS = 16_000
# Time without a failure after which the failure count restarts.
FAILURE_RESET_MS = 20_000
# Timeouts in a row that eject a target. A single one does not: the time limit of a
# route may be shorter than the time that a healthy target needs.
CONSECUTIVE_TIMEOUTS = 3


@dataclass(slots=True)
class _Ejection:
    incarnation: int
    failures: int
    ejected_until: Millis
    failed_at: Millis


class SuspectList:
    """Records which targets are avoided, and until when.

    The ejection time doubles with each failure in a row. A restart or a success of a
    target ends its ejection.

    :param emit: called when a target is ejected or readmitted.
    :param peer_notes: runners that other VMs report as failed; avoided too.
    :ivar links: links of this VM; failures say nothing about targets while it is cut
        off from them.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        clock: Clock,
        emit: Callable[[Event], None],
        peer_notes: PeerNotes | None = None,
    ) -> None:
        self._clock = clock
        self._emit = emit
        self._peer_notes = peer_notes
        self.links: LinkState = SOUND_LINKS
        self._ejections_by_id: dict[str, _Ejection] = {}
        self._timeouts_by_id: dict[str, int] = {}
        self._backoff_until_by_id: dict[str, Millis] = {}

    def record_timeout(self, target: Target) -> None:
        """Count a timeout of a target; eject it after several in a row."""
        count = self._timeouts_by_id.get(target.id, 0) + 1
        self._timeouts_by_id[target.id] = count
        if count >= CONSECUTIVE_TIMEOUTS:
            del self._timeouts_by_id[target.id]
            self.eject(target)

    def eject(self, target: Target) -> None:
        """Count a failure of a target and avoid it for a while."""
        if self.links.is_cut_off:
            return
        now = self._clock.now()
        ejection = self._ejections_by_id.get(target.id)
        if ejection is None or ejection.incarnation != target.incarnation:
            ejection = self._ejections_by_id[target.id] = _Ejection(
                target.incarnation, 0, now, now
            )
        elif now < ejection.ejected_until:
            # Requests sent before the ejection fail together and count as one failure.
            return
        elif now - ejection.failed_at > FAILURE_RESET_MS:
            ejection.failures = 0
        ejection.failures += 1
        ejection.failed_at = now
        pause_ms = min(MAX_EJECTION_MS, BASE_EJECTION_MS * 2 ** (ejection.failures - 1))
        ejection.ejected_until = Millis(now + pause_ms)
        self._emit(TargetEjected(target.id, ejection.failures, pause_ms))

    def back_off(self, target: Target, duration_ms: int) -> None:
        """Avoid a target for ``duration_ms`` without counting a failure."""
        self._backoff_until_by_id[target.id] = Millis(self._clock.now() + duration_ms)

    def record_success(self, target: Target) -> None:
        """Readmit a target that answered a request, and reset its failure counts."""
        if target.id in self._ejections_by_id:
            self._emit(TargetReadmitted(target.id))
        self.discard(target.id)

    def is_suspect(self, target: Target) -> bool:
        """Return whether a target is avoided now, for whatever reason."""
        if self.is_backed_off(target) or self.is_ejected(target):
            return True
        peer_notes = self._peer_notes
        return peer_notes is not None and peer_notes.is_failed(
            target.id, target.incarnation
        )

    def notes(self) -> list[RunnerNote]:
        """Return notes on the targets that this VM has ejected itself.

        There are none while its links may have failed: the notes of two VMs that are
        cut off would make all VMs avoid the targets.
        """
        if not self.links.is_sound:
            return []
        now = self._clock.now()
        return [
            RunnerNote(target_id, ejection.incarnation, is_failed=True)
            for target_id, ejection in self._ejections_by_id.items()
            if now < ejection.ejected_until
        ]

    def is_backed_off(self, target: Target) -> bool:
        """Return whether the back-off of a target still lasts."""
        backoff_until = self._backoff_until_by_id.get(target.id)
        return backoff_until is not None and self._clock.now() < backoff_until

    def is_ejected(self, target: Target) -> bool:
        """Return whether this VM ejected a target and the ejection still lasts."""
        ejection = self._ejections_by_id.get(target.id)
        if ejection is None or ejection.incarnation != target.incarnation:
            return False
        return self._clock.now() < ejection.ejected_until

    def discard_since(self, since: Millis) -> None:
        """End the ejections that began at or after a time, and drop all time-outs.

        :param since: time since which this VM is cut off from the targets.
        """
        self._timeouts_by_id.clear()
        for target_id, ejection in list(self._ejections_by_id.items()):
            if ejection.failed_at >= since:
                del self._ejections_by_id[target_id]

    def discard(self, target_id: str) -> None:
        """Delete the records of a target."""
        self._ejections_by_id.pop(target_id, None)
        self._timeouts_by_id.pop(target_id, None)
        self._backoff_until_by_id.pop(target_id, None)
