"""Odd values in the store in place of claims."""

import logbook
import pytest
from result import Err, Ok

from heathershunt.clock import Millis
from heathershunt.services.batches import ClaimBatcher, ClaimFailure
from heathershunt.services.claims import (
    Claim,
    decode_shard,
    encode_shard,
    shard_key,
)
from heathershunt.store import StoredValue
from tests.services.doubles import FaultyStore

CLAIM = Claim(b"k" * 16, b"r" * 16, "vm1", 5, b"n", 1_700_000_000_000)
ODD_SHARDS = [
    b"\x81" * 5000,
    b"\x82",
    b"\x07",
    b"\x81\x07",
    b"\x81\x66abcdef",
    b"\xa1\x01\x02",
    *(
        encode_shard({b"k": CLAIM, b"o": CLAIM._replace(**changes)})
        for changes in (
            {"at_ms": "x"},
            {"at_ms": -1},
            {"at_ms": 2**70},
            {"key": [1]},
            {"key": "text"},
            {"vm": "x" * 5000},
            {"vm": 5},
            {"incarnation": 2**80},
            {"nonce": None},
        )
    ),
]


@pytest.mark.parametrize("value", ODD_SHARDS, ids=lambda value: repr(value)[:30])
def test_odd_shard_of_claims_is_malformed(value):
    # Guards against an error that ends the task which writes claims. A claim must not
    # be left out either: its call would run a second time.
    with pytest.raises(ValueError, match="malformed"):
        decode_shard(value)


def test_sound_shard_is_decoded():
    assert decode_shard(encode_shard({CLAIM.key: CLAIM})) == {CLAIM.key: CLAIM}


@pytest.mark.parametrize("value", ODD_SHARDS, ids=lambda value: repr(value)[:30])
async def test_odd_shard_refuses_its_claims_until_it_is_mended(clock, value):
    # Guards against claims that no VM ever settles again, and a line for each of them.
    store = FaultyStore()
    batcher = ClaimBatcher(store, clock, window_ms=0, shards=1)
    store.stored_by_key[shard_key(0, 1)] = StoredValue(shard_key(0, 1), value, 7)
    with logbook.TestHandler() as lines:
        for _ in range(3):
            outcome = await batcher.claim(CLAIM, Millis(60_000))
            assert outcome == Err(ClaimFailure.STORE_UNAVAILABLE)
    assert len(lines.records) == 1
    store.stored_by_key.clear()
    clock.advance(1000)
    assert await batcher.claim(CLAIM, Millis(60_000)) == Ok(CLAIM)
