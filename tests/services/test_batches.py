import asyncio

import pytest
from result import Ok

from heathershunt.clock import Millis
from heathershunt.services.batches import ClaimBatcher, ClaimFailure
from heathershunt.services.claims import (
    CLAIM_RETENTION_MS,
    Claim,
    decode_shard,
    key_hash,
    merge_claims,
    shard_key,
)
from tests.services.doubles import FaultyStore

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


async def test_full_shard_refuses(make):
    batcher = make(max_shard_bytes=100)
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


def test_merge_keeps_the_first_claim_of_a_key():
    held = {claim("k").key: claim("k")}
    merged, refused = merge_claims(held, [claim("k", "vm2")], 1_000_000)
    assert (merged, refused) == (held, set())
