"""Mirrors, which keep a large fleet from reading the store directly."""

import pytest
from result import Err, Ok

from heathershunt.coordination import (
    Changes,
    Entry,
    MirroredStore,
    Snapshot,
    StoreError,
    StoreFailure,
    ViewMirror,
)
from heathershunt.coordination.mirror import (
    AVOID_MS,
    DIRECT_READ_MS,
    PROBE_INTERVAL_MS,
    PROBE_JITTER,
    STALE_AVOID_MS,
)
from heathershunt.coordination.revisions import join
from heathershunt.gateway.topology import MAX_VIEW_AGE_MS
from heathershunt.http import Address, HttpClient, HttpServer, correlated


class CountingStore:
    def __init__(self):
        self.watches = 0
        self.is_down = False
        self.has_history = True

    async def watch(self, prefix, revision, wait_ms):
        self.watches += 1
        if self.is_down:
            return Err(StoreError(StoreFailure.UNKNOWN, "away"))
        if not self.has_history:
            return Err(StoreError(StoreFailure.HISTORY_LOST, "history is lost"))
        return Ok(Changes((), revision))

    async def read_all(self, prefix):
        return Ok(Snapshot((), 50))


class Pair:
    """A mirror behind a listener, and a store whose reads go to the mirror."""

    def __init__(self, clock):
        self.age_ms = 100
        self.mirror = ViewMirror(lambda: self.age_ms)
        self.server = HttpServer(correlated(self.mirror.handle))
        self.store = CountingStore()
        self.addresses = []
        self.client = HttpClient()
        self.follower = MirroredStore(
            self.store,
            self.client,
            clock.now,
            lambda: self.addresses,
            lambda: MAX_VIEW_AGE_MS,
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


async def test_follower_receives_a_snapshot_and_then_changes(pair):
    pair.mirror.on_snapshot(Snapshot((entry("a", 3), entry("b", 4)), 5))
    snapshot = (await pair.follower.read_all("")).ok_value
    assert snapshot.entries == (entry("a", 3), entry("b", 4))
    assert (snapshot.revision, snapshot.age_ms) == (5, 100)
    pair.mirror.on_changes(Changes((("a", None), ("c", entry("c", 7))), 7))
    changes = (await pair.follower.watch("", 5, 1000)).ok_value
    assert set(changes.entries) == {("a", None), ("c", entry("c", 7))}
    assert (changes.revision, changes.age_ms) == (7, 100)
    assert pair.store.watches == 0


async def test_follower_receives_the_removal_of_a_key(pair):
    # Guards against a removed target that stays in the view of the followers.
    pair.mirror.on_snapshot(Snapshot((entry("a", 3),), 5))
    pair.mirror.on_changes(Changes((("a", None),), 6))
    changes = (await pair.follower.watch("", 5, 10)).ok_value
    assert changes.entries == (("a", None),)
    snapshot = (await pair.follower.read_all("")).ok_value
    assert snapshot.entries == ()


async def test_follower_whose_revision_is_no_longer_kept_reads_all_entries(pair):
    pair.mirror.on_snapshot(Snapshot((), 9))
    outcome = await pair.follower.watch("", 5, 10)
    assert outcome.err_value.failure is StoreFailure.HISTORY_LOST


async def test_view_that_is_too_old_is_not_followed(pair, clock):
    # Guards the bound on the time to apply a configuration (config_apply_ms) while the
    # followed VM has lost the store.
    pair.mirror.on_snapshot(Snapshot((), 9))
    pair.age_ms = MAX_VIEW_AGE_MS + 1
    assert (await pair.follower.watch("", 9, 10)).is_err()
    pair.age_ms = 0
    await pair.follower.watch("", 9, 10)
    assert pair.store.watches == 1
    clock.advance(AVOID_MS)
    await pair.follower.watch("", 9, 10)
    assert pair.store.watches == 1


async def test_unreachable_mirror_is_not_followed(pair):
    await pair.server.close()
    outcome = await pair.follower.watch("", 9, 10)
    assert outcome.err_value.failure is StoreFailure.REJECTED
    await pair.follower.watch("", 9, 10)
    assert pair.store.watches == 1


async def test_snapshot_older_than_the_view_is_rejected(pair):
    pair.mirror.on_snapshot(Snapshot((), 9))
    await pair.follower.watch("", 20, 10)
    assert (await pair.follower.read_all("")).is_err()
    assert (await pair.follower.read_all("")).ok_value.revision == 50


async def test_other_mirror_is_followed_when_one_is_unreachable(pair, clock):
    # Guards against a load peak: when one of three watching VMs failed, a third of a
    # large fleet would read the store at the same moment.
    pair.mirror.on_snapshot(Snapshot((), 9))
    closed = HttpServer(correlated(pair.mirror.handle))
    await closed.start("127.0.0.1", 0)
    pair.addresses = [Address("127.0.0.1", closed.port), *pair.addresses]
    await closed.close()
    failures = 0
    for _ in range(20):
        failures += (await pair.follower.watch("", 9, 10)).is_err()
    assert failures <= 1
    assert pair.store.watches == 0


async def test_outage_of_the_store_costs_few_calls_in_a_large_fleet(pair, clock):
    # Guards against a large fleet whose VMs all keep calling the store in an outage of
    # eight seconds, as each call is billed.
    pair.mirror.on_snapshot(Snapshot((), 9))
    pair.age_ms = MAX_VIEW_AGE_MS + 1
    pair.store.is_down = True
    for _ in range(80):
        assert (await pair.follower.watch("", 9, 10)).is_err()
        clock.advance(100)
    assert pair.store.watches <= 8000 // (PROBE_INTERVAL_MS * PROBE_JITTER) + 1


async def test_end_of_an_outage_is_learned_from_the_mirrors(pair, clock):
    pair.mirror.on_snapshot(Snapshot((), 9))
    pair.age_ms = MAX_VIEW_AGE_MS + 1
    pair.store.is_down = True
    await pair.follower.watch("", 9, 10)
    await pair.follower.watch("", 9, 10)
    pair.age_ms = 0
    clock.advance(STALE_AVOID_MS)
    assert (await pair.follower.watch("", 9, 10)).is_ok()
    assert pair.store.watches == 1


@pytest.fixture
async def stale_mirrors(pair, clock):
    """Three mirrors that answer, but with a view that is too old."""
    pair.mirror.on_snapshot(Snapshot((), 9))
    pair.age_ms = MAX_VIEW_AGE_MS + 1
    servers = [HttpServer(correlated(pair.mirror.handle)) for _ in range(2)]
    for server in servers:
        await server.start("127.0.0.1", 0)
        pair.addresses.append(Address("127.0.0.1", server.port))
    yield servers
    for server in servers:
        await server.close()


async def test_store_is_read_when_the_mirrors_are_stale(pair, clock, stale_mirrors):
    # A third of a large fleet, with the watching VMs, is cut off from the store. Guards
    # against the other VMs trying one mirror after the other for that time, while they
    # serve an outdated configuration.
    outcomes = []
    for _ in range(10):
        outcomes.append(await pair.follower.watch("", 9, 10))
        clock.advance(60)
    assert all(outcome.is_ok() for outcome in outcomes[2:])
    assert pair.store.watches == 8


async def test_mirrors_are_followed_again_when_their_views_are_fresh(
    pair, clock, stale_mirrors
):
    # Guards against a fleet that keeps reading the store after such a partition.
    for _ in range(5):
        await pair.follower.watch("", 9, 10)
    pair.age_ms = 0
    clock.advance(DIRECT_READ_MS)
    pair.store.watches = 0
    assert (await pair.follower.watch("", 9, 10)).is_ok()
    assert pair.store.watches == 0


async def test_mirrors_are_read_while_this_vm_cannot_reach_the_store(
    pair, clock, stale_mirrors
):
    # Guards against a VM that is cut off from the store and reads no mirror either.
    pair.store.is_down = True
    for _ in range(4):
        await pair.follower.watch("", 9, 10)
    pair.age_ms = 0
    clock.advance(STALE_AVOID_MS)
    assert (await pair.follower.watch("", 9, 10)).is_ok()
    assert pair.store.watches == 1


async def test_vm_without_mirrors_calls_the_store_each_time(pair):
    # Guards against a needlessly old view after a failed call in a small fleet, where
    # every VM watches the store itself.
    pair.addresses = []
    pair.store.is_down = True
    await pair.follower.watch("", 9, 10)
    pair.store.is_down = False
    assert (await pair.follower.watch("", 9, 10)).is_ok()


async def test_entries_are_read_at_once_when_the_history_is_lost(pair):
    # Guards against a delay of the read although the store has just answered.
    pair.addresses = [Address("127.0.0.1", 9)]
    pair.store.has_history = False
    for _ in range(2):
        await pair.follower.watch("", 9, 10)
    assert (await pair.follower.read_all("")).ok_value.revision == 50


# Guards against followers that miss what was written after the store was restored, as
# the mirror has reached their revision again.
async def test_follower_reads_all_entries_after_the_store_was_restored(pair):
    pair.mirror.on_snapshot(Snapshot((entry("a", join(1, 3)),), join(1, 90)))
    before = (await pair.follower.read_all("")).ok_value
    restored = entry("a", join(2, 60))
    pair.mirror.on_snapshot(Snapshot((restored,), join(2, 95)))
    outcome = await pair.follower.watch("", before.revision, 10)
    assert outcome.err_value.failure is StoreFailure.HISTORY_LOST
    assert (await pair.follower.read_all("")).ok_value.entries == (restored,)


async def test_mirror_that_has_not_seen_the_restoration_is_not_followed(pair):
    pair.mirror.on_snapshot(Snapshot((), join(1, 90)))
    outcome = await pair.follower.watch("", join(2, 60), 10)
    assert outcome.err_value.failure is StoreFailure.REJECTED
