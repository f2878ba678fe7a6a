"""Streams that wait in line for a chain with capacity."""

import asyncio
from collections import Counter
from dataclasses import replace

import pytest

from heathershunt.availability import AvailabilityTable
from heathershunt.clock import SystemClock
from heathershunt.pipelines.waiting import WaitingLedger
from heathershunt.relay.attempts import Attempts
from heathershunt.relay.capacity import CAPACITY_POLL_MS, CapacityGate
from heathershunt.relay.events import StreamEvent
from heathershunt.relay.progress import StreamProgress
from heathershunt.relay.selection import ChainSelection
from tests.relay.conftest import REQUEST

CAPACITY_WAIT_MS = 400


@pytest.fixture
def clock():
    return SystemClock()


class Rooms:
    """Has chains with room for a number of streams.

    :ivar full: what a full chain does; ``None`` if there is none at all.
    """

    def __init__(self, free=0):
        self.free = free
        self.full = "full"
        self.searches = 0
        self.max_tokens = float("inf")

    def has_layers(self, engine, runners, avoided):
        return True

    def choose(self, engine, runners, job, vms, avoided, needs_room=False, **heads):
        if not needs_room:
            return self.full
        self.searches += 1
        if not self.free or job.tokens > self.max_tokens or heads["heads"] == set():
            return None
        self.free -= 1
        return "room"


class Vm:
    """The streams of one VM, and the order in which they were placed."""

    def __init__(self, context, clock, spec):
        self.context = context
        self.clock = clock
        self.spec = spec
        self.rooms = context.chooser = Rooms()
        self.events = []
        context.events.emit = self.events.append
        self.ledger = WaitingLedger(clock)
        self.gate = CapacityGate(clock, self.ledger)
        self.placed = []
        self.blocked = set()
        self.tasks = []

    def selection(self, name, attempts=None, progress=None, **fields):
        now = self.clock.now()
        request = replace(REQUEST, id=name, received_at=now)
        fields = {"is_ordered": True, "deadline": now + 5000, **fields}
        tokens = fields.pop("tokens", 0)
        request = replace(request, prompt_tokens=tokens)
        spec = replace(self.spec, request=request, **fields)
        return ChainSelection(
            self.context,
            self.gate,
            spec,
            attempts or Attempts(self.context.registry, 2),
            progress or StreamProgress(self.clock, now, None),
            lambda: name in self.blocked,
        )

    async def begin(self, name, **fields):
        """Let a stream wait; return once it has done its first step."""
        selection = self.selection(name, **fields)

        async def wait():
            chain = await selection.wait_for_chain()
            if chain is not None:
                self.placed.append((name, chain))
            return chain

        task = asyncio.create_task(wait())
        self.tasks.append(task)
        await asyncio.sleep(0)
        return task

    async def settle(self):
        await asyncio.sleep(0.02)

    def end_run(self, rooms=1):
        """Let runs end that leave some room."""
        self.rooms.free += rooms
        self.gate.on_run_end("s")

    @property
    def names(self):
        return [name for name, _ in self.placed]


@pytest.fixture
async def vm(context, clock, spec):
    context.availability = AvailabilityTable(clock, context.registry.get, print)
    vm = Vm(context, clock, spec)
    yield vm
    for task in vm.tasks:
        task.cancel()
    await asyncio.gather(*vm.tasks, return_exceptions=True)


async def test_stream_is_placed_at_once_if_there_is_room(vm):
    vm.rooms.free = 1
    assert await (await vm.begin("a")) == "room"
    assert not vm.events, "there was no wait to log"


# Load pattern: a burst of a low priority is followed by streams of a higher one.
async def test_higher_priority_is_placed_first(vm):
    for number in range(5):
        await vm.begin(f"low-{number}", rank=2)
    for number in range(3):
        await vm.begin(f"high-{number}", rank=0)
    vm.end_run(rooms=4)
    await vm.settle()
    assert set(vm.names) == {"high-0", "high-1", "high-2", "low-0"}


# Load pattern: a large account has many streams waiting as a small one comes.
async def test_small_account_is_placed_beside_a_large_one(vm):
    for number in range(30):
        await vm.begin(f"large-{number}", account="large")
    for number in range(2):
        await vm.begin(f"small-{number}", account="small")
    vm.end_run(rooms=4)
    await vm.settle()
    assert Counter(name.split("-")[0] for name in vm.names) == {"large": 2, "small": 2}


