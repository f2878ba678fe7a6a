"""Publishes a bundle in the store: the parts first, then the root by one swap.

The root is written last so that it never refers to a part that was not written.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Mapping
from typing import TypeVar

from result import Err, Ok, Result

from heathershunt.bundle import BundleError, SignedRoot, decode_root
from heathershunt.bundle.parts import encode_signed_root
from heathershunt.store.client import (
    KeyValueStore,
    StoredValue,
    StoreError,
    StoreFailure,
)

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
    """Write the parts that are not in the store yet, then swap the root.

    If the reply to the swap is lost, the root is read back to find out its outcome.
    Rolling a bundle that is in the store already, or was until the one after it was
    rolled, succeeds, so that a caller that lost the reply may repeat the roll.

    Signatures and contents are not checked here.

    :param parts_by_sha256: the parts of the bundle; those of the root in the store
        may be left out.
    :returns: ``BundleError`` if the root does not follow the one in the store or
        another roll was first, ``StoreError`` if the store failed.
    """
    current = await _retry_rate_limited(lambda: store.get(BUNDLE_ROOT_KEY))
    if isinstance(current, Err):
        return current
    stored = current.ok_value
    if _was_accepted(stored, signed):
        return Ok(None)
    refusal = _refusal(stored.value, signed)
    if refusal is not None:
        return Err(refusal)
    stored_hashes = _part_hashes(stored.value)
    for digest, data in parts_by_sha256.items():
        if digest not in stored_hashes:
            written = await _write_part(store, digest, data)
            if isinstance(written, Err):
                return written
    return await _swap_root(store, signed, stored.revision)


async def _swap_root(
    store: KeyValueStore, signed: SignedRoot, revision: int
) -> Result[None, StoreError | BundleError]:
    encoded = encode_signed_root(signed)
    swapped = await _retry_rate_limited(
        lambda: store.swap(BUNDLE_ROOT_KEY, encoded, revision)
    )
    if isinstance(swapped, Err):
        return await _read_back(store, signed, revision, swapped.err_value)
    outcome = swapped.ok_value
    if outcome.done or _was_accepted(outcome.current, signed):
        return Ok(None)
    return Err(_concurrent_roll_error(signed))


async def _retry_rate_limited(
    call: Callable[[], Awaitable[Result[T, StoreError]]],
) -> Result[T, StoreError]:
    """Retry a call that exceeded the store's rate limit, with backoff and jitter."""
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
    outcome = await _retry_rate_limited(lambda: store.swap(key, data, 0))
    if isinstance(outcome, Err):
        # The write may have taken effect although its reply was lost.
        stored = await store.get(key)
        if isinstance(stored, Err) or stored.ok_value.value != data:
            return outcome
        return Ok(None)
    swapped = outcome.ok_value
    if not swapped.done and swapped.current.value != data:
        return Err(BundleError(key, "the store holds other bytes under this hash"))
    return Ok(None)


def _decode_stored_root(value: bytes | None) -> SignedRoot | None:
    """Decode the root in the store; return ``None`` if it is absent or malformed."""
    if value is None:
        return None
    try:
        signed = decode_root(value)
        signed.root()
    except BundleError:
        return None
    return signed


def _part_hashes(value: bytes | None) -> frozenset[str]:
    """Return the hashes of the parts that the root in the store refers to."""
    signed = _decode_stored_root(value)
    if signed is None:
        return frozenset()
    return frozenset(entry.sha256 for entry in signed.root().parts)


def _was_accepted(stored: StoredValue, signed: SignedRoot) -> bool:
    """Return whether ``signed`` is the root in the store or its predecessor."""
    current = _decode_stored_root(stored.value)
    if current is None:
        return False
    return signed.sha256 in (current.sha256, current.root().previous)


def _refusal(value: bytes | None, signed: SignedRoot) -> BundleError | None:
    """Return why ``signed`` may not replace the root in the store, if it may not."""
    current = _decode_stored_root(value)
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


def _concurrent_roll_error(signed: SignedRoot) -> BundleError:
    version = signed.root().version
    return BundleError("root.version", f"{version} lost to a roll at the same moment")


async def _read_back(
    store: KeyValueStore, signed: SignedRoot, revision: int, error: StoreError
) -> Result[None, StoreError | BundleError]:
    """Read the root to find out whether a swap that failed took effect.

    :param revision: of the root before the swap.
    :param error: returned if the outcome is still unknown, or the root unchanged.
    """
    current = await _retry_rate_limited(lambda: store.get(BUNDLE_ROOT_KEY))
    if isinstance(current, Err):
        return Err(error)
    if _was_accepted(current.ok_value, signed):
        return Ok(None)
    if current.ok_value.revision != revision:
        return Err(_concurrent_roll_error(signed))
    return Err(error)
