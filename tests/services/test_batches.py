import asyncio

import pytest
from result import Ok

from heathershunt.clock import ManualClock, Millis
from heathershunt.services.batches import ClaimBatcher, ClaimFailure
from heathershunt.services.claims import (
    CLAIM_RETENTION_MS,
    MAX_CLOCK_SKEW_MS,
    Claim,
    decode_shard,
    key_hash,
    merge_claims,
    shard_key,
)
from tests.services.doubles import DirectForwarder, FaultyStore, Vm

DEADLINE = Millis(60_000)


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


async def test_claims_of_one_shard_are_written_in_one_swap(make, store):
    batcher = make()
    claims = [claim(f"k{index}") for index in range(50)]
    assert await asyncio.gather(*(batcher.claim(c, DEADLINE) for c in claims)) == [
        Ok(c) for c in claims
    ]
    assert store.swaps == 1


@pytest.mark.parametrize("fault", ["lost", "dropped", "late"])
async def test_unknown_swap_outcome_is_resolved_by_reading_back(make, store, fault):
    store.faults = [fault]
    assert await make().claim(claim("k"), DEADLINE) == Ok(claim("k"))
    assert list(decode_shard(store.stored_by_key[shard_key(0, 1)].value).values()) == [
        claim("k")
    ]


async def test_racing_claims_return_the_claim_that_was_written(make):
    first, second = claim("k", "vm1"), claim("k", "vm2")
    results = await asyncio.gather(
        make().claim(first, DEADLINE), make().claim(second, DEADLINE)
    )
    assert results in ([Ok(first)] * 2, [Ok(second)] * 2)


async def test_expired_claims_are_removed_in_the_same_swap(make, clock, store):
    batcher = make()
    await batcher.claim(claim("old"), DEADLINE)
    clock.advance(CLAIM_RETENTION_MS)
    new = claim("new", at_ms=clock.wall())
    await batcher.claim(new, Millis(clock.now() + 500))
    held = decode_shard(store.stored_by_key[shard_key(0, 1)].value)
    assert list(held.values()) == [new]


async def test_old_claim_of_a_cached_shard_is_read_again(make, clock, store):
    """Guards against using a cached claim that a VM with a clock ahead has replaced."""
    batcher, ahead_clock = make(), ManualClock(wall=1_000_000 + MAX_CLOCK_SKEW_MS)
    await batcher.claim(claim("k"), DEADLINE)
    for each in (clock, ahead_clock):
        each.advance(CLAIM_RETENTION_MS - MAX_CLOCK_SKEW_MS)
    deadline = Millis(clock.now() + 500)
    new = claim("k", "vm2", ahead_clock.wall())
    other = ClaimBatcher(store, ahead_clock, shards=1, window_ms=0)
    assert await other.claim(new, deadline) == Ok(new)
    assert await batcher.claim(claim("k", at_ms=clock.wall()), deadline) == Ok(new)


async def test_full_shard_refuses_new_claims(make):
    batcher = make(max_claims=1)
    results = [await batcher.claim(claim(name), DEADLINE) for name in "abc"]
    assert [result.is_ok() for result in results] == [True, False, False]
    assert results[2].err_value is ClaimFailure.FULL


async def test_unavailable_store_refuses_claims_without_a_swap(make, store):
    store.is_unavailable = True
    batcher = make()
    for _ in range(2):
        result = await batcher.claim(claim("k"), DEADLINE)
        assert result.err_value is ClaimFailure.STORE_UNAVAILABLE
    assert store.swaps == 0


@pytest.mark.parametrize(("lost", "alive"), [(0, True), (1, True), (0, False)])
async def test_claims_succeed_with_and_without_the_home(clock, store, lost, alive):
    """Guards against a claim that is lost or blocked if its home or a reply is lost."""
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
            assert await vm.keyed.claims.claim(wanted, DEADLINE) == Ok(wanted)
    swap_conflicts = sum(vm.batcher.swap_conflicts for vm in vms_by_name.values())
    assert (swap_conflicts == 0) == (alive and not lost)


def test_merge_keeps_the_first_claim_of_a_key():
    held = {claim("k").key: claim("k")}
    merged, refused = merge_claims(held, [claim("k", "vm2")], 1_000_000)
    assert (merged, refused) == (held, set())
