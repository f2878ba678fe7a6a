"""How slow each runner is now, according to its reports."""

from collections.abc import Callable

from heathershunt.clock import Clock, Millis
from heathershunt.logs import Event
from heathershunt.logs.events import PaceChanged
from heathershunt.pipelines.notes import USUAL_PACE, PeerNotes, RunnerNote
from heathershunt.pipelines.runners import RunnerReport

# A runner with a lower pace is not slow; reported paces vary a little.
SLOW_PACE = 1.3
# A reported pace is used for this long.
PACE_MAX_AGE_MS = 3000


class PaceTracker:
    """Paces of slow runners; 1.0 for all others.

    A pace is the time that a runner's work takes, as a multiple of the usual time.

    :param emit: called when a runner becomes slow, changes its pace by the factor
        ``SLOW_PACE`` while slow, or is no longer slow.
    :param others: paces that other VMs sent, for runners without a recent slow report
        to this VM.

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
        self._reported_by_id: dict[str, tuple[Millis, float]] = {}

    def record(self, runner_id: str, report: RunnerReport) -> None:
        """Record the pace in a report."""
        self._emit_if_changed(runner_id, report.pace)
        if report.pace >= SLOW_PACE:
            self._reported_by_id[runner_id] = (self._clock.now(), report.pace)
        else:
            self._reported_by_id.pop(runner_id, None)

    def _emit_if_changed(self, runner_id: str, pace: float) -> None:
        reported = self._reported_by_id.get(runner_id)
        before = USUAL_PACE if reported is None else reported[1]
        is_slow = pace >= SLOW_PACE
        if not is_slow and reported is None:
            return
        if is_slow and before / SLOW_PACE < pace < before * SLOW_PACE:
            return
        self._emit(PaceChanged(runner_id, round(pace, 2)))

    def pace(self, runner_id: str) -> float:
        """Return the time of a runner's work as a multiple of the usual time."""
        reported = self._reported_by_id.get(runner_id)
        if reported is not None and self._clock.now() - reported[0] <= PACE_MAX_AGE_MS:
            return reported[1]
        return USUAL_PACE if self._others is None else self._others.pace(runner_id)

    def notes(self) -> list[RunnerNote]:
        """Return notes on the runners that reported to this VM that they are slow."""
        return [
            RunnerNote(runner_id, pace=self._reported_by_id[runner_id][1])
            for runner_id in self.slow()
        ]

    def slow(self) -> list[str]:
        """Return the ids of the runners whose recent report to this VM was slow."""
        limit = self._clock.now() - PACE_MAX_AGE_MS
        for runner_id, (reported_at, _) in list(self._reported_by_id.items()):
            if reported_at < limit:
                del self._reported_by_id[runner_id]
        return list(self._reported_by_id)
