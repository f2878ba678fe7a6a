"""Acceptance of a bundle: parts first, then one compare-and-swap on the root."""

from collections.abc import Mapping

from result import Err, Ok, Result

from heathershunt.bundle import BundleError, SignedRoot, decode_root
from heathershunt.bundle.parts import encode_signed_root
from heathershunt.store.client import KeyValueStore, StoreError, Swapped

BUNDLE_ROOT_KEY = "bundle/root"


def part_key(sha256: str) -> str:
    """Return the store key of a part."""
    return f"bundle/parts/{sha256}"


async def roll_bundle(
    store: KeyValueStore, signed: SignedRoot, parts_by_sha256: Mapping[str, bytes]
) -> Result[None, StoreError | BundleError]:
    """Write the parts that the store lacks, then swap the root.

    A swap whose reply was lost is settled by reading the root back.
    """
    root = signed.root()
    for digest, data in parts_by_sha256.items():
        outcome = await _write_part(store, digest, data)
        if isinstance(outcome, Err):
            return outcome
    current = await store.get(BUNDLE_ROOT_KEY)
    if isinstance(current, Err):
        return current
    held = current.ok_value
    refusal = _refusal(held.value, signed)
    if refusal is not None:
        return Err(refusal)
    encoded = encode_signed_root(signed)
    swapped = await store.swap(BUNDLE_ROOT_KEY, encoded, held.revision)
    if isinstance(swapped, Err):
        return await _read_back(store, encoded, swapped.err_value)
    if not swapped.ok_value.done:
        return Err(_lost_race(root.version))
    return Ok(None)


async def _write_part(
    store: KeyValueStore, digest: str, data: bytes
) -> Result[Swapped, StoreError]:
    outcome = await store.swap(part_key(digest), data, 0)
    if isinstance(outcome, Err):
        held = await store.get(part_key(digest))
        if isinstance(held, Ok) and held.ok_value.value == data:
            return Ok(Swapped(True, held.ok_value))
    return outcome


def _refusal(held: bytes | None, signed: SignedRoot) -> BundleError | None:
    root = signed.root()
    if held is None:
        return None
    current = decode_root(held)
    version = current.root().version
    if root.version <= version:
        return BundleError(
            "root.version", f"{root.version} is not higher than {version} in the store"
        )
    if root.previous != current.sha256:
        return BundleError("root.previous", f"it does not follow version {version}")
    return None


def _lost_race(version: int) -> BundleError:
    return BundleError("root.version", f"{version} lost to a roll at the same moment")


async def _read_back(
    store: KeyValueStore, encoded: bytes, error: StoreError
) -> Result[None, StoreError | BundleError]:
    held = await store.get(BUNDLE_ROOT_KEY)
    if isinstance(held, Err):
        return Err(error)
    if held.ok_value.value == encoded:
        return Ok(None)
    return Err(error)
