"""Runners that a request crashes, and their return some seconds later."""

import asyncio
import itertools
import time
from collections import Counter
from collections.abc import Callable

from review.common.site import Record, Site, call
from standins.layer_runner import TargetStandIn

# Time until a crashed runner is back, as another boot that holds no layers.
BACK_AFTER_S = 3.0
# Three check-in intervals, after which the entry of a silent runner is removed.
ENTRY_GONE_AFTER_S = 3.6
CONTACT_S = 3.0
# Time from the first event of a deadly answer to the crash.
CRASH_AFTER_EVENT_S = 0.02
ZONES = ("zone-a", "zone-b")


class CrashLog:
    """What the runners of a case saw.

    :ivar crashes: times at which runners crashed.
    :ivar arrivals: time, request id and runner of each request that may crash one.
    """

    def __init__(self) -> None:
        self.crashes: list[float] = []
        self.arrivals: list[tuple[float, str, str]] = []

    def write(self, record: Record) -> None:
        """Write crashes and arrivals to the record."""
        start = min((at for at, *_ in self.arrivals), default=0.0)
        for at, request_id, runner in self.arrivals:
            record(f"{request_id} reached {runner} at {at - start:.2f} s")
        for at in self.crashes:
            record(f"a runner crashed at {at - start:.2f} s")

    def late_arrivals(self, crash: int) -> list[str]:
        """Return the arrivals later than ``contact_ms`` after a crash.

        :param crash: number of that crash, from 1.
        """
        if len(self.crashes) < crash:
            return []
        limit = sorted(self.crashes)[crash - 1] + CONTACT_S
        return [request_id for at, request_id, _ in self.arrivals if at > limit]


class CrashingRunner(TargetStandIn):
    """Runner that notes its crash, and which deadly requests reached it.

    :ivar writes_first: whether the first event leaves before the crash.
    """

    log: CrashLog | None = None
    writes_first = False
    _next_event = 1

    def _is_deadly(self, request) -> bool:
        self._next_event = int(request.headers.get("last-event-id", "0")) + 1
        return super()._is_deadly(request)

    async def _answer(self, request):
        if self.log is not None and self._is_deadly(request):
            request_id = request.headers["heathershunt-request-id"]
            self.log.arrivals.append((time.monotonic(), request_id, self.id))
        return await super()._answer(request)

    async def _crash(self, sink) -> None:
        if self.writes_first:
            number = self._next_event
            sink.write(b"id: %d\ndata: event %d\n\n" % (number, number))
            await sink.drain()
            await asyncio.sleep(CRASH_AFTER_EVENT_S)
        if not self.is_unresponsive:
            self.log.crashes.append(time.monotonic())
        await super()._crash(sink)


class CrashingFleet:
    """Runners of one service, which come back after a crash.

    :param prepare: called with each runner that starts.
    """

    def __init__(
        self,
        site: Site,
        record: Record,
        log: CrashLog,
        prepare: Callable[[CrashingRunner], None],
    ) -> None:
        self._site = site
        self._record = record
        self._log = log
        self._prepare = prepare
        self._numbers = itertools.count()
        self._handled: set[str] = set()
        self._returns: list[asyncio.Task] = []

    async def start(self, heads: int, tails: int) -> None:
        """Start runners with the first half of the layers, and with the second."""
        for number in range(heads + tails):
            layers = (0, 40) if number < heads else (40, 80)
            await self._add(ZONES[number % 2], layers)

    async def _add(self, zone: str, layers: tuple[int, int] | None) -> None:
        name = f"run-{next(self._numbers)}"
        runner = await self._site.add_target(
            name, "redactor", zone, "h100", layers, CrashingRunner
        )
        runner.log = self._log
        self._prepare(runner)

    async def bring_back(self) -> None:
        """Start an empty runner some seconds after each crash, until cancelled."""
        while True:
            for runner in list(self._site.targets.values()):
                if runner.is_unresponsive and runner.id not in self._handled:
                    self._handled.add(runner.id)
                    self._returns.append(asyncio.create_task(self._return(runner)))
            await asyncio.sleep(0.02)

    async def _return(self, crashed: TargetStandIn) -> None:
        await asyncio.sleep(BACK_AFTER_S)
        await self._add(crashed.domain, None)
        await asyncio.sleep(ENTRY_GONE_AFTER_S - BACK_AFTER_S)
        self._site.store.remove(f"servers/{crashed.id}")


class Drafts:
    """Clients that send streams, each to the next gateway.

    :ivar statuses: number of answers by status, 0 for none.
    """

    def __init__(self, site: Site, path: str) -> None:
        self._site = site
        self._path = path
        self._numbers = itertools.count()
        self.statuses: Counter[int] = Counter()

    async def send(self, body: bytes, parts: str) -> None:
        """Send one stream and read the answer."""
        gateways = self._site.gateways
        answer = await call(
            gateways[next(self._numbers) % len(gateways)].front,
            "POST",
            self._path,
            body=body,
            extra={
                "Heathershunt-Model": "m0",
                "Heathershunt-Token-Counts": "740,40",
                "Heathershunt-Prompt-Prefix": parts,
            },
        )
        is_whole = answer.is_complete or answer.status != 200
        self.statuses[answer.status or 0 if is_whole else -200] += 1

    async def repeat(
        self, gap_s: float, make: Callable[[int], tuple[bytes, str]], until: float
    ) -> None:
        """Send a stream at intervals until a time.

        :param make: returns the body and the parts of a stream by its number.
        """
        tasks = []
        for number in itertools.count():
            if time.monotonic() > until:
                break
            tasks.append(asyncio.create_task(self.send(*make(number))))
            await asyncio.sleep(gap_s)
        await asyncio.gather(*tasks)
