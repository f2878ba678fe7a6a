"""How long a stream waits for a chain, and which runners it avoids."""

from types import SimpleNamespace

import pytest

from heathershunt.catalog import Repeatability, Route
from heathershunt.discovery import TargetRegistry
from heathershunt.relay import CallerRequest, SuspectList
from heathershunt.relay.events import StreamEvent
from heathershunt.relay.room import ROOM_POLL_MS, RoomGate
from heathershunt.relay.streams import _Session
from tests.pipelines import engines

ROUTE = Route("r", "h", "/r/", Repeatability.STREAM, (), 5000, 500, max_attempts=2)
REQUEST = CallerRequest("id", "POST", "h", "/r/x", (), b"", 0)


@pytest.fixture
def parts(clock):
    registry = TargetRegistry(clock, lambda target_id: None)
    suspects = SuspectList(clock, print)
    return SimpleNamespace(clock=clock, registry=registry, suspects=suspects)


@pytest.fixture
def session(parts):
    room = RoomGate(parts.clock)
    return _Session(parts, room, REQUEST, ROUTE, "s", engines.engine(), None, 5000)


class FullChooser:
    """Has room for a chain only after some questions.

    :param full_for: questions until there is room; ``None`` for never.
    """

    def __init__(self, full_for, has_layers=True):
        self.full_for = full_for
        self.has_layers = has_layers
        self.asked = 0

    def choose(self, engine, runners, job, vms, avoided, heads=None, needs_room=False):
        self.asked += needs_room
        is_full = self.full_for is None or self.asked <= self.full_for
        if not self.has_layers or (needs_room and is_full):
            return None
        return "chain"


@pytest.fixture
def ask(session, parts, monkeypatch):
    """Return a coroutine function that asks for a chain with a chooser."""
    parts.vms = lambda: 1

    async def sleep(seconds):
        parts.clock.advance(int(seconds * 1000))

    monkeypatch.setattr("heathershunt.relay.streams.asyncio.sleep", sleep)

    async def ask(chooser):
        parts.chooser = chooser
        return await session._wait_for_chain(), parts.clock.now()

    return ask


async def test_stream_waits_for_room_while_it_may_still_start(ask):
    # The load: memory of all chains is full for a moment, as after a runner died.
    chain, now = await ask(FullChooser(full_for=3))
    assert chain == "chain"
    assert 0 < now < 500


async def test_stream_is_sent_all_the_same_before_it_would_start_too_late(ask):
    # Guards against a VM that refuses everything because it still counts the streams
    # of VMs that were killed.
    chain, now = await ask(FullChooser(full_for=None))
    assert chain == "chain"
    assert now <= 500


async def test_stream_for_which_layers_are_missing_is_refused_at_once(ask):
    assert await ask(FullChooser(full_for=None, has_layers=False)) == (None, 0)


async def test_stream_that_has_begun_goes_on_where_there_is_least_lack(session, ask):
    session._attempts.sends = 1
    chain, _ = await ask(FullChooser(full_for=None))
    assert chain == "chain"


class LastHolders:
    """Holders of the last layers, all without room; the least loaded one is chosen."""

    def __init__(self, *ids):
        self.ids = ids

    def choose(self, engine, runners, job, vms, avoided, heads=None, needs_room=False):
        left = [name for name in self.ids if name not in avoided]
        return left[0] if left and not needs_room else None


@pytest.fixture
def holders(session, parts):
    """Put two runners that hold the last layers; the first one has no load."""
    runners = engines.runner(1), engines.runner(2)
    for runner in runners:
        parts.registry.put(runner)
    return runners


async def test_full_runner_goes_before_one_that_gives_no_report(ask, parts, holders):
    # The load: one of two holders of the last layers dies during a burst, and the
    # other has no room. Sent to the dead one, streams are rejected until the budget
    # of repeats is gone.
    dead, full = holders
    parts.suspects.blame(dead)
    chain, _ = await ask(LastHolders(dead.id, full.id))
    assert chain == full.id


async def test_blamed_runner_is_tried_where_there_is_no_other(ask, parts, holders):
    # Guards against refusals because of a report that came too late.
    dead, _ = holders
    parts.suspects.blame(dead)
    chain, _ = await ask(LastHolders(dead.id))
    assert chain == dead.id


async def test_stream_is_not_sent_where_one_was_just_rejected(ask, parts, holders):
    # Guards against eight sends within a tenth of a second to a dead runner.
    rejecting, _ = holders
    parts.suspects.pause(rejecting, 10_000)
    chain, now = await ask(LastHolders(rejecting.id))
    assert chain is None
    assert now <= 500


async def test_stream_that_has_begun_waits_out_a_rejection(
    session, ask, parts, holders
):
    rejecting, _ = holders
    session._progress.take([StreamEvent(1, b"id: 1\n\n")])
    parts.suspects.pause(rejecting, 700)
    chain, now = await ask(LastHolders(rejecting.id))
    assert chain == rejecting.id
    assert 700 <= now <= 800


def test_many_waiting_streams_cost_one_search_at_a_time(clock):
    # The load: one VM is left and a hundred streams wait; each search takes some
    # milliseconds of its processor.
    gate = RoomGate(clock)
    searches = 0
    for _ in range(10):
        for _ in range(100):
            if gate.may_look("s"):
                searches += 1
                gate.note_full("s")
        clock.advance(ROOM_POLL_MS)
    assert searches == 10


def test_runner_that_may_have_left_during_an_outage_is_avoided(session, parts):
    # Guards against rejections that use up the repeats right after an outage.
    kept, missing = engines.runner(1), engines.runner(2)
    parts.registry.put(kept)
    parts.registry.put(missing)
    parts.registry.store_returned()
    parts.registry.remove(missing.id)
    assert session._suspects() == {missing.id}


def test_blamed_runner_still_counts_as_an_attempt(session, parts):
    # Guards against a third run after a report of a living runner came too late.
    first, second = engines.runner(1), engines.runner(2)
    for runner in (first, second):
        parts.registry.put(runner)
        session._attempts.note_head(runner)
    parts.suspects.blame(first)
    assert session._attempts.heads_left() == {first.id, second.id}
