"""How VMs tell each other their load and notes: one of them collects them for all.

Every VM sends its own load to the same VM and gets back the sum of the others. Messages
grow with the number of VMs, not with its square.
"""

import asyncio
import random
from collections.abc import Callable, Mapping, Sequence

import logbook
import msgspec
from result import Err

from heathershunt.clock import Clock, Millis
from heathershunt.http import Address, HttpClient, Request, Response
from heathershunt.pipelines.load import LoadLedger, RunnerLoad
from heathershunt.pipelines.notes import NoteBook, RunnerNote, merge_notes

log = logbook.Logger("heathershunt.pipelines")

LOAD_PATH = "/load/"
PERIOD_MS = 250
TIMEOUT_MS = 200
# Period in a fleet of several groups, where a VM's own requests are few and the replies
# name many runners.
LARGE_PERIOD_MS = 1000
# Load of a VM that no longer tells it is dropped after this many periods.
KEPT_PERIODS = 3.2
MAX_REPLY_BYTES = 1_048_576


class _Row(msgspec.Struct, array_like=True):
    runner: str
    requests: int
    received: int
    kv: float


class _Told(msgspec.Struct, array_like=True):
    """What a VM tells, and what it is told of the others."""

    rows: list[_Row]
    notes: list[RunnerNote]


class LoadBoard:
    """Adds up the loads that VMs send, and collects their notes.

    :param fleet_factor: see :class:`LoadSharing`.

    .. versionadded:: 0.2
    """

    def __init__(self, clock: Clock, fleet_factor: Callable[[], float]) -> None:
        self._clock = clock
        self._fleet_factor = fleet_factor
        self._told_by_vm: dict[str, tuple[Millis, _Told]] = {}

    def put(self, vm: str, told: _Told) -> None:
        """Take the newest load and notes of a VM."""
        self._told_by_vm[vm] = (self._clock.now(), told)

    def others(self, vm: str) -> _Told:
        """Return the load of all VMs but one, and what they found out."""
        limit = self._clock.now() - KEPT_PERIODS * _period_ms(self._fleet_factor())
        total: dict[str, RunnerLoad] = {}
        notes = []
        for name, (told_at, told) in list(self._told_by_vm.items()):
            if told_at < limit:
                del self._told_by_vm[name]
            elif name != vm:
                _add(total, told.rows)
                notes.append(told.notes)
        return _Told(_rows(total), merge_notes(notes))

    async def handle(self, request: Request) -> Response:
        """Answer a VM that sends its load."""
        vm = request.path.removeprefix(LOAD_PATH)
        try:
            told = msgspec.msgpack.decode(request.body, type=_Told)
        except ValueError as error:
            log.warning("malformed load of {!r}: {}", vm, error)
            return Response(400)
        self.put(vm, told)
        return Response(200, {}, msgspec.msgpack.encode(self.others(vm)))


class LoadSharing:
    """Sends the load and the notes of this VM and takes those of the others.

    :param notes: of this VM; takes those of the others.

    :param boards: called for the VMs that add up, the first one to be used if it works;
        ``None`` stands for this VM itself.
    :param fleet_factor: called for the load of all other VMs, as a multiple of what the
        board knows.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        http: HttpClient,
        ledger: LoadLedger,
        board: LoadBoard,
        vm: str,
        boards: Callable[[], Sequence[Address | None]],
        fleet_factor: Callable[[], float],
        notes: NoteBook,
    ) -> None:
        self._http = http
        self._notes = notes
        self._ledger = ledger
        self._board = board
        self._vm = vm
        self._boards = boards
        self._fleet_factor = fleet_factor

    async def run(self) -> None:
        """Exchange loads until cancelled."""
        while True:
            await self.exchange()
            period_ms = _period_ms(self._fleet_factor())
            await asyncio.sleep(period_ms * random.uniform(0.8, 1.2) / 1000)

    async def exchange(self) -> bool:
        """Exchange loads once; return whether that worked."""
        told = _Told(_rows(self._ledger.own()), self._notes.own())
        self._board.put(self._vm, told)
        for address in self._boards():
            if address is None:
                self._take(self._board.others(self._vm))
                return True
            others = await self._send(address, told)
            if others is not None:
                self._take(others)
                return True
        return False

    def _take(self, others: _Told) -> None:
        loads: dict[str, RunnerLoad] = {}
        _add(loads, others.rows)
        factor = self._fleet_factor()
        if factor > 1:
            loads = {name: load.times(factor) for name, load in loads.items()}
        self._ledger.set_others(loads)
        self._notes.set_others(others.notes)

    async def _send(self, address: Address, told: _Told) -> _Told | None:
        outcome = await self._http.exchange(
            address,
            "POST",
            LOAD_PATH + self._vm,
            body=msgspec.msgpack.encode(told),
            timeout_ms=TIMEOUT_MS,
            limit=MAX_REPLY_BYTES,
            correlated=True,
        )
        if isinstance(outcome, Err):
            log.debug("no load from {}: {}", address, outcome.err_value.detail)
            return None
        status, raw = outcome.ok_value
        if status != 200:
            log.warning("no load from {}: status {}", address, status)
            return None
        try:
            return msgspec.msgpack.decode(raw, type=_Told)
        except ValueError as error:
            log.warning("malformed load from {}: {}", address, error)
            return None


def _period_ms(fleet_factor: float) -> int:
    return PERIOD_MS if fleet_factor <= 1 else LARGE_PERIOD_MS


def _rows(by_runner: Mapping[str, RunnerLoad]) -> list[_Row]:
    return [
        _Row(runner, load.requests, load.received, load.kv)
        for runner, load in by_runner.items()
    ]


def _add(total: dict[str, RunnerLoad], rows: list[_Row]) -> None:
    for row in rows:
        load = total.setdefault(row.runner, RunnerLoad())
        load.requests += row.requests
        load.received += row.received
        load.kv += row.kv