# Load pattern: room for many streams is there at once, as after a runner returned.
# Guards against 60 ms for each stream.
async def test_all_that_fit_are_placed_at_once(vm):
    for number in range(50):
        await vm.begin(f"{number}")
    vm.end_run(rooms=40)
    await vm.settle()
    assert vm.names == [f"{n}" for n in range(40)]


# Load pattern: streams arrive while others wait and room becomes free meanwhile.
async def test_arrival_does_not_overtake_a_stream_that_waits(vm):
    await vm.begin("first")
    vm.rooms.free = 1
    await vm.begin("second")
    await vm.settle()
    assert vm.names == []
    await asyncio.sleep(CAPACITY_POLL_MS / 1000)
    assert vm.names == ["first"]


# Load pattern: a hundred streams wait while nothing ends. Guards against searches that
# use up the CPU.
async def test_one_search_per_interval_for_all_streams(vm):
    for number in range(100):
        await vm.begin(f"{number}")
    await asyncio.sleep(5 * CAPACITY_POLL_MS / 1000)
    assert 2 <= vm.rooms.searches <= 7


async def test_stream_takes_the_fallback_after_its_wait_limit(vm):
    started = vm.clock.now()
    assert await (await vm.begin("a")) == "full"
    assert CAPACITY_WAIT_MS <= vm.clock.now() - started <= CAPACITY_WAIT_MS + 100
    assert vm.events[-1].outcome == "fallback"


async def test_stream_without_a_fallback_is_not_sent(vm):
    vm.rooms.full = None
    assert await (await vm.begin("a")) is None
    assert vm.events[-1].outcome == "unplaced"


async def test_blocked_stream_stops_waiting(vm):
    task = await vm.begin("a")
    vm.blocked.add("a")
    await asyncio.sleep(0.02 + CAPACITY_POLL_MS / 1000)
    assert task.done() and task.result() is None
    assert vm.ledger.own() == {}


# The caller leaves.
async def test_stream_whose_caller_leaves_gives_its_turn_on(vm):
    first = await vm.begin("first")
    await vm.begin("second")
    vm.end_run(rooms=1)
    first.cancel()
    await vm.settle()
    assert vm.names == ["second"]
    assert [event.outcome for event in vm.events] == ["left", "placed"]
    assert vm.ledger.own() == {}


async def test_search_that_raises_gives_the_turn_on(vm, context):
    # Guards against a line that stands still after a fault of one stream.
    await vm.begin("first")
    await vm.begin("second")
    choose = vm.rooms.choose

    def fail(*args, **options):
        vm.rooms.choose = choose
        raise RuntimeError

    vm.rooms.choose = fail
    vm.end_run(rooms=1)
    await vm.settle()
    assert vm.names == ["second"]


# Guards against a line that stands still behind a stream that fits nowhere.
async def test_streams_behind_one_that_cannot_be_placed_are_placed(vm):
    vm.rooms.max_tokens = 5000
    await vm.begin("big", tokens=9000)
    await vm.begin("small-0", tokens=100)
    await vm.begin("small-1", tokens=100)
    await vm.begin("small-2", tokens=100)
    vm.end_run(rooms=2)
    await asyncio.sleep(0.02 + CAPACITY_POLL_MS / 1000)
    assert vm.names == ["small-0", "small-1"]
    vm.end_run(rooms=1)
    await vm.settle()
    assert vm.names == ["small-0", "small-1", "small-2"]
    assert vm.ledger.own() == {}, "no other VM leaves room to the big one"
    assert vm.ledger.by_rank() == {0: 1}


async def test_stream_behind_one_that_may_use_no_runner_is_placed(vm, context):
    spent = Attempts(context.registry, 0)
    await vm.begin("spent", attempts=spent)
    await vm.begin("other")
    vm.end_run(rooms=1)
    await vm.settle()
    assert vm.names == ["other"]


async def test_stream_that_was_sent_does_not_wait_in_line(vm, context, clock):
    # Guards against a pause of an answer that lasts as long as the line is.
    for number in range(20):
        await vm.begin(f"{number}")
    progress = StreamProgress(clock, clock.now(), None)
    progress.accept([StreamEvent(1, b"id: 1\n\n")])
    vm.rooms.free = 1
    await vm.begin("sent", progress=progress)
    await vm.settle()
    assert vm.names == ["sent"]


