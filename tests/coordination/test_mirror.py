"""Views that VMs pass on, so that the store is not asked by a whole fleet."""

import pytest
from result import Ok

from heathershunt.coordination import (
    Changes,
    Entry,
    FollowingStore,
    Snapshot,
    StoreFailure,
    ViewMirror,
)
from heathershunt.coordination.mirror import AVOID_MS, MOST_AGE_MS
from heathershunt.http import Address, HttpClient, HttpServer


class CountingStore:
    def __init__(self):
        self.watches = 0

    async def watch(self, prefix, revision, wait_ms):
        self.watches += 1
        return Ok(Changes((), revision))

    async def read_all(self, prefix):
        return Ok(Snapshot((), 50))


class Pair:
    """A mirror behind a listener, and a store that follows it."""

    def __init__(self, clock):
        self.age_ms = 100
        self.mirror = ViewMirror(lambda: self.age_ms)
        self.server = HttpServer(self.mirror.handle)
        self.store = CountingStore()
        self.addresses = []
        self.client = HttpClient()
        self.follower = FollowingStore(
            self.store, self.client, clock.now, lambda: self.addresses
        )

    async def start(self):
        await self.server.start("127.0.0.1", 0)
        self.addresses = [Address("127.0.0.1", self.server.port)]

    async def stop(self):
        self.client.close()
        await self.server.close()


@pytest.fixture
async def pair(clock):
    pair = Pair(clock)
    await pair.start()
    yield pair
    await pair.stop()


def entry(key, revision):
    return Entry(key, b"%d" % revision, revision)


async def test_follower_gets_the_list_and_then_the_changes(pair):
    pair.mirror.on_snapshot(Snapshot((entry("a", 3), entry("b", 4)), 5))
    snapshot = (await pair.follower.read_all("")).ok_value
    assert snapshot.entries == (entry("a", 3), entry("b", 4))
    assert (snapshot.revision, snapshot.age_ms) == (5, 100)
    pair.mirror.on_changes(Changes((("a", None), ("c", entry("c", 7))), 7))
    changes = (await pair.follower.watch("", 5, 1000)).ok_value
    assert set(changes.entries) == {("a", None), ("c", entry("c", 7))}
    assert (changes.revision, changes.age_ms) == (7, 100)
    assert pair.store.watches == 0


async def test_removal_is_passed_on_to_those_who_saw_the_key(pair):
    # Guards against a target that is gone everywhere but at the followers.
    pair.mirror.on_snapshot(Snapshot((entry("a", 3),), 5))
    pair.mirror.on_changes(Changes((("a", None),), 6))
    changes = (await pair.follower.watch("", 5, 10)).ok_value
    assert changes.entries == (("a", None),)
    snapshot = (await pair.follower.read_all("")).ok_value
    assert snapshot.entries == ()


async def test_follower_whose_revision_is_forgotten_reads_everything_again(pair):
    pair.mirror.on_snapshot(Snapshot((), 9))
    outcome = await pair.follower.watch("", 5, 10)
    assert outcome.err_value.failure is StoreFailure.HISTORY_LOST


async def test_view_that_is_too_old_is_not_followed(pair, clock):
    # Guards the time for a new configuration while the followed VM has lost the store.
    pair.mirror.on_snapshot(Snapshot((), 9))
    pair.age_ms = MOST_AGE_MS + 1
    assert (await pair.follower.watch("", 9, 10)).is_err()
    pair.age_ms = 0
    await pair.follower.watch("", 9, 10)
    assert pair.store.watches == 1
    clock.advance(AVOID_MS)
    await pair.follower.watch("", 9, 10)
    assert pair.store.watches == 1


async def test_vm_that_is_gone_is_not_followed(pair):
    await pair.server.close()
    outcome = await pair.follower.watch("", 9, 10)
    assert outcome.err_value.failure is StoreFailure.REJECTED
    await pair.follower.watch("", 9, 10)
    assert pair.store.watches == 1


async def test_list_older_than_what_was_seen_is_not_taken(pair):
    pair.mirror.on_snapshot(Snapshot((), 9))
    await pair.follower.watch("", 20, 10)
    assert (await pair.follower.read_all("")).is_err()
    assert (await pair.follower.read_all("")).ok_value.revision == 50


async def test_other_mirror_is_followed_when_one_is_gone(pair, clock):
    # The load: one of three watching VMs is lost, and a third of a large fleet turns to
    # the store at the same moment.
    pair.mirror.on_snapshot(Snapshot((), 9))
    gone = HttpServer(pair.mirror.handle)
    await gone.start("127.0.0.1", 0)
    pair.addresses = [Address("127.0.0.1", gone.port), *pair.addresses]
    await gone.close()
    failures = 0
    for _ in range(20):
        failures += (await pair.follower.watch("", 9, 10)).is_err()
    assert failures <= 1
    assert pair.store.watches == 0
