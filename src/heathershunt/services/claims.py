"""Claims of keys that callers chose: the value of a shard in the store; no I/O."""

import hashlib
from collections.abc import Iterable, Mapping
from typing import Annotated, NamedTuple

import cbor2
import msgspec

from heathershunt.schema.cbor import decode_cbor
from heathershunt.schema.decoding import MalformedError, decode_untrusted
from heathershunt.schema.fields import Text, Whole
from heathershunt.services.table import DEDUPLICATION_WINDOW_MS

# All VMs must map a key to the same shard, or a key could be claimed twice. The count
# is therefore the same in all processes and part of the store key. With more shards,
# a write repeats fewer other claims; with fewer, batches are larger.
CLAIM_SHARDS = 64
# A claim is retained longer than the answer, by the longest call and the largest clock
# skew between two VMs.
MAX_CALL_MS = 60_000
MAX_CLOCK_SKEW_MS = 5_000
CLAIM_RETENTION_MS = DEDUPLICATION_WINDOW_MS + MAX_CALL_MS + MAX_CLOCK_SKEW_MS
# The store accepts values of up to a megabyte. An encoded claim has at most 128 bytes
# with a VM name of 64 bytes.
MAX_CLAIMS_PER_SHARD = 7_000
HASH_BYTES = 16
MAX_HASH_BYTES = 64

Hash = Annotated[bytes, msgspec.Meta(max_length=MAX_HASH_BYTES)]


class Claim(NamedTuple):
    """The right of one incarnation of a VM to start the call of one key.

    :param key: hash of account and key.
    :param request: hash of the request.
    :param nonce: identifies the attempt that wrote the claim.
    :param at_ms: wall time of the claim, in milliseconds.

    .. versionadded:: 0.1
    """

    key: Hash
    request: Hash
    vm: Text
    incarnation: Whole
    nonce: Hash
    at_ms: Whole


def key_hash(account: str, key: str) -> bytes:
    """Return the hash under which a key is claimed."""
    text = f"{account}\0{key}".encode("utf-8", "surrogateescape")
    return hashlib.sha256(text).digest()[:HASH_BYTES]


def shard_of(key: bytes, shards: int = CLAIM_SHARDS) -> int:
    """Return the number of the shard that holds a key hash."""
    return int.from_bytes(key[:4], "big") % shards


def shard_key(shard: int, shards: int = CLAIM_SHARDS) -> str:
    """Return the store key of a shard."""
    return f"claims/{shard}of{shards}"


def encode_shard(claims_by_key: Mapping[bytes, Claim]) -> bytes:
    """Return the store value of a shard."""
    return cbor2.dumps(list(claims_by_key.values()))


def decode_shard(value: bytes | None) -> dict[bytes, Claim]:
    """Return the claims in a store value, by key hash.

    :raises ValueError: if the value is malformed.
    """
    if value is None:
        return {}
    try:
        claims = decode_untrusted(_decode_claims, value)
    except MalformedError as error:
        raise ValueError(f"malformed shard of claims: {error}") from None
    return {claim.key: claim for claim in claims}


def _decode_claims(value: bytes) -> list[Claim]:
    return msgspec.convert(decode_cbor(value), list[Claim], builtin_types=(bytes,))


def merge_claims(
    held: Mapping[bytes, Claim],
    wanted: Iterable[Claim],
    wall: int,
    max_claims: int = MAX_CLAIMS_PER_SHARD,
) -> tuple[dict[bytes, Claim], set[bytes]]:
    """Add claims to those held and remove the expired ones.

    :param wall: wall time in milliseconds.
    :return: the new claims by key, and the nonces of the claims refused because the
        shard is full. The holder of a wanted key is the claim under that key.
    """
    oldest = wall - CLAIM_RETENTION_MS
    merged = {key: claim for key, claim in held.items() if claim.at_ms > oldest}
    refused: set[bytes] = set()
    for claim in wanted:
        if claim.key in merged:
            continue
        if len(merged) >= max_claims:
            refused.add(claim.nonce)
        else:
            merged[claim.key] = claim
    return merged, refused
