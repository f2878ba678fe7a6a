"""Acceptance of a bundle: parts first, then one compare-and-swap on the root."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Mapping
from typing import TypeVar

from result import Err, Ok, Result

from heathershunt.bundle import BundleError, SignedRoot, decode_root
from heathershunt.bundle.parts import encode_signed_root
from heathershunt.store.client import KeyValueStore, Stored, StoreError, StoreFailure

BUNDLE_ROOT_KEY = "bundle/root"
RATE_LIMIT_TRIES = 5
RATE_LIMIT_DELAY_MS = 200

T = TypeVar("T")


def part_key(sha256: str) -> str:
    """Return the store key of a part."""
    return f"bundle/parts/{sha256}"


async def roll_bundle(
    store: KeyValueStore, signed: SignedRoot, parts_by_sha256: Mapping[str, bytes]
) -> Result[None, StoreError | BundleError]:
    """Write the parts that the store lacks, then swap the root.

    A swap whose reply was lost is settled by reading the root back. Rolling a bundle
    that was accepted already succeeds again, so that a caller whose own reply was
    lost may repeat the roll.
    """
    current = await _patiently(lambda: store.get(BUNDLE_ROOT_KEY))
    if isinstance(current, Err):
        return current
    held = current.ok_value
    if _was_accepted(held, signed):
        return Ok(None)
    refusal = _refusal(held.value, signed)
    if refusal is not None:
        return Err(refusal)
    known = _part_hashes(held.value)
    for digest, data in parts_by_sha256.items():
        if digest not in known:
            written = await _write_part(store, digest, data)
            if isinstance(written, Err):
                return written
    return await _swap_root(store, signed, held.revision)


async def _swap_root(
    store: KeyValueStore, signed: SignedRoot, revision: int
) -> Result[None, StoreError | BundleError]:
    encoded = encode_signed_root(signed)
    swapped = await _patiently(lambda: store.swap(BUNDLE_ROOT_KEY, encoded, revision))
    if isinstance(swapped, Err):
        return await _read_back(store, signed, revision, swapped.err_value)
    outcome = swapped.ok_value
    if outcome.done or _was_accepted(outcome.current, signed):
        return Ok(None)
    return Err(_lost_race(signed))


async def _patiently(
    call: Callable[[], Awaitable[Result[T, StoreError]]],
) -> Result[T, StoreError]:
    """Repeat a call that the store refused because of its rate limit."""
    for attempt in range(RATE_LIMIT_TRIES):
        outcome = await call()
        if isinstance(outcome, Ok):
            return outcome
        if outcome.err_value.kind is not StoreFailure.RATE_LIMITED:
            return outcome
        delay_ms = RATE_LIMIT_DELAY_MS * 2**attempt
        await asyncio.sleep(delay_ms * random.uniform(0.5, 1.0) / 1000)
    return outcome


async def _write_part(
    store: KeyValueStore, digest: str, data: bytes
) -> Result[None, StoreError | BundleError]:
    key = part_key(digest)
    outcome = await _patiently(lambda: store.swap(key, data, 0))
    if isinstance(outcome, Err):
        held = await store.get(key)
        if isinstance(held, Err) or held.ok_value.value != data:
            return outcome
        return Ok(None)
    swapped = outcome.ok_value
    if not swapped.done and swapped.current.value != data:
        return Err(BundleError(key, "the store holds other bytes under this hash"))
    return Ok(None)


def _held_root(held: bytes | None) -> SignedRoot | None:
    """Decode the root in the store; one that is malformed counts as absent."""
    if held is None:
        return None
    try:
        signed = decode_root(held)
        signed.root()
    except BundleError:
        return None
    return signed


def _part_hashes(held: bytes | None) -> frozenset[str]:
    signed = _held_root(held)
    if signed is None:
        return frozenset()
    return frozenset(entry.sha256 for entry in signed.root().parts)


def _was_accepted(held: Stored, signed: SignedRoot) -> bool:
    """Return whether the store holds the root, or the one that followed it."""
    current = _held_root(held.value)
    if current is None:
        return False
    return signed.sha256 in (current.sha256, current.root().previous)


def _refusal(held: bytes | None, signed: SignedRoot) -> BundleError | None:
    current = _held_root(held)
    if current is None:
        return None
    version, new = current.root().version, signed.root()
    if new.version <= version:
        return BundleError(
            "root.version", f"{new.version} is not higher than {version} in the store"
        )
    if new.previous != current.sha256:
        return BundleError("root.previous", f"it does not follow version {version}")
    return None


def _lost_race(signed: SignedRoot) -> BundleError:
    version = signed.root().version
    return BundleError("root.version", f"{version} lost to a roll at the same moment")


async def _read_back(
    store: KeyValueStore, signed: SignedRoot, revision: int, error: StoreError
) -> Result[None, StoreError | BundleError]:
    current = await _patiently(lambda: store.get(BUNDLE_ROOT_KEY))
    if isinstance(current, Err):
        return Err(error)
    if _was_accepted(current.ok_value, signed):
        return Ok(None)
    if current.ok_value.revision != revision:
        return Err(_lost_race(signed))
    return Err(error)