# Load pattern: other VMs have urgent streams waiting, this one a low priority.
async def test_lower_priority_leaves_searches_to_urgent_streams_elsewhere(vm):
    vm.ledger.set_others({("s", 0): 1000}, 10_000)
    vm.rooms.free = 1
    task = await vm.begin("low", rank=2)
    await asyncio.sleep(2.5 * CAPACITY_POLL_MS / 1000)
    assert vm.rooms.searches == 0
    assert await task == "full", "it waits no longer than before"


async def test_same_priority_elsewhere_does_not_hold_back_searches(vm):
    vm.ledger.set_others({("s", 2): 1000, ("other", 0): 1000}, 10_000)
    vm.rooms.free = 1
    assert await (await vm.begin("low", rank=2)) == "room"


# The VM with the urgent streams is lost, or its reports are late.
async def test_late_report_holds_back_nothing(vm):
    vm.ledger.set_others({("s", 0): 1000}, 10)
    await asyncio.sleep(0.03)
    vm.rooms.free = 1
    assert await (await vm.begin("low", rank=2)) == "room"


# Load pattern: for some seconds more streams arrive than are served.
async def test_stream_whose_turn_would_come_too_late_is_refused_at_once(vm):
    for number in range(60):
        await vm.begin(f"{number}", account="large", rank=1)
    for _ in range(10):
        vm.end_run(rooms=1)
        await asyncio.sleep(0.015)
    late = vm.selection("late", account="large", rank=1)
    started = vm.clock.now()
    assert await late.wait_for_chain() is None
    assert vm.clock.now() - started < 50
    assert vm.events[-1].outcome == "refused"
    assert late.wait_detail
    urgent = vm.selection("urgent", account="small", rank=0)
    assert urgent.told_wait_ms() < late.told_wait_ms()


# Case: the first runner of a stream could not be connected to, which took a while.
async def test_stream_after_a_failed_connection_has_its_fallback(vm, context, clock):
    for number in range(60):
        await vm.begin(f"{number}", account="large", rank=1)
    for _ in range(10):
        vm.end_run(rooms=1)
        await asyncio.sleep(0.015)
    attempts = Attempts(context.registry, 2)
    attempts.sends = 1
    progress = StreamProgress(clock, clock.now() - CAPACITY_WAIT_MS, None)
    late = vm.selection("late", attempts, progress, account="large", rank=1)
    assert await late.wait_for_chain() == "full"


async def test_refused_callers_do_not_return_together(vm):
    selection = vm.selection("a")
    told = {selection.told_wait_ms() for _ in range(50)}
    assert len(told) > 10
    assert min(told) >= 500


async def test_stream_that_does_not_wait_in_line_is_told_nothing_more(vm):
    assert vm.selection("a", is_ordered=False).told_wait_ms() == 0


async def test_streams_in_line_are_counted_by_priority(vm):
    for rank in (0, 2, 2):
        await vm.begin(f"{rank}", rank=rank)
    assert vm.ledger.own() == {("s", 0): 1, ("s", 2): 2}
    vm.end_run(rooms=3)
    await vm.settle()
    assert vm.ledger.by_rank() == {0: 0, 2: 0}


# Load pattern: for 0.8 s, streams of three priorities and of a large and some small
# accounts arrive at 1.5 times the rate at which runs end.
async def test_no_priority_and_no_small_account_is_starved_under_overload(vm):
    vm.rooms.full = None
    offered = Counter()
    for number in range(161):
        rank, account = number % 3, "large" if number % 4 else f"small-{number % 5}"
        name = f"{rank}/{account.split('-')[0]}/{number}"
        offered.update(name.split("/")[:2])
        await vm.begin(name, rank=rank, account=account)
        if number % 3:
            vm.end_run(rooms=1)
        await asyncio.sleep(0.005)
    await asyncio.gather(*vm.tasks)
    placed = Counter(part for name in vm.names for part in name.split("/")[:2])
    share = {key: placed[key] / offered[key] for key in offered}
    assert share["0"] == 1
    assert share["0"] >= share["1"] > share["2"] > 0.05, share
    assert share["small"] >= share["large"], share
