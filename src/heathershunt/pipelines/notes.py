"""Notes that VMs exchange on runners that are slow, full or have failed.

In a large fleet a VM uses few of the runners at a time. Without notes from other VMs,
it would detect each slow runner only when streams of its own are late already.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence

import msgspec

from heathershunt.clock import Clock, Millis
from heathershunt.logs import Event
from heathershunt.logs.events import NoteReceived
from heathershunt.schema.fields import Factor, Text, Whole

USUAL_PACE = 1.0
# Notes from other VMs are used for this long.
NOTES_MAX_AGE_MS = 2500
# VMs that must report a runner as failed: a single VM may have lost its own links.
FAILURE_QUORUM = 2


class RunnerNote(msgspec.Struct, array_like=True, frozen=True):
    """State of a slow, failed or full runner, as one VM or several VMs detected it.

    :param runner: id of the runner.
    :param incarnation: wall time in milliseconds when the process that failed started;
        0 in a note on the pace.
    :param pace: time of its work as a multiple of the usual time.
    :param is_failed: whether the runner failed and is avoided; the pace does not count
        then.
    :param rejected_ms: time since the runner rejected a request as it was full, if it
        did so a short time ago. Earlier versions read only the pace of such a note.

    .. versionadded:: 0.4
    """

    runner: Text
    incarnation: Whole = 0
    pace: Factor = USUAL_PACE
    is_failed: bool = False
    rejected_ms: Whole | None = None


class PeerNotes:
    """Runner notes that this VM sends to the other VMs, and those that they sent.

    :param own: called for the notes of this VM. Received notes are not among them, so
        that a note expires everywhere when its source drops it.
    :param emit: called for each received note that is new.

    .. versionadded:: 0.4
    """

    def __init__(
        self,
        clock: Clock,
        own: Callable[[], list[RunnerNote]],
        emit: Callable[[Event], None],
    ) -> None:
        self._clock = clock
        self._emit = emit
        self.own = own
        self._received_at: Millis | None = None
        self._pace_by_id: dict[str, float] = {}
        self._failed: frozenset[tuple[str, int]] = frozenset()

    def set_others(self, notes: Iterable[RunnerNote]) -> None:
        """Replace the notes of the other VMs."""
        notes = list(notes)
        for note in notes:
            self._emit_if_new(note)
        self._received_at = self._clock.now()
        self._pace_by_id = {n.runner: n.pace for n in notes if _is_on_pace(n)}
        self._failed = frozenset(
            (n.runner, n.incarnation) for n in notes if n.is_failed
        )

    def _emit_if_new(self, note: RunnerNote) -> None:
        if not note.is_failed and not _is_on_pace(note):
            return
        is_known = note.runner in self._pace_by_id
        if note.is_failed:
            is_known = (note.runner, note.incarnation) in self._failed
        if not is_known:
            pace = round(note.pace, 2)
            self._emit(NoteReceived(note.runner, pace, note.is_failed))

    def pace(self, runner_id: str) -> float:
        """Return a runner's pace in the recent notes, or the usual pace without one."""
        if not self._is_fresh():
            return USUAL_PACE
        return self._pace_by_id.get(runner_id, USUAL_PACE)

    def is_failed(self, runner_id: str, incarnation: int) -> bool:
        """Return whether several other VMs noted that this incarnation failed."""
        return self._is_fresh() and (runner_id, incarnation) in self._failed

    def _is_fresh(self) -> bool:
        if self._received_at is None:
            return False
        return self._clock.now() - self._received_at <= NOTES_MAX_AGE_MS


def merge_notes(notes_by_vm: Iterable[Sequence[RunnerNote]]) -> list[RunnerNote]:
    """Merge notes: slowest pace, last rejection, and failures with a quorum."""
    merged_by_id: dict[str, RunnerNote] = {}
    failures: Counter[tuple[str, int]] = Counter()
    for notes in notes_by_vm:
        for note in notes:
            if note.is_failed:
                failures[note.runner, note.incarnation] += 1
            else:
                known = merged_by_id.get(note.runner)
                merged_by_id[note.runner] = _merged(known, note)
    merged = list(merged_by_id.values())
    merged += [
        RunnerNote(runner, incarnation, is_failed=True)
        for (runner, incarnation), count in failures.items()
        if count >= FAILURE_QUORUM
    ]
    return merged


def _is_on_pace(note: RunnerNote) -> bool:
    """Return whether a note states a pace, and not only a rejection."""
    if note.is_failed:
        return False
    return note.rejected_ms is None or note.pace > USUAL_PACE


def _merged(known: RunnerNote | None, note: RunnerNote) -> RunnerNote:
    """Return one note on the pace and the last rejection of a runner."""
    if known is None:
        pace = max(USUAL_PACE, note.pace)
        return RunnerNote(note.runner, pace=pace, rejected_ms=note.rejected_ms)
    ages = [n.rejected_ms for n in (known, note) if n.rejected_ms is not None]
    return RunnerNote(
        note.runner,
        pace=max(known.pace, note.pace),
        rejected_ms=min(ages, default=None),
    )
