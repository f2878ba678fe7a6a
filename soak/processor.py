"""How long processes were ready to run and waited for a processor, by the kernel."""

import os
from pathlib import Path

NANOSECONDS = 1e9
# Time between two samples of all processes.
SAMPLE_SECONDS = 0.05


def waited_seconds(pid: int) -> float | None:
    """Return the time that a process has waited since its start.

    :return: the second field of ``/proc/PID/schedstat``; ``None`` if there is none.
    """
    try:
        fields = Path(f"/proc/{pid}/schedstat").read_text().split()
        return int(fields[1]) / NANOSECONDS
    except (OSError, IndexError):
        return None


class ProcessorWaits:
    """Samples of how long each gateway, and the soak itself, has waited."""

    def __init__(self) -> None:
        self._last_by_pid: dict[int, float] = {}
        self._samples_by_name: dict[str, list[tuple[float, float]]] = {}

    def sample(self, name: str, pid: int | None, now: float) -> None:
        """Record how long a process has waited since its last sample."""
        waited = None if pid is None else waited_seconds(pid)
        if waited is None:
            return
        more = waited - self._last_by_pid.get(pid, 0.0)
        self._last_by_pid[pid] = waited
        if more > 0:
            self._samples_by_name.setdefault(name, []).append((now, more))

    def sample_self(self, now: float) -> None:
        """Record how long the soak has waited since its last sample."""
        self.sample("", os.getpid(), now)

    def total(self, name: str) -> float:
        """Return the seconds that a process waited in all."""
        return sum(more for _, more in self._samples_by_name.get(name, ()))

    def between(self, name: str, start: float, end: float) -> float:
        """Return the seconds that a process waited in a time.

        The kernel adds a wait as it ends, so the sample after the time counts too.
        """
        end += SAMPLE_SECONDS
        samples = self._samples_by_name.get(name, ())
        return sum(more for now, more in samples if start <= now <= end)
