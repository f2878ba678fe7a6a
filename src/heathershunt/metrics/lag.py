"""Lag of the event loop."""

import asyncio
from collections.abc import Callable

PERIOD_SECONDS = 0.25


class LoopLag:
    """Measures how late a periodic timer fires.

    :param observe: called with the lateness of each timer in milliseconds.

    .. versionadded:: 0.1
    """

    def __init__(self, observe: Callable[[float], None]) -> None:
        self._observe = observe

    async def run(self) -> None:
        """Measure until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + PERIOD_SECONDS
            await asyncio.sleep(PERIOD_SECONDS)
            self._observe(max(0.0, loop.time() - due) * 1000)
