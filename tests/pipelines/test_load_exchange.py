"""Exchange of load and runner notes between VMs with unequal load."""

from dataclasses import replace

import msgspec
import pytest

from heathershunt.clock import ManualClock
from heathershunt.crashes import PartGuard
from heathershunt.http import Address, HttpClient, HttpServer, Request, correlated
from heathershunt.pipelines import (
    Chain,
    ChainChooser,
    ChainPart,
    Job,
    LoadAggregator,
    LoadExchange,
    LoadLedger,
    PaceTracker,
    PeerNotes,
    RunnerNote,
)
from heathershunt.pipelines.load import LOAD_MAX_AGE_MS
from heathershunt.pipelines.load_exchange import (
    EXCHANGE_PERIOD_MS,
    MAX_AGE_PERIODS,
    MAX_WAITING_ROWS,
)
from heathershunt.pipelines.notes import NOTES_MAX_AGE_MS
from heathershunt.pipelines.waiting import REPORT_PERIODS
from heathershunt.ratelimits import LimitGuard

JOB = Job(760, 167)


class Fleet:
    """VMs that exchange their loads through the first of them."""

    def __init__(self, size):
        self.clock = ManualClock()
        self.http = HttpClient()
        self.ledgers = [LoadLedger(self.clock) for _ in range(size)]
        self.guards = [PartGuard(self.clock, print, lambda: size) for _ in range(size)]
        self.limits = [
            LimitGuard(self.clock, f"vm-{number}", list, {}.get, print)
            for number in range(size)
        ]
        self.aggregators = [
            LoadAggregator(self.clock, self.fleet_factor, guard, limits)
            for guard, limits in zip(self.guards, self.limits, strict=True)
        ]
        self.servers = [
            HttpServer(correlated(aggregator.handle)) for aggregator in self.aggregators
        ]
        self.notes = [[] for _ in range(size)]
        self.peer_notes = [
            PeerNotes(self.clock, lambda number=number: self.notes[number], print)
            for number in range(size)
        ]
        self.factor = 1.0
        self.addresses = []
        self.load_exchanges = []

    async def start(self):
        for server in self.servers:
            await server.start("127.0.0.1", 0)
            self.addresses.append(Address("127.0.0.1", server.port))
        for number, ledger in enumerate(self.ledgers):
            load_exchange = LoadExchange(
                self.http,
                ledger,
                self.aggregators[number],
                f"vm-{number}",
                lambda number=number: self.aggregators_of(number),
                self.fleet_factor,
                self.peer_notes[number],
                self.guards[number],
                self.limits[number],
            )
            self.load_exchanges.append(load_exchange)

    def aggregators_of(self, number):
        return [None if n == number else self.addresses[n] for n in (0, 1)]

    def fleet_factor(self):
        return self.factor

    async def exchange(self):
        for load_exchange in [*self.load_exchanges, *self.load_exchanges]:
            await load_exchange.run_once()

    async def stop(self):
        self.http.close()
        for server in self.servers:
            await server.close()


@pytest.fixture
async def fleet():
    fleet = Fleet(4)
    await fleet.start()
    yield fleet
    await fleet.stop()


def chain_over(*runners):
    return Chain(tuple(ChainPart(r, r.held.first, r.held.end) for r in runners))


async def test_each_vm_receives_the_load_of_all(fleet, runner):
    item = runner(held=(0, 80))
    for count, ledger in enumerate(fleet.ledgers):
        for _ in range(count):
            ledger.add(chain_over(item), 900)
    await fleet.exchange()
    totals = [ledger.total(item.id, 4) for ledger in fleet.ledgers]
    assert [(t.requests, t.head_requests, t.kv) for t in totals] == 4 * [
        (6, 6, 6 * 72_000)
    ]


