"""What VMs tell each other of runners that are slow or have failed.

In a large fleet a VM uses few of the runners at a time, so it would learn of each one
from streams of its own that are late already.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence

import msgspec

from heathershunt.clock import Clock, Millis
from heathershunt.logs import Event
from heathershunt.logs.events import NoteTaken

USUAL_PACE = 1.0
# What others told is used for this long.
NOTES_FRESH_MS = 2500
# VMs that must have found a runner failing: one may have lost its own links.
FAILURE_QUORUM = 2


class RunnerNote(msgspec.Struct, array_like=True, frozen=True):
    """What one VM, or several, found out about a runner.

    :param born: wall time of the start that it concerns, in milliseconds.
    :param pace: time of its work relative to what is usual.
    :param is_failed: whether it failed and is avoided.

    .. versionadded:: 0.4
    """

    runner: str
    born: int = 0
    pace: float = USUAL_PACE
    is_failed: bool = False


class NoteBook:
    """Notes of this VM for the others, and theirs for this one.

    :param own: called for what this VM has found out itself; what it was told is not
        told again, so that it is forgotten when its source has forgotten it.
    :param emit: called for each note of the others that is new.

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
        self._told_at: Millis | None = None
        self._pace_by_id: dict[str, float] = {}
        self._failed: frozenset[tuple[str, int]] = frozenset()

    def set_others(self, notes: Iterable[RunnerNote]) -> None:
        """Take what the others found out; it replaces what they told before."""
        notes = list(notes)
        for note in notes:
            self._tell_if_new(note)
        self._told_at = self._clock.now()
        self._pace_by_id = {n.runner: n.pace for n in notes if not n.is_failed}
        self._failed = frozenset((n.runner, n.born) for n in notes if n.is_failed)

    def _tell_if_new(self, note: RunnerNote) -> None:
        is_known = note.runner in self._pace_by_id
        if note.is_failed:
            is_known = (note.runner, note.born) in self._failed
        if not is_known:
            pace = round(note.pace, 2)
            self._emit(NoteTaken(note.runner, pace, note.is_failed))

    def pace(self, runner_id: str) -> float:
        """Return the pace that others told of a runner, the usual one without any."""
        if not self._is_fresh():
            return USUAL_PACE
        return self._pace_by_id.get(runner_id, USUAL_PACE)

    def is_failed(self, runner_id: str, born: int) -> bool:
        """Return whether several others found a start of a runner failing."""
        return self._is_fresh() and (runner_id, born) in self._failed

    def _is_fresh(self) -> bool:
        if self._told_at is None:
            return False
        return self._clock.now() - self._told_at <= NOTES_FRESH_MS


def merge_notes(notes_by_vm: Iterable[Sequence[RunnerNote]]) -> list[RunnerNote]:
    """Return what several VMs found out: the slowest paces, and agreed failures."""
    pace_by_id: dict[str, float] = {}
    failures: Counter[tuple[str, int]] = Counter()
    for notes in notes_by_vm:
        for note in notes:
            if note.is_failed:
                failures[note.runner, note.born] += 1
            else:
                known = pace_by_id.get(note.runner, USUAL_PACE)
                pace_by_id[note.runner] = max(known, note.pace)
    merged = [RunnerNote(runner, pace=pace) for runner, pace in pace_by_id.items()]
    merged += [
        RunnerNote(runner, born, is_failed=True)
        for (runner, born), count in failures.items()
        if count >= FAILURE_QUORUM
    ]
    return merged
