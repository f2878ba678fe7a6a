"""The daemon's store client while the store is restored from a copy."""

import asyncio

import pytest

from heathershunt.clock import Millis, SystemClock
from heathershunt.http import Address, HttpClient
from heathershunt.placement.lease import LeaseKeeper
from heathershunt.services.batches import ClaimBatcher
from heathershunt.services.claims import Claim, key_hash
from heathershunt.store import KeyValueStore, StoreFailure
from standins.platform import Platform


@pytest.fixture
async def platform():
    platform = Platform()
    await platform.start()
    yield platform
    await platform.http.close()


@pytest.fixture
def store(platform):
    return KeyValueStore(HttpClient(), (Address("127.0.0.1", platform.http.port),))


async def put(store, key, value):
    current = (await store.get(key)).unwrap()
    return (await store.swap(key, value, current.revision)).unwrap().current


# Guards against a bundle that is not fetched, as its revision was passed again.
@pytest.mark.parametrize("passed", [0, 5])
async def test_watch_after_a_restoration_sees_what_was_written_since(
    platform, store, passed
):
    copy = platform.copy()
    for number in range(3):
        await put(store, "root", b"old %d" % number)
    _, revision = (await store.watch("root", 0, 10)).unwrap()
    await platform.restore(copy)
    await put(store, "root", b"new")
    for number in range(passed):
        await put(store, f"other {number}", b"x")
    events, after = (await store.watch("root", revision, 10)).unwrap()
    assert [event.value for event in events] == [b"new"]
    assert after > revision


async def test_watch_that_waits_through_a_restoration_is_repeated(platform, store):
    await put(store, "root", b"old")
    _, revision = (await store.watch("root", 0, 10)).unwrap()
    await platform.restore(platform.copy())
    outcome = await store.watch("root", revision, 10)
    assert outcome.unwrap_err().kind is StoreFailure.UNAVAILABLE


async def test_swap_at_a_revision_from_before_does_nothing(platform, store):
    copy = platform.copy()
    before = await put(store, "key", b"1")
    await platform.restore(copy)
    await put(store, "key", b"2")
    swapped = (await store.swap("key", b"3", before.revision)).unwrap()
    assert not swapped.done
    assert swapped.current.value == b"2"


async def test_lease_from_before_has_lapsed(platform, store):
    lease = (await store.grant_lease(5000)).unwrap()
    await platform.restore(platform.copy())
    for _ in range(2):
        kept = await store.keep_alive(lease)
        assert kept.unwrap_err().kind is StoreFailure.LEASE_LAPSED
    swapped = await store.swap("key", b"1", 0, lease)
    assert swapped.unwrap_err().kind is StoreFailure.LEASE_LAPSED


# Guards against orders that runners reject as outdated.
async def test_fencing_tokens_of_placement_grow(platform, store):
    copy = platform.copy()
    for number in range(20):
        await put(store, f"other {number}", b"x")

    async def acquire():
        keeper = LeaseKeeper(store, SystemClock(), "m", "vm1", 5000)
        return (await keeper.acquire_or_renew()).revision

    before = await acquire()
    await platform.restore(copy)
    assert await acquire() > before


def claim(nonce, clock):
    return Claim(key_hash("a", "k"), b"r" * 16, "vm1", 1, nonce, clock.wall())


# Guards against a booking that runs twice: the store has lost who holds its key.
async def test_claim_that_the_store_lost_still_holds_its_key(platform, store):
    clock = SystemClock()
    batcher = ClaimBatcher(store, clock)
    copy = platform.copy()
    first = claim(b"first", clock)
    deadline = Millis(clock.now() + 2000)
    assert (await batcher.claim(first, deadline)).unwrap() == first
    store.on_restored = batcher.on_store_restored
    await platform.restore(copy)
    again = (await batcher.claim(claim(b"again", clock), deadline)).unwrap()
    assert again == first
    await store.get("any")
    await asyncio.sleep(0.2)
    # Another VM, which has not seen the claim, finds it in the store again.
    other = ClaimBatcher(store, clock)
    assert (await other.claim(claim(b"other", clock), deadline)).unwrap() == first
