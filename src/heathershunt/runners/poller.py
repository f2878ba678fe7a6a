"""Polls the listed runners for their status and their cache events."""

import asyncio
from collections import Counter
from collections.abc import Callable

import logbook
import msgspec
from result import Err

from heathershunt.clock import Clock, Millis
from heathershunt.http import Address, HttpClient
from heathershunt.logs import RepeatLimiter
from heathershunt.runners.registry import RunnerRegistry
from heathershunt.runners.reports import RunnerReport, RunnerState
from heathershunt.schema.decoding import brief
from heathershunt.store import ListedVm, VmRole

log = logbook.Logger("heathershunt.runners")

TICK_MS = 200
# Polls per second from one VM, for any number of runners: a poll costs 0.04 % of a core
# and 530 bytes. The runs of this VM and the demand of its peers correct older reports.
POLLS_PER_SECOND = 5
MIN_INTERVAL_MS = 1000
STATUS_TIMEOUT_MS = 1000
# Polls of a runner for each request of its cache events. The events are late in any
# case; requesting them less often halves the cost of control traffic.
POLLS_PER_EVENT_REQUEST = 3
MAX_REPORT_LAG_MS = 5000


class RunnerPoller:
    """Polls the listed runners for their status, a limited number each second.

    Runners that are new in the list are polled at once, the others in turn, the one
    polled longest ago first.

    :param listed: returns the entries of the VM list.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        http: HttpClient,
        clock: Clock,
        registry: RunnerRegistry,
        listed: Callable[[], tuple[ListedVm, ...]],
    ) -> None:
        self._http = http
        self._clock = clock
        self._registry = registry
        self._listed = listed
        self._polled_at_by_address: dict[str, Millis] = {}
        self._polls_by_address: Counter[str] = Counter()
        self._tasks: set[asyncio.Task] = set()
        self._lines = RepeatLimiter(clock)

    @property
    def interval_ms(self) -> int:
        """Return the expected time between two polls of one runner."""
        count = len(self._polled_at_by_address)
        return max(MIN_INTERVAL_MS, count * 1000 // POLLS_PER_SECOND)

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            for entry in self._due():
                task = asyncio.create_task(self._poll(entry))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            self._registry.drop_stale(self._clock.now(), 3 * self.interval_ms)
            await asyncio.sleep(TICK_MS / 1000)

    async def poll_all(self) -> None:
        """Poll every listed runner once, all at the same time."""
        await asyncio.gather(*(self._poll(entry) for entry in self._runners()))

    def _runners(self) -> list[ListedVm]:
        return [entry for entry in self._listed() if entry.role is VmRole.RUNNER]

    def _due(self) -> list[ListedVm]:
        """Return the runners to poll now: all new ones, and some of the others."""
        now = self._clock.now()
        polled_at = self._polled_at_by_address
        entries_by_address = {entry.address: entry for entry in self._runners()}
        for address in polled_at.keys() - entries_by_address.keys():
            del polled_at[address]
            self._polls_by_address.pop(address, None)
        new = entries_by_address.keys() - polled_at.keys()
        due = [a for a, at in polled_at.items() if now - at >= MIN_INTERVAL_MS]
        due.sort(key=polled_at.__getitem__)
        max_due = POLLS_PER_SECOND * TICK_MS // 1000
        chosen = [*new, *due[:max_due]]
        for address in chosen:
            polled_at[address] = now
        return [entries_by_address[address] for address in chosen]

    async def _poll(self, entry: ListedVm) -> None:
        address = Address.from_text(entry.address)
        with_events = (
            self._polls_by_address[entry.address] % POLLS_PER_EVENT_REQUEST == 0
        )
        self._polls_by_address[entry.address] += 1
        sent = self._clock.now()
        reply = await self._get(address, "/v1/status")
        if reply is None:
            return
        try:
            report = msgspec.convert(reply, RunnerReport)
        except msgspec.ValidationError as error:
            self._log(address, "status report", error)
            return
        self._registry.record(self._state(address, report, sent))
        if with_events:
            await self._poll_events(address, report.runner)

    def _state(
        self, address: Address, report: RunnerReport, sent: Millis
    ) -> RunnerState:
        now = self._clock.now()
        lag = min(max(0, self._clock.wall() - report.load.at_ms), MAX_REPORT_LAG_MS)
        return RunnerState(address, report, now, Millis(now - lag), (now - sent) / 2)

    async def _poll_events(self, address: Address, runner: str) -> None:
        view = self._registry.prefixes(runner)
        reply = await self._get(address, f"/v1/events?after={view.position}")
        if reply is None:
            return
        try:
            view.apply(reply, self._clock.now())
        except msgspec.ValidationError as error:
            self._log(address, "cache events", error)

    def _log(self, address: Address, what: str, error: Exception) -> None:
        """Log an invalid reply, unless such a one was logged a short time ago."""
        if self._lines.take(f"{address} {what}"):
            log.warn("invalid {} from {}: {}", what, address, brief(error))

    async def _get(self, address: Address, target: str) -> object | None:
        # On a kept connection, a copy of the last report would be taken for this one.
        outcome = await self._http.request_json(
            address, "GET", target, timeout_ms=STATUS_TIMEOUT_MS, fresh=True
        )
        if isinstance(outcome, Err) or outcome.ok_value[0] != 200:
            return None
        return outcome.ok_value[1]
