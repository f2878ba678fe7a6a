import asyncio

import pytest
from result import Ok

from heathershunt.clock import ManualClock, Millis
from heathershunt.services.batches import ClaimBatcher, ClaimFailure
from heathershunt.services.claims import (
    CLAIM_RETENTION_MS,
    CLOCK_DIFFERENCE_MS,
    Claim,
    decode_shard,
    key_hash,
    merge_claims,
    shard_key,
)
from tests.services.doubles import DirectForwarder, FaultyStore, Vm

LATER = Millis(60_000)


def claim(name, vm="vm1", at_ms=1_000_000):
    hashed = key_hash("parish", name)
    return Claim(hashed, b"r" * 16, vm, 1, f"{vm}{name}".encode(), at_ms)


@pytest.fixture
def store():
    return FaultyStore()


@pytest.fixture
def make(store, clock):
    return lambda **options: ClaimBatcher(
        store, clock, **{"window_ms": 1, "shards": 1} | options
    )


async def test_claims_of_one_shard_share_one_write(make, store):
    batcher = make()
    claims = [claim(f"k{index}") for index in range(50)]
    assert await asyncio.gather(*(batcher.claim(c, LATER) for c in claims)) == [
        Ok(c) for c in claims
    ]
    assert store.swaps == 1


@pytest.mark.parametrize("fault", ["lost", "dropped", "late"])
async def test_unknown_outcome_is_settled_by_reading_back(make, store, fault):
    store.faults = [fault]
    assert await make().claim(claim("k"), LATER) == Ok(claim("k"))
    assert list(decode_shard(store.stored_by_key[shard_key(0, 1)].value).values()) == [
        claim("k")
    ]


async def test_lost_race_gives_the_claim_of_the_winner(make):
    first, second = claim("k", "vm1"), claim("k", "vm2")
    results = await asyncio.gather(
        make().claim(first, LATER), make().claim(second, LATER)
    )
    assert results in ([Ok(first)] * 2, [Ok(second)] * 2)


async def test_expired_claims_leave_in_the_same_swap(make, clock, store):
    batcher = make()
    await batcher.claim(claim("old"), LATER)
    clock.advance(CLAIM_RETENTION_MS)
    new = claim("new", at_ms=clock.wall())
    await batcher.claim(new, Millis(clock.now() + 500))
    held = decode_shard(store.stored_by_key[shard_key(0, 1)].value)
    assert list(held.values()) == [new]


async def test_old_claim_of_a_copy_is_read_again(make, clock, store):
    """A VM whose clock is ahead may have replaced it by the claim of another call."""
    batcher, ahead = make(), ManualClock(wall=1_000_000 + CLOCK_DIFFERENCE_MS)
    await batcher.claim(claim("k"), LATER)
    for one in (clock, ahead):
        one.advance(CLAIM_RETENTION_MS - CLOCK_DIFFERENCE_MS)
    late = Millis(clock.now() + 500)
    new = claim("k", "vm2", ahead.wall())
    other = ClaimBatcher(store, ahead, shards=1, window_ms=0)
    assert await other.claim(new, late) == Ok(new)
    assert await batcher.claim(claim("k", at_ms=clock.wall()), late) == Ok(new)


async def test_full_shard_refuses(make):
    batcher = make(max_claims=1)
    results = [await batcher.claim(claim(name), LATER) for name in "abc"]
    assert [result.is_ok() for result in results] == [True, False, False]
    assert results[2].err_value is ClaimFailure.FULL


async def test_store_out_is_refused_at_once_and_then_without_a_call(make, store):
    store.is_out = True
    batcher = make()
    for _ in range(2):
        result = await batcher.claim(claim("k"), LATER)
        assert result.err_value is ClaimFailure.STORE_OUT
    assert store.swaps == 0


@pytest.mark.parametrize(("lost", "alive"), [(0, True), (1, True), (0, False)])
async def test_claims_through_the_home_or_without_it(clock, store, lost, alive):
    """A home that dies, or whose reply is lost, must not cost or block a claim."""
    vms_by_name = {name: Vm(name, clock, store) for name in ("vm1", "vm2")}
    relay = DirectForwarder(dict(vms_by_name))
    for vm in vms_by_name.values():
        vm.keyed.claims.vms, vm.keyed.claims.relay = lambda: ["vm1", "vm2"], relay
    if not alive:
        relay.vms_by_name.clear()
    for index in range(60):
        for name, vm in vms_by_name.items():
            relay.lose_claims = lost
            wanted = claim(f"{name}{index}", name)
            assert await vm.keyed.claims.claim(wanted, LATER) == Ok(wanted)
    lost_swaps = sum(vm.batcher.lost_swaps for vm in vms_by_name.values())
    assert (lost_swaps == 0) == (alive and not lost)


def test_merge_keeps_the_first_claim_of_a_key():
    held = {claim("k").key: claim("k")}
    merged, refused = merge_claims(held, [claim("k", "vm2")], 1_000_000)
    assert (merged, refused) == (held, set())
