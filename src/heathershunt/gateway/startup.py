"""Wait of the first requests of a process for its configuration."""

import asyncio
from collections.abc import Callable

from heathershunt.clock import Clock, Millis

# Time after the start in which a process learns the configuration, if the store
# answers.
STARTUP_MS = 1000
POLL_MS = 20


class StartupWait:
    """Lets requests wait while the configuration is about to arrive.

    After a restart of all VMs, callers come back at once and find no other VM. A
    refusal uses up a retry of theirs, and the configuration arrives sooner than they
    do. Without it after that time, as in an outage of the store, requests are refused
    at once.

    :param is_configured: returns whether the configuration is known.

    .. versionadded:: 0.10
    """

    def __init__(self, clock: Clock, is_configured: Callable[[], bool]) -> None:
        self._clock = clock
        self._is_configured = is_configured
        self._ends_at = Millis(clock.now() + STARTUP_MS)

    async def wait(self, deadline: Millis | None) -> None:
        """Return when the configuration is known, or no longer about to arrive.

        :param deadline: time by which the caller stops waiting, if it named one.
        """
        ends_at = self._ends_at if deadline is None else min(self._ends_at, deadline)
        while not self._is_configured() and self._clock.now() < ends_at:
            await asyncio.sleep(POLL_MS / 1000)
