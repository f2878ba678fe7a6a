"""How long a stream waits for a chain, and which runners it avoids."""

from types import SimpleNamespace

import pytest

from heathershunt.catalog import Repeatability, Route
from heathershunt.discovery import TargetRegistry
from heathershunt.relay import CallerRequest, SuspectList
from heathershunt.relay.room import ROOM_POLL_MS, RoomGate
from heathershunt.relay.streams import _Session
from tests.pipelines import engines

ROUTE = Route("r", "h", "/r/", Repeatability.STREAM, (), 5000, 500, max_attempts=2)
REQUEST = CallerRequest("id", "POST", "h", "/r/x", (), b"", 0)


@pytest.fixture
def parts(clock):
    registry = TargetRegistry(clock, lambda target_id: None)
    suspects = SuspectList(clock)
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
