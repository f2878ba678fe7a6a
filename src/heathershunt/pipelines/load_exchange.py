"""Exchange of load and runner notes between VMs, through one VM that adds them up.

Every VM sends its own load to the same VM, and the reply holds the sum of the others.
The number of messages grows with the number of VMs, not with its square.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Mapping, Sequence

import logbook
import msgspec
from result import Err

from heathershunt.clock import Clock, Millis, SystemClock
from heathershunt.crashes import CrashDigest, PartGuard
from heathershunt.http import Address, HttpClient, Request, Response
from heathershunt.logs import RepeatLimiter
from heathershunt.pipelines.load import LoadLedger, RunnerLoad
from heathershunt.pipelines.notes import PeerNotes, RunnerNote, merge_notes
from heathershunt.pipelines.waiting import REPORT_PERIODS, WaitingKey
from heathershunt.ratelimits import LimitDigest, LimitGuard
from heathershunt.schema.decoding import MalformedError, brief, decode_untrusted
from heathershunt.schema.fields import MAX_COUNT, Count, SignedAmount, SignedWhole, Text

log = logbook.Logger("heathershunt.pipelines")

LOAD_PATH = "/load/"
EXCHANGE_PERIOD_MS = 250
EXCHANGE_TIMEOUT_MS = 200
# Period in a fleet of several groups, where each VM has few requests of its own and the
# replies name many runners.
LARGE_FLEET_PERIOD_MS = 1000
# The last load of a VM is dropped after this many periods without a new one.
MAX_AGE_PERIODS = 3.2
MAX_REPLY_BYTES = 1_048_576
# Rows of a message on streams that wait; those of the highest priorities are sent.
MAX_WAITING_ROWS = 64


class _Row(msgspec.Struct, array_like=True):
    runner: Text
    requests: Count
    head_requests: Count
    # Sums of floats may end slightly below 0.
    kv: SignedAmount


class _WaitingRow(msgspec.Struct, array_like=True):
    service: Text
    rank: SignedWhole
    streams: Count


class _LoadMessage(msgspec.Struct, array_like=True):
    """Load and notes of one VM in a request; those of all others in a reply.

    :param crashes: evidence on crashes that the sender knows, from whatever VM.
    :param limits: limits of targets and demands of VMs that it knows, likewise.
    :param waiting: streams that wait in line for capacity.
    """

    rows: list[_Row]
    notes: list[RunnerNote]
    crashes: CrashDigest = CrashDigest()
    limits: LimitDigest = LimitDigest()
    waiting: list[_WaitingRow] = []


_decode = msgspec.msgpack.Decoder(_LoadMessage).decode


class LoadAggregator:
    """Adds up the loads that VMs send, and merges their notes.

    :param fleet_factor: as in :class:`LoadExchange`; the period depends on it.
    :param guard: evidence on crashes, which requests and replies carry too.
    :param limits: limits of targets, likewise.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        clock: Clock,
        fleet_factor: Callable[[], float],
        guard: PartGuard,
        limits: LimitGuard,
    ) -> None:
        self._clock = clock
        self._guard = guard
        self._limits = limits
        self._fleet_factor = fleet_factor
        self._message_by_vm: dict[str, tuple[Millis, _LoadMessage]] = {}
        self._lines = RepeatLimiter(clock)

    def put(self, vm: str, message: _LoadMessage) -> None:
        """Replace the load and notes of a VM."""
        self._message_by_vm[vm] = (self._clock.now(), message)

    def others(self, vm: str) -> _LoadMessage:
        """Return the total load and the merged notes of all VMs but one."""
        now, period_ms = self._clock.now(), _period_ms(self._fleet_factor())
        limit = now - MAX_AGE_PERIODS * period_ms
        waiting_limit = now - REPORT_PERIODS * period_ms
        waiting: Counter[WaitingKey] = Counter()
        total: dict[str, RunnerLoad] = {}
        notes = []
        for name, (received_at, message) in list(self._message_by_vm.items()):
            if received_at < limit:
                del self._message_by_vm[name]
            elif name != vm:
                _add_rows(total, message.rows)
                notes.append(message.notes)
                if received_at >= waiting_limit:
                    _add_waiting(waiting, message.waiting)
        return _LoadMessage(
            _rows(total),
            merge_notes(notes),
            self._guard.digest(),
            self._limits.digest(),
            _waiting_rows(waiting),
        )

    async def handle(self, request: Request) -> Response:
        """Answer the message of a VM with the load of the others; 400 if malformed."""
        vm = request.path.removeprefix(LOAD_PATH)
        try:
            message = decode_untrusted(_decode, request.body)
        except MalformedError as error:
            if self._lines.take(vm):
                log.warning("malformed load message from VM {!r}: {}", brief(vm), error)
            return Response(400)
        self.put(vm, message)
        self._guard.merge(message.crashes)
        self._limits.merge(message.limits)
        return Response(200, {}, msgspec.msgpack.encode(self.others(vm)))


