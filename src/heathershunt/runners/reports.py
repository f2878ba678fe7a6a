"""Reports of the runners: the engine's status, as this VM last heard it."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace

import logbook
import msgspec
from result import Err

from heathershunt.clock import Clock, Millis
from heathershunt.http import Address, HttpClient
from heathershunt.store import ListedVm, VmRole

log = logbook.Logger("heathershunt.runners")

POLL_MS = 1000
STATUS_TIMEOUT_MS = 1000
STALE_REPORT_MS = 10_000


@dataclass(frozen=True)
class LoadReport:
    """Load of a runner as of ``at_ms`` (wall time of the runner)."""

    running: int
    queued: int
    batch_limit: int
    step_ms: float
    token_ms: float
    prefill_token_ms: float
    kv_free_tokens: int
    at_ms: int


@dataclass(frozen=True)
class RunnerReport:
    """Status of a runner in the engine protocol."""

    runner: str
    incarnation: int
    kind: str
    fence: int
    checks_fence: bool
    leaving: bool
    vm: str
    domain: str
    model: str
    version: str
    adapters: tuple[str, ...]
    first_layer: int
    end_layer: int
    role: str
    fabric: str
    load: LoadReport


@dataclass(frozen=True)
class RunnerState:
    """A report with what this VM adds to it.

    :param received_at: monotonic time of the last report.
    :param delay_ms: half of the last round trip.
    """

    address: Address
    report: RunnerReport
    received_at: Millis
    delay_ms: float


class RunnerBoard:
    """The last report of every runner.

    .. versionadded:: 0.1
    """

    def __init__(self) -> None:
        self.states_by_runner: dict[str, RunnerState] = {}
        self.inflight_by_runner: dict[str, int] = {}

    def record(self, state: RunnerState) -> None:
        """Keep ``state`` unless it is of an older incarnation of the runner."""
        held = self.states_by_runner.get(state.report.runner)
        if held and held.report.incarnation > state.report.incarnation:
            return
        self.states_by_runner[state.report.runner] = state

    def mark_leaving(self, addresses: frozenset[str]) -> None:
        """Mark runners that the VM list says are leaving, before they say so."""
        for runner, state in list(self.states_by_runner.items()):
            if str(state.address) in addresses and not state.report.leaving:
                report = replace(state.report, leaving=True)
                self.states_by_runner[runner] = replace(state, report=report)

    def drop_stale(self, now: Millis) -> None:
        """Forget runners without a report for :data:`STALE_REPORT_MS`."""
        for runner, state in list(self.states_by_runner.items()):
            if now - state.received_at > STALE_REPORT_MS:
                del self.states_by_runner[runner]

    def add_inflight(self, runner: str, change: int) -> None:
        """Count drafts that this VM runs on a runner."""
        count = self.inflight_by_runner.get(runner, 0) + change
        if count > 0:
            self.inflight_by_runner[runner] = count
        else:
            self.inflight_by_runner.pop(runner, None)


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

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll_all()
            await asyncio.sleep(POLL_MS / 1000)

    async def poll_all(self) -> None:
        """Ask every listed runner once, all at the same time."""
        entries = [entry for entry in self._listed() if entry.role is VmRole.RUNNER]
        await asyncio.gather(*(self._poll(entry) for entry in entries))
        leaving = frozenset(entry.address for entry in entries if entry.is_leaving)
        self._board.mark_leaving(leaving)
        self._board.drop_stale(self._clock.now())

    async def _poll(self, entry: ListedVm) -> None:
        address = Address.from_text(entry.address)
        sent = self._clock.now()
        outcome = await self._http.request_json(
            address, "GET", "/v1/status", timeout_ms=STATUS_TIMEOUT_MS
        )
        if isinstance(outcome, Err):
            return
        status, reply = outcome.ok_value
        try:
            report = msgspec.convert(reply, RunnerReport)
        except msgspec.ValidationError as error:
            log.warn("status of {} refused ({}): {}", address, status, error)
            return
        now = self._clock.now()
        self._board.record(RunnerState(address, report, now, (now - sent) / 2))
