"""Targets that crash, and are back after some seconds as another boot."""

import asyncio
import itertools
import time

from heathershunt.http import HttpServer
from standins.layer_runner import TargetStandIn

BACK_SECONDS = 3.0
HEARTBEAT_SECONDS = 1.2
# A runner whose process is gone is taken off the list after three intervals.
LAPSE_SECONDS = 3 * HEARTBEAT_SECONDS
_boots = itertools.count(1)


class CrashingTarget(TargetStandIn):
    """Target of which a test ends the process, and which comes back empty.

    :ivar crashes: times of the event loop at which it crashed.
    """

    def __init__(self, *arguments) -> None:
        super().__init__(*arguments)
        self.crashes: list[float] = []
        self._tasks: set[asyncio.Task] = set()
        self.born = int(time.time() * 1000)

    def crash_after(self, seconds: float) -> None:
        """Crash once some time has passed, unless it has crashed by then."""
        task = asyncio.create_task(self._crash_after(seconds, self.born))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _crash_after(self, seconds: float, born: int) -> None:
        await asyncio.sleep(seconds)
        if self.is_unresponsive or self.born != born:
            return
        self.crashes.append(asyncio.get_running_loop().time())
        port = self._server.port
        await self.stop()
        await asyncio.sleep(BACK_SECONDS)
        self._server = HttpServer(self._handle, cancels_handlers=True)
        await self._server.start("127.0.0.1", port)
        # Another boot: it knows and holds nothing of before.
        self.born = int(time.time() * 1000) + next(_boots)
        self.orders = 0
        if self.kind is not None:
            self.layers = None
        self.is_unresponsive = False
        self.register()

    async def end(self) -> None:
        """End for good."""
        for task in self._tasks:
            task.cancel()
        await self.stop()
