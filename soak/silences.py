"""Targets that fall silent for a second or so and go on."""

import asyncio
import random

from soak.site import SoakSite
from standins.layer_runner import TargetStandIn

MIN_SILENCE_SECONDS = 0.8
MAX_SILENCE_SECONDS = 1.6
MIN_PAUSE_SECONDS = 0.2
MAX_PAUSE_SECONDS = 1.2


class SilencePlan:
    """Lets targets fall silent, one or several at once, for a given time.

    :ivar log: the silences with their loop time.
    """

    def __init__(self, site: SoakSite, rng: random.Random) -> None:
        self._site = site
        self._rng = rng
        self.log: list[str] = []

    async def run(self, seconds: float) -> None:
        """Begin silences for ``seconds`` and wait until the last one has ended."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            silence = self._rng.uniform(MIN_SILENCE_SECONDS, MAX_SILENCE_SECONDS)
            targets = self._choose()
            names = [target.id for target in targets]
            self.log.append(f"{loop.time():.3f} {names} silent for {silence:.3f} s")
            for target in targets:
                target.fall_silent(silence)
            pause = self._rng.uniform(MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS)
            await asyncio.sleep(pause)
        await asyncio.sleep(MAX_SILENCE_SECONDS)

    def _choose(self) -> list[TargetStandIn]:
        """Return targets of one kind that are not silent yet."""
        now = asyncio.get_running_loop().time()
        free = [t for t in self._site.targets.values() if t.silent_until <= now]
        plain = [target for target in free if target.kind is None]
        runners = [target for target in free if target.kind is not None]
        groups = (
            plain,
            [target for target in runners if target.layers[0] == 0],
            [target for target in runners if target.layers[0] > 0],
            runners,
        )
        group = self._rng.choice(groups)
        if not group or self._rng.random() < 0.3:
            return group
        return self._rng.sample(group, self._rng.randint(1, min(2, len(group))))
