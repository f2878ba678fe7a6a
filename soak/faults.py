"""Faults drawn from a seed, in series and overlapping, each with its repair."""

import asyncio
import random

from heathershunt.http import Response
from soak.site import RESTART_SECONDS, SoakSite, configuration
from standins.proxy import Faults

LEAST_PAUSE_SECONDS = 0.1
MOST_PAUSE_SECONDS = 0.8
MOST_FAULT_SECONDS = 2.5
# What a stalled stream sends now and then: a comment, and a part of an event.
TRICKLES = (b": still here\n\n", b"d")
STALLS_AFTER_EVENTS = 5
# More than the router reads of one answer.
FLOOD_BYTES = 6_000_000


class FaultPlan:
    """Injects faults until told to stop; then repairs what is left.

    :param misbehaves: whether targets also send what is no answer.
    :ivar removed_at: loop time at which each key was removed.
    :ivar told: what was done, for the report of a failure.
    """

    def __init__(
        self, site: SoakSite, draw: random.Random, *, misbehaves: bool = False
    ) -> None:
        self._site = site
        self._draw = draw
        self._misbehaves = misbehaves
        self._busy: set[str] = set()
        self._running: set[asyncio.Task] = set()
        self.removed_at: dict[str, float] = {}
        self.told: list[str] = []

    async def run(self, seconds: float) -> None:
        """Inject faults for some seconds and wait until all are repaired."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        kinds = (
            self._kill,
            self._pause,
            self._terminate,
            self._cut_store,
            self._store_down,
            self._delay,
            self._reset,
            self._silence,
            self._darken,
            self._drain,
            self._remove_key,
            self._forget_history,
        )
        if self._misbehaves:
            kinds += (self._stall, self._flood)
        while loop.time() < until:
            fault = self._draw.choice(kinds)
            task = asyncio.create_task(fault())
            self._running.add(task)
            pause = self._draw.uniform(LEAST_PAUSE_SECONDS, MOST_PAUSE_SECONDS)
            await asyncio.sleep(pause)
        await asyncio.gather(*self._running)

    def _take(self, names: list[str]) -> str | None:
        """Return a thing that no other fault is at, leaving one of its kind alone."""
        free = [name for name in names if name not in self._busy]
        if len(free) < 2:
            return None
        name = self._draw.choice(free)
        self._busy.add(name)
        return name

    async def _last(self) -> None:
        await asyncio.sleep(self._draw.uniform(0.1, MOST_FAULT_SECONDS))

    def _tell(self, text: str) -> None:
        self.told.append(f"{asyncio.get_running_loop().time():.3f} {text}")

    async def _kill(self) -> None:
        name = self._take(list(self._site.gateways))
        if name is None:
            return
        self._tell(f"kill {name}")
        await self._site.gateways[name].kill()
        await asyncio.sleep(RESTART_SECONDS)
        await self._site.gateways[name].start()
        self._busy.discard(name)

    async def _pause(self) -> None:
        name = self._take(list(self._site.gateways))
        if name is None:
            return
        self._tell(f"pause {name}")
        self._site.gateways[name].pause()
        await self._last()
        self._site.gateways[name].resume()
        self._busy.discard(name)

    async def _terminate(self) -> None:
        name = self._take(list(self._site.gateways))
        if name is None:
            return
        self._tell(f"terminate {name}")
        await self._site.gateways[name].terminate()
        await asyncio.sleep(RESTART_SECONDS)
        await self._site.gateways[name].start()
        self._busy.discard(name)

    async def _cut_store(self) -> None:
        pair = self._draw.choice([g.store for g in self._site.gateways.values()])
        drop = self._draw.choice(("to_target", "to_source"))
        self._tell(f"cut a gateway from the store, {drop}")
        await pair.set_faults(Faults(drop=drop))
        await self._last()
        await pair.set_faults(Faults())
        pair.cut()

    async def _store_down(self) -> None:
        self._tell("store down")
        self._site.store.is_down = True
        await self._last()
        self._site.store.is_down = False

    async def _delay(self) -> None:
        pair = self._draw.choice(list(self._site.pairs.values()))
        delay_ms = self._draw.uniform(5, 200)
        self._tell(f"delay of {delay_ms:.0f} ms")
        await pair.set_faults(Faults(to_target_ms=delay_ms, to_source_ms=delay_ms))
        await self._last()
        await pair.set_faults(Faults())

    async def _reset(self) -> None:
        name = self._draw.choice(list(self._site.pairs))
        self._tell(f"reset connections to {name}")
        self._site.pairs[name].cut()

    async def _silence(self) -> None:
        name = self._draw.choice(list(self._site.pairs))
        self._tell(f"silence connections to {name}")
        self._site.pairs[name].silence()

    async def _darken(self) -> None:
        name = self._take(list(self._site.targets))
        if name is None:
            return
        self._tell(f"{name} goes dark")
        self._site.targets[name].is_unresponsive = True
        await self._last()
        self._site.targets[name].is_unresponsive = False
        self._busy.discard(name)

    async def _drain(self) -> None:
        name = self._take(list(self._site.targets))
        if name is None:
            return
        self._tell(f"{name} drains")
        target = self._site.targets[name]
        target.is_draining = True
        target.register()
        await self._last()
        target.is_draining = False
        target.register()
        self._busy.discard(name)

    async def _stall(self) -> None:
        name = self._take(self._targets_of("engine"))
        if name is None:
            return
        target = self._site.targets[name]
        target.trickle = self._draw.choice(TRICKLES)
        target.stalls_after = STALLS_AFTER_EVENTS
        self._tell(f"streams of {name} stall and send {target.trickle!r}")
        await self._last()
        target.stalls_after = None
        self._busy.discard(name)

    async def _flood(self) -> None:
        name = self._take(self._targets_of("desk"))
        if name is None:
            return
        target = self._site.targets[name]
        self._tell(f"answers of {name} are too long")
        target.answer = lambda request: Response(200, {}, bytes(FLOOD_BYTES))
        await self._last()
        target.answer = None
        self._busy.discard(name)

    def _targets_of(self, service: str) -> list[str]:
        targets = self._site.targets.items()
        return [name for name, target in targets if target.service == service]

    async def _remove_key(self) -> None:
        site = self._site
        if len(site.keys) < 2:
            return
        key = site.keys.pop(0)
        site.keys.append(f"key-{site.version + 2}")
        site.version += 1
        self._tell(f"remove {key}")
        site.store.put("op/config", configuration(site.version, list(site.keys)))
        self.removed_at[key] = asyncio.get_running_loop().time()

    async def _forget_history(self) -> None:
        self._tell("store forgets its history")
        self._site.store.forget_history()
