"""Load reports of an engine stand-in, published with a delay."""

import asyncio
import time
from collections import deque
from collections.abc import Callable

PERIOD_SECONDS = 0.05
REPORTS_KEPT = 512


class LoadReports:
    """Keeps a history of load reports, so that an outdated one can be published.

    :param report: returns the current load.
    """

    def __init__(self, report: Callable[[], dict]) -> None:
        self._report = report
        self._reports: deque[tuple[float, dict]] = deque(maxlen=REPORTS_KEPT)

    async def run(self) -> None:
        """Record a report every ``PERIOD_SECONDS`` until cancelled."""
        while True:
            self._reports.append((time.monotonic(), self._report()))
            await asyncio.sleep(PERIOD_SECONDS)

    def published(self, lag_ms: float) -> dict | None:
        """Return the newest report that is at least ``lag_ms`` old, or ``None``."""
        latest = time.monotonic() - lag_ms / 1000
        for taken_at, report in reversed(self._reports):
            if taken_at <= latest:
                return report
        return None
