"""The VM's own runs at each runner, and how they correct a late load report."""

from bisect import bisect_left, bisect_right, insort
from collections import deque

from heathershunt.clock import Millis

# Ends older than this are in every report that is still used.
ENDED_KEPT_MS = 30_000


class OwnWork:
    """Own runs at one runner.

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
        while self._ended[0][0] < now - ENDED_KEPT_MS:
            self._ended.popleft()

    def change_since(self, reported_at: Millis) -> int:
        """Return how many runs to add to a report made at ``reported_at``.

        Runs started by then are in the report. They are taken off again once they
        have ended.
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
    """Own runs at all runners.

    .. versionadded:: 0.1
    """

    def __init__(self) -> None:
        self._work_by_runner: dict[str, OwnWork] = {}
        self._runs_by_id: dict[str, tuple[Millis, tuple[str, ...]]] = {}

    def work(self, runner: str) -> OwnWork:
        """Return the own work of ``runner``, the same object at every call."""
        return self._work_by_runner.setdefault(runner, OwnWork())

    def start(self, run: str, runners: tuple[str, ...], now: Millis) -> None:
        """Record that ``run`` occupies ``runners``; replaces an earlier chain."""
        self.end(run, now)
        self._runs_by_id[run] = (now, runners)
        for runner in runners:
            self.work(runner).start(now)

    def end(self, run: str, now: Millis) -> None:
        """Record that ``run`` ended; an unknown run is ignored."""
        started, runners = self._runs_by_id.pop(run, (now, ()))
        for runner in runners:
            self._work_by_runner[runner].end(started, now)

    def forget(self, runner: str) -> None:
        """Drop a runner that is gone, once no own run is left there."""
        work = self._work_by_runner.get(runner)
        if work is not None and not len(work):
            del self._work_by_runner[runner]
