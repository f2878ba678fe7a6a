"""Runners that rejected a request as they were full, as this VM or others saw it."""

from collections.abc import Collection, Iterable

from heathershunt.clock import Clock, Millis
from heathershunt.pipelines.notes import RunnerNote

# A rejection says nothing about the load of its runner any more after this time.
REJECTION_MAX_AGE_MS = 1500


class Rejections:
    """Last rejection of each runner, until newer reports of the load have arrived.

    .. versionadded:: 0.10
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._own_at_by_id: dict[str, Millis] = {}
        self._others_at_by_id: dict[str, Millis] = {}

    def __len__(self) -> int:
        """Return the number of runners with a rejection that still counts."""
        return len(self.ages())

    def record(self, runner_id: str) -> None:
        """Record that a runner rejected a request of this VM as it was full."""
        self._own_at_by_id[runner_id] = self._clock.now()

    def notes(self) -> list[RunnerNote]:
        """Return notes for the other VMs on the rejections that this VM saw."""
        now = self._clock.now()
        self._discard_before(Millis(now - REJECTION_MAX_AGE_MS))
        return [
            RunnerNote(runner_id, rejected_ms=now - rejected_at)
            for runner_id, rejected_at in self._own_at_by_id.items()
        ]

    def set_others(self, notes: Iterable[RunnerNote], reported_since: Millis) -> None:
        """Replace the rejections that other VMs saw, and discard those before a report.

        :param reported_since: time after which all loads of the report were sent.
        """
        now = self._clock.now()
        self._others_at_by_id = {
            note.runner: Millis(now - note.rejected_ms)
            for note in notes
            if note.rejected_ms is not None
        }
        self._discard_before(reported_since)

    def full(self) -> Collection[str]:
        """Return ids of the runners that rejected a request of this VM."""
        self._discard_before(Millis(self._clock.now() - REJECTION_MAX_AGE_MS))
        return self._own_at_by_id.keys()

    def ages(self) -> dict[str, int]:
        """Return the time since the last rejection in milliseconds, by runner id."""
        if not self._own_at_by_id and not self._others_at_by_id:
            return {}
        now = self._clock.now()
        self._discard_before(Millis(now - REJECTION_MAX_AGE_MS))
        ages = {name: now - at for name, at in self._others_at_by_id.items()}
        for name, at in self._own_at_by_id.items():
            ages[name] = min(now - at, ages.get(name, REJECTION_MAX_AGE_MS))
        return ages

    def _discard_before(self, limit: Millis) -> None:
        for by_id in (self._own_at_by_id, self._others_at_by_id):
            for runner_id in [name for name, at in by_id.items() if at < limit]:
                del by_id[runner_id]
