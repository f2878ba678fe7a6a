"""Claims of the leader's key."""

import asyncio

import pytest

from heathershunt.coordination import Leadership, LeadershipConfig

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
