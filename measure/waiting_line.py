"""Model of streams that wait for capacity: polling, and a line at each VM.

The runners have slots for 0.8 of the demand. Streams of three priorities and 24 client
accounts, a few of them large, come to a VM at random. A search finds room if a slot is
free; a stream whose wait limit is over is sent once more to a chain that seems full.
Not modelled: chains, and views of the load that are out of date.
"""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace

from heathershunt.admission import LineConfig, Waiter, WaitingLine
from heathershunt.clock import ManualClock, Millis
from heathershunt.pipelines.waiting import WaitingLedger
from heathershunt.relay.capacity import CAPACITY_POLL_MS, CapacityGate
from measure._report import emit

# Days that are played with another seed each and added up.
DAYS_BY_VMS = {4: 20, 33: 4, 78: 2, 390: 1}
# The day with 13,000 requests a second at 390 VMs, by VM.
STREAMS_PER_S_AND_VM = 33
HOLD_MS = 1500
CAPACITY_FACTOR = 0.8
WAIT_LIMIT_MS = 400
RUN_MS = 9000
# Streams that arrive in this time are counted.
COUNTED_MS = (2000, 8000)
RANK_WEIGHTS = (2, 3, 5)
ACCOUNTS = 24
LARGE_ACCOUNTS = 3
# Logarithm of the tokens of a stream: mean and standard deviation.
SIZE = (6.6, 0.6)
# Part of the streams of the large accounts together.
LARGE_PART = 0.6
SERVICE = "s"
MAX_GROUP = 40
PERIOD_MS = 250
LARGE_FLEET_PERIOD_MS = 1000
SEED = 4


@dataclass(eq=False)
class _Stream:
    waiter: Waiter
    vm: int
    arrived_at: int
    hold_ms: float
    counted: bool
    is_over: bool = False


@dataclass
class Tally:
    """Streams by priority and by size of their account.

    :ivar waits: waits of the streams that were served, in milliseconds.
    :ivar told: times after which a caller of each priority would be told to return
        whenever a stream is refused, in milliseconds without the random part.
    """

    offered: Counter = field(default_factory=Counter)
    served: Counter = field(default_factory=Counter)
    waits: dict[int, list[int]] = field(default_factory=dict)
    told: dict[int, list[int]] = field(default_factory=dict)
    searches: int = 0
    refused_at_once: int = 0

    def add(self, other: "Tally") -> None:
        """Add the streams of another day."""
        self.offered += other.offered
        self.served += other.served
        self.searches += other.searches
        self.refused_at_once += other.refused_at_once
        for own, values_by_rank in ((self.waits, other.waits), (self.told, other.told)):
            for rank, values in values_by_rank.items():
                own.setdefault(rank, []).extend(values)

    def share(self, key: object) -> float:
        """Return the part of the offered streams that was served."""
        return self.served[key] / max(1, self.offered[key])


