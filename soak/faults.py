"""Random faults, in series and overlapping, each followed by its repair."""

import asyncio
import random

from heathershunt.http import Response
from soak.site import RESTART_DELAY_SECONDS, SoakSite
from standins.proxy import Faults

MIN_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 0.8
MAX_FAULT_SECONDS = 2.5
# Bytes that a stalled stream repeats: a comment, or part of an event.
TRICKLES = (b": still here\n\n", b"d")
STALL_AFTER_EVENTS = 5
# Exceeds the size limit of the router for one answer.
OVERSIZE_BYTES = 6_000_000


class FaultPlan:
    """Injects random faults for a given time and repairs each of them.

    :param bad_answers: whether targets also stall streams and send oversized answers.
    :param restorations: whether the store is also restored from copies, and targets
        name limits.
    :param signals: whether gateways also get SIGHUP.
    :ivar removed_at: event loop time in seconds at which each API key was removed.
    :ivar log: injected faults with their loop time, printed if the run fails.
    """

    def __init__(
        self,
        site: SoakSite,
        rng: random.Random,
        *,
        bad_answers: bool = False,
        restorations: bool = False,
        signals: bool = False,
    ) -> None:
        self._site = site
        self._spans = site.spans
        self._rng = rng
        self._bad_answers = bad_answers
        self._restorations = restorations
        self._signals = signals
        self._reserved: set[str] = set()
        self._running: set[asyncio.Task] = set()
        self.removed_at: dict[str, float] = {}
        self.log: list[str] = []

    async def run(self, seconds: float) -> None:
        """Inject faults for ``seconds`` and wait until all are repaired."""
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
            self._hang,
            self._drain,
            self._remove_key,
            self._forget_history,
        )
        if self._bad_answers:
            kinds += (self._stall, self._oversize)
        if self._restorations:
            kinds += (self._restore, self._limit)
        if self._signals:
            kinds += (self._hang_up,)
        while loop.time() < until:
            fault = self._rng.choice(kinds)
            task = asyncio.create_task(fault())
            self._running.add(task)
            pause = self._rng.uniform(MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS)
            await asyncio.sleep(pause)
        await asyncio.gather(*self._running)

    def _reserve(self, names: list[str]) -> str | None:
        """Reserve a free name for a fault if at least one other name stays free."""
        free = [name for name in names if name not in self._reserved]
        if len(free) < 2:
            return None
        name = self._rng.choice(free)
        self._reserved.add(name)
        return name

    async def _wait_duration(self) -> None:
        await asyncio.sleep(self._rng.uniform(0.1, MAX_FAULT_SECONDS))

    def _log_fault(self, text: str) -> None:
        self.log.append(f"{asyncio.get_running_loop().time():.3f} {text}")

    async def _kill(self) -> None:
        name = self._reserve(list(self._site.gateways))
        if name is None:
            return
        self._log_fault(f"kill {name}")
        with self._spans.during("kill", name):
            await self._site.gateways[name].kill()
        await asyncio.sleep(RESTART_DELAY_SECONDS)
        await self._site.gateways[name].start()
        self._reserved.discard(name)

    async def _pause(self) -> None:
        name = self._reserve(list(self._site.gateways))
        if name is None:
            return
        self._log_fault(f"pause {name}")
        with self._spans.during("pause", name):
            self._site.gateways[name].pause()
            await self._wait_duration()
            self._site.gateways[name].resume()
        self._reserved.discard(name)

    async def _terminate(self) -> None:
        name = self._reserve(list(self._site.gateways))
        if name is None:
            return
        self._log_fault(f"terminate {name}")
        with self._spans.during("terminate", name):
            was_killed = await self._site.gateways[name].terminate()
        if was_killed:
            self._spans.mark("kill", name)
        await asyncio.sleep(RESTART_DELAY_SECONDS)
        await self._site.gateways[name].start()
        self._reserved.discard(name)

    async def _hang_up(self) -> None:
        name = self._reserve(list(self._site.gateways))
        if name is None:
            return
        self._log_fault(f"SIGHUP to {name}")
        self._site.gateways[name].hang_up()
        self._reserved.discard(name)

    async def _cut_store(self) -> None:
        proxy = self._rng.choice([g.store_proxy for g in self._site.gateways.values()])
        drop = self._rng.choice(("to_target", "to_source"))
        self._log_fault(f"drop bytes between a gateway and the store, {drop}")
        with self._spans.during("store"):
            await proxy.set_faults(Faults(drop=drop))
            await self._wait_duration()
            await proxy.set_faults(Faults())
        proxy.cut()

    async def _store_down(self) -> None:
        self._log_fault("store down")
        with self._spans.during("store"):
            self._site.store.is_down = True
            await self._wait_duration()
            self._site.store.is_down = False

    async def _delay(self) -> None:
        name = self._rng.choice(list(self._site.proxies))
        proxy = self._site.proxies[name]
        delay_ms = self._rng.uniform(5, 200)
        self._log_fault(f"delay of {delay_ms:.0f} ms")
        with self._spans.during("delay", name):
            await proxy.set_faults(Faults(to_target_ms=delay_ms, to_source_ms=delay_ms))
            await self._wait_duration()
            await proxy.set_faults(Faults())

    async def _reset(self) -> None:
        name = self._rng.choice(list(self._site.proxies))
        self._log_fault(f"reset connections to {name}")
        self._spans.mark("reset", name)
        self._site.proxies[name].cut()

    async def _silence(self) -> None:
        name = self._rng.choice(list(self._site.proxies))
        self._log_fault(f"silence connections to {name}")
        self._spans.mark("silence", name)
        self._site.proxies[name].silence()

    async def _hang(self) -> None:
        name = self._reserve(list(self._site.targets))
        if name is None:
            return
        self._log_fault(f"{name} accepts connections but does not answer")
        with self._spans.during("hang", name):
            self._site.targets[name].is_unresponsive = True
            await self._wait_duration()
            self._site.targets[name].is_unresponsive = False
        self._reserved.discard(name)

    async def _drain(self) -> None:
        name = self._reserve(list(self._site.targets))
        if name is None:
            return
        self._log_fault(f"{name} drains")
        target = self._site.targets[name]
        target.is_draining = True
        target.register()
        await self._wait_duration()
        target.is_draining = False
        target.register()
        self._reserved.discard(name)

    async def _stall(self) -> None:
        name = self._reserve(self._targets_of("engine"))
        if name is None:
            return
        target = self._site.targets[name]
        target.trickle = self._rng.choice(TRICKLES)
        target.stalls_after = STALL_AFTER_EVENTS
        self._log_fault(f"streams of {name} stall and send {target.trickle!r}")
        with self._spans.during("stall", name):
            await self._wait_duration()
        target.stalls_after = None
        self._reserved.discard(name)

    async def _oversize(self) -> None:
        name = self._reserve(self._targets_of("desk"))
        if name is None:
            return
        target = self._site.targets[name]
        self._log_fault(f"answers of {name} are oversized")
        target.answer = lambda request: Response(200, {}, bytes(OVERSIZE_BYTES))
        with self._spans.during("oversize", name):
            await self._wait_duration()
        target.answer = None
        self._reserved.discard(name)

    def _targets_of(self, service: str) -> list[str]:
        targets = self._site.targets.items()
        return [name for name, target in targets if target.service == service]

    async def _remove_key(self) -> None:
        site = self._site
        if len(site.keys) < 2:
            return
        key = site.keys.pop(0)
        site.keys.append(f"key-{site.version + 2}")
        self._log_fault(f"remove {key}")
        site.publish()
        self.removed_at[key] = asyncio.get_running_loop().time()

    async def _restore(self) -> None:
        """Restore the store from a copy; the operator and the targets write again."""
        site = self._site
        copy = site.store.copy()
        await self._wait_duration()
        if site.store.is_down:
            return
        self._log_fault("store away")
        with self._spans.during("store"):
            site.store.is_down = True
            await asyncio.sleep(self._rng.uniform(0.1, 0.5))
            site.store.restore(copy)
            self._log_fault("store restored from a copy")
            site.store.put("op/config", site.configuration())
            site.store.is_down = False
            await asyncio.sleep(self._rng.uniform(0.0, 1.0))
        for target in site.targets.values():
            target.register()

    async def _limit(self) -> None:
        name = self._reserve(list(self._site.targets))
        if name is None:
            return
        self._log_fault(f"{name} names a limit")
        target = self._site.targets[name]
        target.limit_per_s = self._rng.uniform(0.5, 5.0)
        await self._wait_duration()
        target.limit_per_s = None
        self._reserved.discard(name)

    async def _forget_history(self) -> None:
        self._log_fault("store drops its history")
        self._site.store.forget_history()