async def test_load_of_a_group_is_scaled_to_a_large_fleet(fleet, runner):
    # With 300 VMs, sending the loads of all to every VM would take megabytes a second.
    fleet.factor = 9.0
    item = runner(held=(0, 80))
    for ledger in fleet.ledgers[:3]:
        ledger.add(chain_over(item), 900)
    await fleet.exchange()
    total = fleet.ledgers[0].total(item.id, 4)
    assert (total.requests, total.kv) == (1 + 9 * 2, 72_000 * (1 + 9 * 2))


async def test_second_vm_adds_up_loads_when_the_first_is_down(fleet, runner):
    item = runner(held=(0, 80))
    fleet.ledgers[3].add(chain_over(item), 900)
    await fleet.servers[0].close()
    for load_exchange in [*fleet.load_exchanges[1:], *fleet.load_exchanges[1:]]:
        assert await load_exchange.run_once()
    assert fleet.ledgers[2].total(item.id, 4).requests == 1


async def test_load_of_a_dead_vm_expires(fleet, runner):
    # Guards against runners that look full forever after a VM that used them died.
    item = runner(held=(0, 80))
    fleet.ledgers[3].add(chain_over(item), 900)
    await fleet.exchange()
    fleet.clock.advance(int(MAX_AGE_PERIODS * EXCHANGE_PERIOD_MS) + 1)
    for load_exchange in fleet.load_exchanges[:3]:
        await load_exchange.run_once()
    assert fleet.ledgers[1].total(item.id, 4).requests == 0


async def test_without_fresh_load_the_others_are_assumed_to_equal_this_vm(
    fleet, runner
):
    item = runner(held=(0, 80))
    fleet.ledgers[1].add(chain_over(item), 900)
    await fleet.exchange()
    fleet.clock.advance(LOAD_MAX_AGE_MS + 1)
    assert fleet.ledgers[1].total(item.id, 4).requests == 4


async def test_idle_vm_avoids_a_chain_that_another_vm_has_filled(fleet, engine, runner):
    # The idle VM has no load of its own on the fast chain.
    engine = replace(engine, layer_mb=100)
    await fleet.exchange()
    fast, slow = runner("large", "a", (0, 80)), runner("small", "b", (0, 80))
    fresh = ChainChooser(fleet.ledgers[3], PaceTracker(fleet.clock, print))
    assert fresh.choose(engine, [fast, slow], JOB, 4).head == fast
    for _ in range(60):
        fleet.ledgers[0].add(chain_over(fast), 900)
    await fleet.exchange()
    chooser = ChainChooser(fleet.ledgers[3], PaceTracker(fleet.clock, print))
    assert chooser.choose(engine, [fast, slow], JOB, 4).head.id == slow.id


async def test_slow_runner_is_reported_to_vms_that_did_not_use_it(fleet, runner):
    # Guards against late streams at every VM: with 78 VMs and 216 runners, some of them
    # slow, each VM detected each slow runner only by late streams of its own.
    item = runner(held=(0, 80))
    fleet.notes[2] = [RunnerNote(item.id, pace=5.0)]
    await fleet.exchange()
    assert [peer.pace(item.id) for peer in fleet.peer_notes] == [5.0, 5.0, 1.0, 5.0]
    fleet.notes[2] = []
    await fleet.exchange()
    assert {peer.pace(item.id) for peer in fleet.peer_notes} == {1.0}


async def test_failure_noted_by_two_vms_reaches_all(fleet):
    failed = RunnerNote("r1", 7, is_failed=True)
    fleet.notes[0] = fleet.notes[1] = [failed]
    await fleet.exchange()
    assert fleet.peer_notes[3].is_failed("r1", 7)
    assert not fleet.peer_notes[3].is_failed("r1", 8), "another start of the runner"


async def test_failure_noted_by_one_vm_is_ignored_by_the_others(fleet):
    # Guards against a VM that lost its links and notes all runners as failed.
    fleet.notes[0] = [RunnerNote("r1", 7, is_failed=True)]
    await fleet.exchange()
    assert not any(peer.is_failed("r1", 7) for peer in fleet.peer_notes)