class Fleet:
    """Slots of the runners, and the events of all VMs in order of time."""

    def __init__(self, vms: int, seed: int) -> None:
        self.clock = ManualClock()
        self.random = random.Random(seed)
        # Streams and their runs are the same whatever the order of the waiting ones.
        self._traffic = random.Random(seed)
        self.vms = vms
        rate = STREAMS_PER_S_AND_VM * vms
        self.arrival_gap_ms = 1000 / rate
        self.slots = int(rate * HOLD_MS / 1000 * CAPACITY_FACTOR)
        self.free = 0
        self.tally = Tally()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self.on_end: Callable[[int], None] = lambda vm: None
        self.on_arrival: Callable[[_Stream], None] = lambda stream: None

    @property
    def now(self) -> int:
        """Return the time in milliseconds."""
        return self.clock.now()

    def at(self, when: float, work: Callable[[], None]) -> None:
        """Do ``work`` at a time."""
        heapq.heappush(self._events, (when, next(self._sequence), work))

    def run(self) -> Tally:
        """Return what became of the streams."""
        for _ in range(self.slots):
            hold_ms = self._traffic.expovariate(1 / HOLD_MS)
            self._start(self._traffic.randrange(self.vms), hold_ms)
        self.at(0, self._arrive)
        while self._events and self._events[0][0] <= RUN_MS:
            when, _, work = heapq.heappop(self._events)
            self.clock.advance(max(0, int(when) - self.now))
            work()
        return self.tally

    def _start(self, vm: int, hold_ms: float) -> None:
        self.at(self.now + hold_ms, lambda: self._end(vm))

    def _end(self, vm: int) -> None:
        self.free += 1
        self.on_end(vm)

    def _arrive(self) -> None:
        gap_ms = self._traffic.expovariate(1 / self.arrival_gap_ms)
        self.at(self._last_arrival + gap_ms, self._arrive)
        self._last_arrival += gap_ms
        rank = self._traffic.choices(range(len(RANK_WEIGHTS)), RANK_WEIGHTS)[0]
        if self._traffic.random() < LARGE_PART:
            account = self._traffic.randrange(LARGE_ACCOUNTS)
        else:
            account = self._traffic.randrange(LARGE_ACCOUNTS, ACCOUNTS)
        size = self._traffic.lognormvariate(*SIZE)
        waiter = Waiter(str(account), rank, Millis(self.now + 5000), size)
        counted = COUNTED_MS[0] <= self.now < COUNTED_MS[1]
        vm = self._traffic.randrange(self.vms)
        hold_ms = self._traffic.expovariate(1 / HOLD_MS)
        stream = _Stream(waiter, vm, self.now, hold_ms, counted)
        if counted:
            self.tally.offered.update(_keys(stream))
        self.on_arrival(stream)

    _last_arrival = 0.0

    def search(self, stream: _Stream) -> bool:
        """Return whether a stream finds room, and start it there."""
        self.tally.searches += 1
        if not self.free:
            return False
        self.free -= 1
        self._start(stream.vm, stream.hold_ms)
        stream.is_over = True
        if stream.counted:
            self.tally.served.update(_keys(stream))
            waits = self.tally.waits.setdefault(stream.waiter.rank, [])
            waits.append(self.now - stream.arrived_at)
        return True


def _keys(stream: _Stream) -> tuple:
    account = stream.waiter.account
    size = "large" if int(account) < LARGE_ACCOUNTS else "small"
    return ("all", stream.waiter.rank, size, account)


def _accounts() -> list[str]:
    return [str(number) for number in range(ACCOUNTS)]


