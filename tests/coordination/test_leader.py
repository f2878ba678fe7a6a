"""Claims of the leader's key."""

import asyncio

import pytest

from heathershunt.coordination import Leadership, LeadershipConfig
from heathershunt.coordination.store import Expectation

PAUSE_MS = 2500


class Keeper:
    """A lease that is always valid."""

    lease = 7
    is_valid = True


class RecordingStore:
    def __init__(self):
        self.claims = 0

    async def commit(self, expectations, values):
        self.claims += 1
        raise asyncio.CancelledError


@pytest.fixture
def store():
    return RecordingStore()


@pytest.fixture
def leadership(store, clock):
    config = LeadershipConfig("leader", poll_ms=1, jitter_ms=0)
    return Leadership(store, Keeper(), clock, config, "vm-1", lambda: None, print)


async def run_briefly(leadership):
    try:
        async with asyncio.timeout(0.05):
            await leadership.run()
    except (TimeoutError, asyncio.CancelledError):
        pass


# Guards against two leaders: the one from before a restoration may not know of it yet.
async def test_no_claim_follows_a_restoration_at_once(leadership, store, clock):
    leadership.pause_claims(PAUSE_MS)
    await run_briefly(leadership)
    assert store.claims == 0
    clock.advance(PAUSE_MS)
    await run_briefly(leadership)
    assert store.claims == 1


@pytest.mark.parametrize("value", [b"", b"\xff", b"vm-2", b"/7", b"vm-2/x", b"[" * 999])
async def test_key_of_another_writer_is_claimed(store, clock, value):
    # Guards against runners that nobody plans for any longer: a value of another writer
    # has no lease that ends, so the key was never free again.
    expected = []

    async def commit(expectations, values):
        expected.extend(expectations)
        raise asyncio.CancelledError

    store.commit = commit
    config = LeadershipConfig("leader", poll_ms=1, jitter_ms=0)
    leadership = Leadership(
        store, Keeper(), clock, config, "vm-1", lambda: (value, 5), print
    )
    await run_briefly(leadership)
    assert expected == [Expectation("leader", 5)]


async def test_key_of_another_leader_is_left_alone(store, clock):
    config = LeadershipConfig("leader", poll_ms=1, jitter_ms=0)
    held = (b"vm-2/7", 5)
    leadership = Leadership(store, Keeper(), clock, config, "vm-1", lambda: held, print)
    await run_briefly(leadership)
    assert store.claims == 0
