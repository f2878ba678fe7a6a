"""How slow each runner is at present, as its reports tell."""

from collections.abc import Callable

from heathershunt.clock import Clock, Millis
from heathershunt.logs import Event
from heathershunt.logs.events import PaceChanged
from heathershunt.pipelines.notes import USUAL_PACE, NoteBook, RunnerNote
from heathershunt.pipelines.runners import RunnerReport

# Below this a runner counts as usual; its reports vary a little.
SLOW_PACE = 1.3
# What a report told is used for this long.
FRESH_MS = 3000


class PaceBook:
    """Paces of slow runners; 1.0 for all others.

    :param emit: called when a runner becomes slow, much slower, or usual again.
    :param others: paces that other VMs told, for runners that this one did not ask.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        clock: Clock,
        emit: Callable[[Event], None],
        others: NoteBook | None = None,
    ) -> None:
        self._clock = clock
        self._emit = emit
        self._others = others
        self._told_by_id: dict[str, tuple[Millis, float]] = {}

    def note(self, runner_id: str, report: RunnerReport) -> None:
        """Take what a report says."""
        self._note_change(runner_id, report.pace)
        if report.pace >= SLOW_PACE:
            self._told_by_id[runner_id] = (self._clock.now(), report.pace)
        else:
            self._told_by_id.pop(runner_id, None)

    def _note_change(self, runner_id: str, pace: float) -> None:
        told = self._told_by_id.get(runner_id)
        before = USUAL_PACE if told is None else told[1]
        is_slow = pace >= SLOW_PACE
        if not is_slow and told is None:
            return
        if is_slow and before / SLOW_PACE < pace < before * SLOW_PACE:
            return
        self._emit(PaceChanged(runner_id, round(pace, 2)))

    def pace(self, runner_id: str) -> float:
        """Return the time of a runner's work relative to what is usual."""
        told = self._told_by_id.get(runner_id)
        if told is not None and self._clock.now() - told[0] <= FRESH_MS:
            return told[1]
        return USUAL_PACE if self._others is None else self._others.pace(runner_id)

    def notes(self) -> list[RunnerNote]:
        """Return the slow runners that this VM has asked itself."""
        return [
            RunnerNote(runner_id, pace=self._told_by_id[runner_id][1])
            for runner_id in self.slow()
        ]

    def slow(self) -> list[str]:
        """Return the ids of the runners that were slow lately."""
        limit = self._clock.now() - FRESH_MS
        for runner_id, (told_at, _) in list(self._told_by_id.items()):
            if told_at < limit:
                del self._told_by_id[runner_id]
        return list(self._told_by_id)