class Polling:
    """Streams poll, and the first one to poll gets the room."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._gates = [CapacityGate(fleet.clock) for _ in range(fleet.vms)]
        fleet.on_arrival = self._poll

    def _poll(self, stream: _Stream) -> None:
        fleet, gate = self._fleet, self._gates[stream.vm]
        if gate.may_search(SERVICE):
            if fleet.search(stream):
                return
            gate.record_full(SERVICE)
        if fleet.now - stream.arrived_at >= WAIT_LIMIT_MS:
            fleet.search(stream)
            return
        fleet.at(fleet.now + CAPACITY_POLL_MS, lambda: self._poll(stream))


class Lines:
    """A line at each VM, which gives way to what the others report."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        config = LineConfig(rest_ms=CAPACITY_POLL_MS)
        self._lines = [WaitingLine.from_config(config) for _ in range(fleet.vms)]
        self._ledgers = [WaitingLedger(fleet.clock) for _ in range(fleet.vms)]
        self._streams: dict[Waiter, _Stream] = {}
        self._wake_at = [-1] * fleet.vms
        self._reports: list[dict] = [{} for _ in range(fleet.vms)]
        count = -(-fleet.vms // MAX_GROUP)
        self._groups = [vm * count // fleet.vms for vm in range(fleet.vms)]
        self._sums = [Counter() for _ in range(count)]
        self._sizes = Counter(self._groups)
        self._period_ms = PERIOD_MS if count == 1 else LARGE_FLEET_PERIOD_MS
        fleet.on_arrival = self._arrive
        fleet.on_end = self._on_end
        for vm in range(fleet.vms):
            fleet.at(fleet.random.random() * self._period_ms, self._exchanging(vm))

    def _exchanging(self, vm: int) -> Callable[[], None]:
        def exchange() -> None:
            self._exchange(vm)
            gap_ms = self._period_ms * self._fleet.random.uniform(0.8, 1.2)
            self._fleet.at(self._fleet.now + gap_ms, exchange)

        return exchange

    def _exchange(self, vm: int) -> None:
        group = self._groups[vm]
        total = self._sums[group]
        total.subtract(self._reports[vm])
        factor = (self._fleet.vms - 1) / max(1, self._sizes[group] - 1)
        others = {key: round(count * factor) for key, count in total.items()}
        self._ledgers[vm].set_others(others, self._period_ms)
        self._reports[vm] = self._ledgers[vm].own()
        total.update(self._reports[vm])

    def _arrive(self, stream: _Stream) -> None:
        fleet, line = self._fleet, self._lines[stream.vm]
        if line.is_too_late(stream.waiter, WAIT_LIMIT_MS, Millis(fleet.now)):
            fleet.tally.refused_at_once += stream.counted
            self._tell(stream)
            return
        self._streams[stream.waiter] = stream
        line.join(stream.waiter)
        self._ledgers[stream.vm].add(SERVICE, stream.waiter.rank)
        fleet.at(fleet.now + WAIT_LIMIT_MS, lambda: self._give_up(stream))
        self._advance(stream.vm)

    def _give_up(self, stream: _Stream) -> None:
        if stream.is_over:
            return
        line = self._lines[stream.vm]
        del self._streams[stream.waiter]
        self._ledgers[stream.vm].remove(SERVICE, stream.waiter.rank)
        if self._fleet.search(stream):
            line.take(stream.waiter, Millis(self._fleet.now))
        else:
            line.leave(stream.waiter)
            self._tell(stream)
        self._advance(stream.vm)

    def _tell(self, stream: _Stream) -> None:
        now, line = Millis(self._fleet.now), self._lines[stream.vm]
        for rank in range(len(RANK_WEIGHTS)):
            told = self._fleet.tally.told.setdefault(rank, [])
            told.append(line.return_ms(replace(stream.waiter, rank=rank), now))

    def _on_end(self, vm: int) -> None:
        self._lines[vm].on_room(Millis(self._fleet.now))
        self._advance(vm)

    def _advance(self, vm: int) -> None:
        fleet, line, ledger = self._fleet, self._lines[vm], self._ledgers[vm]
        now = Millis(fleet.now)
        while line:
            waiter = line.next_turn(now, ledger.elsewhere(SERVICE))
            if waiter is None:
                if line.next_at > now and self._wake_at[vm] != line.next_at:
                    self._wake_at[vm] = line.next_at
                    fleet.at(line.next_at, lambda: self._advance(vm))
                return
            if fleet.search(self._streams[waiter]):
                del self._streams[waiter]
                ledger.remove(SERVICE, waiter.rank)
                line.take(waiter, now)
            else:
                line.pass_on(waiter, is_restricted=False)


def _centile(values: list[int], percent: int) -> float:
    ordered = sorted(values)
    return float(ordered[min(len(ordered) - 1, len(ordered) * percent // 100)])


def _figures(tally: Tally, vms: int) -> Iterator[tuple[str, float, str]]:
    """Return the figures of some days.

    :param vms: VMs of all days together.
    """
    refused = tally.offered["all"] - tally.served["all"]
    for key in ("all", 0, 1, 2, "large", "small"):
        name = f"rank_{key}" if isinstance(key, int) else key
        yield f"served.{name}", tally.share(key), "of the offered"
    for rank, waits in sorted(tally.waits.items()):
        yield f"wait_p50.rank_{rank}", _centile(waits, 50), "ms"
        yield f"wait_p95.rank_{rank}", _centile(waits, 95), "ms"
    for rank, told in sorted(tally.told.items()):
        yield f"told_p50.rank_{rank}", _centile(told, 50), "ms"
    served = [tally.share(account) for account in _accounts()]
    yield "served.worst_account", min(served), "of the offered"
    yield "served.best_account", max(served), "of the offered"
    yield "refused_at_once", float(tally.refused_at_once), "streams"
    yield "refused", float(refused), "streams"
    seconds = RUN_MS / 1000
    yield "searches", tally.searches / vms / seconds, "per VM and second"


def main() -> None:
    """Print the figures."""
    for vms, days in DAYS_BY_VMS.items():
        for name, kind in (("polling", Polling), ("line", Lines)):
            tally = Tally()
            for day in range(days):
                fleet = Fleet(vms, SEED + day)
                kind(fleet)
                tally.add(fleet.run())
            for figure, value, unit in _figures(tally, vms * days):
                emit(f"waiting_line.{vms}_vms.{name}.{figure}", value, unit)


if __name__ == "__main__":
    main()
