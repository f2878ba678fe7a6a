"""Runs that this VM placed on each runner; they correct outdated load reports."""

from bisect import bisect_left, bisect_right, insort
from collections import deque

from heathershunt.clock import Millis

# Every report that is still in use is newer than runs that ended this long ago.
ENDED_RETENTION_MS = 30_000


class OwnRuns:
    """Runs that this VM placed on one runner.

    .. versionadded:: 0.1
    """

    __slots__ = ("_ended", "_starts")

    def __init__(self) -> None:
        self._starts: list[Millis] = []
        self._ended: deque[tuple[Millis, Millis]] = deque()

    def __len__(self) -> int:
        return len(self._starts)

    def start(self, now: Millis) -> None:
        """Add a run that starts at ``now``."""
        insort(self._starts, now)

    def end(self, started: Millis, now: Millis) -> None:
        """Remove the run that started at ``started``."""
        del self._starts[bisect_left(self._starts, started)]
        self._ended.append((now, started))
        while self._ended[0][0] < now - ENDED_RETENTION_MS:
            self._ended.popleft()

    def correction_since(self, reported_at: Millis) -> int:
        """Return how many runs to add to a report made at ``reported_at``.

        The report includes the runs that had started by then; those that have ended
        since are subtracted. The result may be negative.
        """
        starts = self._starts
        change = 0
        if starts and starts[-1] > reported_at:
            change = len(starts) - bisect_right(starts, reported_at)
        for ended, started in reversed(self._ended):
            if ended <= reported_at:
                break
            if started <= reported_at:
                change -= 1
        return change


class InFlight:
    """Runs that this VM placed, on all runners.

    .. versionadded:: 0.1
    """

    def __init__(self) -> None:
        self._own_runs_by_runner: dict[str, OwnRuns] = {}
        self._runs_by_id: dict[str, tuple[Millis, tuple[str, ...]]] = {}

    def runs_at(self, runner: str) -> OwnRuns:
        """Return this VM's runs on ``runner``, the same object at every call."""
        return self._own_runs_by_runner.setdefault(runner, OwnRuns())

    def start(self, run: str, runners: tuple[str, ...], now: Millis) -> None:
        """Record that ``run`` occupies ``runners``, in place of its earlier chain."""
        self.end(run, now)
        self._runs_by_id[run] = (now, runners)
        for runner in runners:
            self.runs_at(runner).start(now)

    def end(self, run: str, now: Millis) -> None:
        """Record that ``run`` ended; does nothing if the run is unknown."""
        started, runners = self._runs_by_id.pop(run, (now, ()))
        for runner in runners:
            self._own_runs_by_runner[runner].end(started, now)

    def discard_runner(self, runner: str) -> None:
        """Drop the record of a runner, unless runs of this VM are still on it."""
        own_runs = self._own_runs_by_runner.get(runner)
        if own_runs is not None and not len(own_runs):
            del self._own_runs_by_runner[runner]