class LoadExchange:
    """Sends the load and notes of this VM, and receives those of the other VMs.

    :param ledger: load of this VM; receives that of the others.
    :param aggregator: adds up the loads if this VM does so for the others.
    :param vm: name of this VM.
    :param aggregators: called for the addresses of the VMs that add up loads; the
        first one that answers is used. ``None`` stands for this VM itself.
    :param fleet_factor: called for the ratio of the load of all other VMs to the load
        that the aggregator has of them.
    :param notes: notes of this VM; receives those of the others.
    :param guard: evidence of this VM on crashes; receives that of the others.
    :param limits: limits of targets that this VM knows; receives those of the others.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        http: HttpClient,
        ledger: LoadLedger,
        aggregator: LoadAggregator,
        vm: str,
        aggregators: Callable[[], Sequence[Address | None]],
        fleet_factor: Callable[[], float],
        notes: PeerNotes,
        guard: PartGuard,
        limits: LimitGuard,
    ) -> None:
        self._guard = guard
        self._limits = limits
        self._http = http
        self._notes = notes
        self._ledger = ledger
        self._aggregator = aggregator
        self._vm = vm
        self._aggregators = aggregators
        self._fleet_factor = fleet_factor
        self._lines = RepeatLimiter(SystemClock())

    async def run(self) -> None:
        """Exchange loads until cancelled."""
        while True:
            await self.run_once()
            period_ms = _period_ms(self._fleet_factor())
            await asyncio.sleep(period_ms * random.uniform(0.8, 1.2) / 1000)

    async def run_once(self) -> bool:
        """Exchange loads once, and return whether one of the aggregators answered."""
        message = _LoadMessage(
            _rows(self._ledger.own()),
            self._notes.own(),
            self._guard.digest(),
            self._limits.digest(),
            _waiting_rows(self._ledger.waiting.own()),
        )
        self._aggregator.put(self._vm, message)
        for address in self._aggregators():
            if address is None:
                self._apply(self._aggregator.others(self._vm))
                return True
            others = await self._send(address, message)
            if others is not None:
                self._apply(others)
                return True
        return False

    def _apply(self, others: _LoadMessage) -> None:
        loads: dict[str, RunnerLoad] = {}
        _add_rows(loads, others.rows)
        factor = self._fleet_factor()
        if factor > 1:
            loads = {name: load.scaled(factor) for name, load in loads.items()}
        self._ledger.set_others(loads, others.notes)
        waiting: Counter[WaitingKey] = Counter()
        _add_waiting(waiting, others.waiting)
        scaled = {key: round(count * factor) for key, count in waiting.items()}
        self._ledger.waiting.set_others(scaled, _period_ms(factor))
        self._notes.set_others(others.notes)
        self._guard.merge(others.crashes)
        self._limits.merge(others.limits)

    async def _send(
        self, address: Address, message: _LoadMessage
    ) -> _LoadMessage | None:
        outcome = await self._http.exchange(
            address,
            "POST",
            LOAD_PATH + self._vm,
            body=msgspec.msgpack.encode(message),
            timeout_ms=EXCHANGE_TIMEOUT_MS,
            limit=MAX_REPLY_BYTES,
            correlated=True,
        )
        if isinstance(outcome, Err):
            log.debug("no load reply from {}: {}", address, outcome.err_value.detail)
            return None
        status, raw = outcome.ok_value
        if status != 200:
            self._log(address, f"no load reply: status {status}")
            return None
        try:
            return decode_untrusted(_decode, raw)
        except MalformedError as error:
            self._log(address, f"malformed load reply: {error}")
            return None

    def _log(self, address: Address, detail: str) -> None:
        """Log a failure of a VM, unless one was logged a short time ago."""
        if self._lines.take(str(address)):
            log.warning("{}: {}", address, detail)


def _period_ms(fleet_factor: float) -> int:
    return EXCHANGE_PERIOD_MS if fleet_factor <= 1 else LARGE_FLEET_PERIOD_MS


def _rows(by_runner: Mapping[str, RunnerLoad]) -> list[_Row]:
    return [
        _Row(runner, load.requests, load.head_requests, load.kv)
        for runner, load in by_runner.items()
    ]


def _add_rows(total: dict[str, RunnerLoad], rows: list[_Row]) -> None:
    for row in rows:
        load = total.setdefault(row.runner, RunnerLoad())
        load.requests += row.requests
        load.head_requests += row.head_requests
        load.kv += row.kv


def _waiting_rows(by_key: Mapping[WaitingKey, int]) -> list[_WaitingRow]:
    rows = [
        _WaitingRow(service, rank, min(count, MAX_COUNT))
        for (service, rank), count in by_key.items()
    ]
    if len(rows) > MAX_WAITING_ROWS:
        rows = sorted(rows, key=lambda row: row.rank)[:MAX_WAITING_ROWS]
    return rows


def _add_waiting(total: Counter[WaitingKey], rows: list[_WaitingRow]) -> None:
    for row in rows:
        total[row.service, row.rank] += row.streams
