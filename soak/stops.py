"""Planned stops in series: signals that overlap, follow each other and come twice."""

import asyncio
import random

from soak.site import RESTART_DELAY_SECONDS, SoakSite

MIN_PAUSE_SECONDS = 0.2
MAX_PAUSE_SECONDS = 1.5
MAX_SECOND_SIGNAL_SECONDS = 1.0
# Share of the stops that hit all gateways at once, and of those with a second signal.
ALL_SHARE = 0.15
SECOND_SIGNAL_SHARE = 0.3


class StopPlan:
    """Stops gateways with SIGTERM and starts them again, for a given time.

    :ivar log: the stops with their loop time.
    """

    def __init__(self, site: SoakSite, rng: random.Random) -> None:
        self._site = site
        self._rng = rng
        self._stopping: set[str] = set()
        self._tasks: set[asyncio.Task] = set()
        self.log: list[str] = []

    async def run(self, seconds: float) -> None:
        """Begin stops for ``seconds`` and wait until all gateways run again."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            for name in self._choose():
                self._stopping.add(name)
                self._tasks.add(asyncio.create_task(self._stop(name)))
            pause = self._rng.uniform(MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS)
            await asyncio.sleep(pause)
        await asyncio.gather(*self._tasks)

    def _choose(self) -> list[str]:
        free = [name for name in self._site.gateways if name not in self._stopping]
        if not free or self._rng.random() < ALL_SHARE:
            return free
        return [self._rng.choice(free)]

    async def _stop(self, name: str) -> None:
        gateway = self._site.gateways[name]
        self.log.append(f"{asyncio.get_running_loop().time():.3f} SIGTERM to {name}")
        with self._site.spans.during("terminate", name):
            stopping = asyncio.create_task(gateway.terminate())
            if self._rng.random() < SECOND_SIGNAL_SHARE:
                await asyncio.sleep(self._rng.uniform(0, MAX_SECOND_SIGNAL_SECONDS))
                gateway.signal_again()
            if await stopping:
                self._site.spans.mark("kill", name)
        await asyncio.sleep(RESTART_DELAY_SECONDS)
        await gateway.start()
        # A signal before the process has its handlers ends it without a word.
        while not gateway.has_started and gateway.is_running:
            await asyncio.sleep(0.05)
        self._stopping.discard(name)
