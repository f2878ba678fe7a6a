"""Streams that wait for capacity, at this VM and at the others."""

from collections import Counter
from collections.abc import Mapping

from heathershunt.clock import Clock, Millis

# Service and priority.
WaitingKey = tuple[str, int]

# Reports are used for this many periods of the exchange; after that the other VMs count
# as if nothing waited there, so that a lost VM holds up no other one.
REPORT_PERIODS = 2


class WaitingLedger:
    """Counts the streams that wait at this VM, and keeps the counts of the other VMs.

    .. versionadded:: 0.10
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._own: Counter[WaitingKey] = Counter()
        self._stuck_by_service: dict[str, Mapping[int, int]] = {}
        self._others: Mapping[WaitingKey, int] = {}
        self._others_until = Millis(0)

    def add(self, service: str, rank: int) -> None:
        """Count a stream that begins to wait."""
        self._own[service, rank] += 1

    def remove(self, service: str, rank: int) -> None:
        """Undo :meth:`add` with the same arguments."""
        self._own[service, rank] -= 1

    def set_stuck(self, service: str, by_rank: Mapping[int, int]) -> None:
        """Replace the streams of a service that wait for a reason of their own.

        Other VMs are not told of them, as they cannot use the room that is there.
        """
        self._stuck_by_service[service] = by_rank

    def own(self) -> dict[WaitingKey, int]:
        """Return the streams at this VM that wait for room."""
        left_by_key = {
            (service, rank): count
            - self._stuck_by_service.get(service, {}).get(rank, 0)
            for (service, rank), count in self._own.items()
        }
        return {key: count for key, count in left_by_key.items() if count > 0}

    def by_rank(self) -> dict[int, int]:
        """Return the streams at this VM by priority, also 0 if some waited before."""
        total: Counter[int] = Counter()
        for (_, rank), count in self._own.items():
            total[rank] += count
        return dict(total)

    def set_others(self, others: Mapping[WaitingKey, int], period_ms: int) -> None:
        """Replace the counts of all other VMs.

        :param period_ms: period of the exchange that delivered them.
        """
        self._others = others
        self._others_until = Millis(self._clock.now() + REPORT_PERIODS * period_ms)

    def elsewhere(self, service: str) -> dict[int, int]:
        """Return the streams of a service that wait at the other VMs, by priority."""
        if not self._others or self._clock.now() > self._others_until:
            return {}
        return {
            rank: count
            for (name, rank), count in self._others.items()
            if name == service
        }