async def test_notes_expire_without_a_new_exchange(fleet):
    fleet.notes[0] = [RunnerNote("r1", pace=5.0)]
    await fleet.exchange()
    fleet.clock.advance(NOTES_MAX_AGE_MS + 1)
    assert fleet.peer_notes[3].pace("r1") == 1.0


def urgent_at(fleet, rank=2):
    """Return the streams of higher priorities that each VM sees at the others."""
    seen = [ledger.waiting.elsewhere("s") for ledger in fleet.ledgers]
    return [sum(n for r, n in counts.items() if r < rank) for counts in seen]


def add_waiting(fleet, number, count, rank=0):
    for _ in range(count):
        fleet.ledgers[number].waiting.add("s", rank)


async def test_each_vm_learns_what_waits_at_the_others(fleet):
    add_waiting(fleet, 0, 2, rank=0)
    add_waiting(fleet, 1, 3, rank=1)
    add_waiting(fleet, 3, 9, rank=2)
    await fleet.exchange()
    assert urgent_at(fleet) == [3, 2, 5, 5]
    assert urgent_at(fleet, rank=1) == [0, 2, 2, 2]
    assert urgent_at(fleet, rank=0) == [0, 0, 0, 0]


async def test_waiting_streams_of_a_group_are_scaled_to_a_large_fleet(fleet):
    fleet.factor = 9.0
    add_waiting(fleet, 0, 2)
    await fleet.exchange()
    assert urgent_at(fleet) == [0, 18, 18, 18]


async def test_late_reports_count_as_if_nothing_waited(fleet):
    # Guards against VMs that give way to a VM that is lost, frozen or cut off.
    add_waiting(fleet, 3, 5)
    await fleet.exchange()
    fleet.clock.advance(REPORT_PERIODS * EXCHANGE_PERIOD_MS)
    assert urgent_at(fleet)[1] == 5
    fleet.clock.advance(1)
    assert urgent_at(fleet)[1] == 0, "the reply is late"
    for load_exchange in fleet.load_exchanges[:3]:
        await load_exchange.run_once()
    assert urgent_at(fleet)[1] == 0, "the report of the VM is late at the aggregator"


async def test_waiting_streams_are_forgotten_when_they_were_placed(fleet):
    add_waiting(fleet, 0, 1)
    await fleet.exchange()
    fleet.ledgers[0].waiting.remove("s", 0)
    await fleet.exchange()
    assert urgent_at(fleet) == [0, 0, 0, 0]


async def test_message_of_a_vm_without_the_field_is_understood(fleet):
    # Case: some VMs still run the version before, which reports no waiting streams.
    aggregator = fleet.aggregators[0]
    body = msgspec.msgpack.encode([[["r", 1, 1, 5.0]], []])
    request = Request("POST", "/load/vm-9", {}, {}, body)
    assert (await aggregator.handle(request)).status == 200
    assert [row.runner for row in aggregator.others("vm-0").rows] == ["r"]


async def test_message_is_understood_by_a_vm_without_the_field(fleet):
    add_waiting(fleet, 1, 2)
    await fleet.exchange()

    class OldMessage(msgspec.Struct, array_like=True):
        rows: list
        notes: list

    raw = msgspec.msgpack.encode(fleet.aggregators[0].others("vm-0"))
    assert msgspec.msgpack.decode(raw, type=OldMessage).rows == []


# Load pattern: many services, each with streams of all priorities waiting.
async def test_report_of_many_services_is_bounded(fleet):
    for service in range(100):
        for rank in range(3):
            fleet.ledgers[1].waiting.add(f"service-{service}", rank)
    await fleet.exchange()
    rows = fleet.aggregators[0].others("vm-0").waiting
    assert len(rows) == MAX_WAITING_ROWS
    assert {row.rank for row in rows} == {0}
