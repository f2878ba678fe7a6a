"""Gateways that lose their links to all targets, and what their callers get."""

import asyncio
import random

from heathershunt.http import Address
from soak.callers import Callers
from soak.linked_gateway import HOWS
from soak.site import DOMAINS, SoakSite

# Time from the start of a cut after which callers must be served.
CONTACT_SECONDS = 3.0
MEASURE_SECONDS = 1.5
PAUSE_SECONDS = 1.5
# First attempts that are sent at the same time, by a caller of each gateway.
CALLERS_PER_GATEWAY = 2
# First attempts at gateways that are cut off must be served so often, compared to the
# others, unless few of all first attempts fail.
MIN_SERVED_SHARE = 2 / 3
ALLOWED_FAILURES = 10
ALLOWED_FAILURE_SHARE = 0.02
MAX_CUT_SHARE = 0.67
DOMAIN_SHARE = 0.3


class CutPlan:
    """Cuts gateways off from all targets for a given time, some at a time.

    :ivar log: the cuts with their loop time.
    :ivar failures: cuts during which too few first attempts were served.
    """

    def __init__(self, site: SoakSite, callers: Callers, rng: random.Random) -> None:
        self._site = site
        self._callers = callers
        self._rng = rng
        self.log: list[str] = []
        self.failures: list[str] = []

    async def run(self, seconds: float) -> None:
        """Begin cuts for ``seconds`` and wait until all links are sound again."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            await self._cut(self._choose(), self._rng.choice(HOWS))
            await asyncio.sleep(PAUSE_SECONDS)

    def _choose(self) -> list[str]:
        gateways = self._site.gateways
        if self._rng.random() < DOMAIN_SHARE:
            domain = self._rng.choice(DOMAINS)
            return [name for name, item in gateways.items() if item.domain == domain]
        count = self._rng.randint(1, int(len(gateways) * MAX_CUT_SHARE))
        return self._rng.sample(sorted(gateways), count)

    async def _cut(self, names: list[str], how: str) -> None:
        now = asyncio.get_running_loop().time()
        self.log.append(f"{now:.3f} links of {names} cut: {how}")
        for name in names:
            self._site.gateways[name].cut_links(how)
        await asyncio.sleep(CONTACT_SECONDS)
        measured = {
            name: asyncio.create_task(self._measure(name))
            for name in self._site.gateways
        }
        results = {name: await task for name, task in measured.items()}
        for name in names:
            self._site.gateways[name].cut_links("")
        self._judge(names, how, results)

    async def _measure(self, name: str) -> list[bool]:
        """Send first attempts to a gateway; return which of them were served."""
        served = await asyncio.gather(
            *(self._send_for(name) for _ in range(CALLERS_PER_GATEWAY))
        )
        return [is_served for part in served for is_served in part]

    async def _send_for(self, name: str) -> list[bool]:
        loop = asyncio.get_running_loop()
        until = loop.time() + MEASURE_SECONDS
        address = Address("127.0.0.1", self._site.gateways[name].ports["front"])
        served = []
        while loop.time() < until:
            result = await self._callers.send(address)
            served.append(result.status == 200 and result.is_whole)
        return served

    def _judge(self, names: list[str], how: str, results: dict) -> None:
        cut = [item for name in names for item in results[name]]
        others = [x for name in results if name not in names for x in results[name]]
        share, other_share = _share(cut), _share(others)
        text = f"served: {share:.2f} of {len(cut)}, others {other_share:.2f}"
        self.log.append(f"{asyncio.get_running_loop().time():.3f} {text}")
        failed = cut.count(False) + others.count(False)
        allowed = ALLOWED_FAILURES + ALLOWED_FAILURE_SHARE * (len(cut) + len(others))
        if share < MIN_SERVED_SHARE * other_share and failed > allowed:
            self.failures.append(f"links of {names} cut ({how}): {text}")
        if others and other_share < MIN_SERVED_SHARE:
            self.failures.append(f"others harmed by a cut of {names} ({how}): {text}")


def _share(served: list[bool]) -> float:
    return sum(served) / len(served) if served else 0.0
