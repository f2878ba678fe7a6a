"""Polls the listed runners for their status and their cache events."""

import asyncio
from collections.abc import Callable

import logbook
import msgspec
from result import Err

from heathershunt.clock import Clock, Millis
from heathershunt.http import Address, HttpClient
from heathershunt.runners.board import RunnerBoard
from heathershunt.runners.reports import RunnerReport, RunnerState
from heathershunt.store import ListedVm, VmRole

log = logbook.Logger("heathershunt.runners")

POLL_MS = 1000
STATUS_TIMEOUT_MS = 1000
# Cache events are late anyway; asking less often halves the cost of control.
EVENTS_EVERY_POLLS = 3
LONGEST_REPORT_LAG_MS = 5000


class RunnerPoller:
    """Asks the listed runners for their status once in :data:`POLL_MS`.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        http: HttpClient,
        clock: Clock,
        board: RunnerBoard,
        listed: Callable[[], tuple[ListedVm, ...]],
    ) -> None:
        self._http = http
        self._clock = clock
        self._board = board
        self._listed = listed
        self._polls = 0

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll_all()
            await asyncio.sleep(POLL_MS / 1000)

    async def poll_all(self) -> None:
        """Ask every listed runner once, all at the same time."""
        entries = [entry for entry in self._listed() if entry.role is VmRole.RUNNER]
        with_events = self._polls % EVENTS_EVERY_POLLS == 0
        self._polls += 1
        await asyncio.gather(*(self._poll(entry, with_events) for entry in entries))
        self._board.drop_stale(self._clock.now())

    async def _poll(self, entry: ListedVm, with_events: bool) -> None:
        address = Address.from_text(entry.address)
        sent = self._clock.now()
        reply = await self._get(address, "/v1/status")
        if reply is None:
            return
        try:
            report = msgspec.convert(reply, RunnerReport)
        except msgspec.ValidationError as error:
            log.warn("status of {} refused: {}", address, error)
            return
        self._board.record(self._state(address, report, sent))
        if with_events:
            await self._poll_events(address, report.runner)

    def _state(
        self, address: Address, report: RunnerReport, sent: Millis
    ) -> RunnerState:
        now = self._clock.now()
        lag = min(max(0, self._clock.wall() - report.load.at_ms), LONGEST_REPORT_LAG_MS)
        return RunnerState(address, report, now, Millis(now - lag), (now - sent) / 2)

    async def _poll_events(self, address: Address, runner: str) -> None:
        view = self._board.prefixes(runner)
        reply = await self._get(address, f"/v1/events?after={view.position}")
        if reply is None:
            return
        try:
            view.apply(reply, self._clock.now())
        except msgspec.ValidationError as error:
            log.warn("cache events of {} refused: {}", address, error)

    async def _get(self, address: Address, target: str) -> object | None:
        outcome = await self._http.request_json(
            address, "GET", target, timeout_ms=STATUS_TIMEOUT_MS
        )
        if isinstance(outcome, Err) or outcome.ok_value[0] != 200:
            return None
        return outcome.ok_value[1]
