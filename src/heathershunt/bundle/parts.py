"""Splits a bundle into content-addressed parts and a small signed root.

A value in the store has at most a megabyte, which is too small for 27,000 client
accounts. Accounts are split by the hash of their name into a power of two of buckets,
so that a change to one account changes one part and the root.
"""

import hashlib
from collections.abc import Mapping
from dataclasses import asdict, dataclass, field
from typing import Any

import cbor2

from heathershunt.bundle.check import (
    SHA256_PATTERN,
    bundle_from_mapping,
    check_policy,
    check_version,
)
from heathershunt.bundle.decoding import convert, decode_cbor
from heathershunt.bundle.error import BundleError
from heathershunt.bundle.model import PART_KINDS, Bundle, Policy

ACCOUNTS_PER_PART = 256
MAX_PART_BYTES = 262_144
MAX_ROOT_BYTES = 65_536
# Bounds memory, as the old and the new parts are held together while a bundle comes
# into force. Every bundle of this size fits with its root into a file of 16 MiB.
MAX_BUNDLE_BYTES = 16_500_000
MAX_SIGNED_ROOT_BYTES = 2 * MAX_ROOT_BYTES
HASH_BITS = 256


@dataclass(frozen=True)
class PartEntry:
    """Reference of a root to one part.

    :param kind: kind of the items in the part, one of ``PART_KINDS``.
    :param bucket: bucket of the accounts in the part; 0 for other kinds.
    :param size: size of the encoded part, in bytes.
    """

    kind: str
    bucket: int
    sha256: str
    size: int

    @property
    def place(self) -> str:
        """Return the name of the part in errors."""
        return f"{self.kind}[bucket {self.bucket}]"


@dataclass(frozen=True)
class Root:
    """The signed manifest of a bundle, which lists its parts with their hashes.

    :param created_ms: milliseconds since the Unix epoch.
    :param previous: hash of the root that this one replaces, empty for the first.
    """

    version: int
    created_ms: int
    policy: Policy
    parts: tuple[PartEntry, ...]
    previous: str = ""


@dataclass(frozen=True)
class SignedRoot:
    """An encoded root with its signatures and approvals.

    The mappings are keyed by public key in hexadecimal.
    """

    body: bytes
    signatures_by_key: Mapping[str, bytes] = field(default_factory=dict)
    approvals_by_key: Mapping[str, bytes] = field(default_factory=dict)

    @property
    def sha256(self) -> str:
        """Return the hash of the encoded root, in hexadecimal."""
        return sha256_hex(self.body)

    def root(self) -> Root:
        """Decode the root; raise :class:`BundleError` if it is malformed."""
        root = convert(decode_cbor(self.body, "root", MAX_ROOT_BYTES), Root, "root")
        _check_root(root)
        return root


def sha256_hex(data: bytes) -> str:
    """Return the SHA-256 hash in hexadecimal."""
    return hashlib.sha256(data).hexdigest()


def _check_root(root: Root) -> None:
    check_version("root.version", root.version)
    check_policy("root.policy", root.policy)
    if root.previous and not SHA256_PATTERN.fullmatch(root.previous):
        raise BundleError("root.previous", "a SHA-256 hash or nothing is accepted")
    seen: set[tuple[str, int]] = set()
    for index, entry in enumerate(root.parts):
        place = f"root.parts[{index}]"
        if entry.kind not in PART_KINDS:
            raise BundleError(f"{place}.kind", f"{entry.kind!r} is no kind of part")
        if (entry.kind, entry.bucket) in seen:
            raise BundleError(place, f"{entry.place} is there twice")
        if not SHA256_PATTERN.fullmatch(entry.sha256):
            raise BundleError(f"{place}.sha256", "a SHA-256 hash is expected")
        if not 0 < entry.size <= MAX_PART_BYTES:
            raise BundleError(f"{place}.size", f"1 to {MAX_PART_BYTES} is accepted")
        seen.add((entry.kind, entry.bucket))
    if sum(entry.size for entry in root.parts) > MAX_BUNDLE_BYTES:
        raise BundleError(
            "root.parts", f"at most {MAX_BUNDLE_BYTES} bytes are accepted together"
        )


def encode_canonical(value: Any) -> bytes:
    """Encode ``value`` as canonical CBOR."""
    return cbor2.dumps(value, canonical=True)


def _encode_part(kind: str, bucket: int, items: list[Any]) -> tuple[PartEntry, bytes]:
    data = encode_canonical([asdict(item) for item in items])
    if len(data) > MAX_PART_BYTES:
        raise BundleError(
            f"{kind}[bucket {bucket}]", f"larger than {MAX_PART_BYTES} bytes"
        )
    digest = sha256_hex(data)
    return PartEntry(kind, bucket, digest, len(data)), data


def _bucket_count(accounts: int, accounts_per_part: int) -> int:
    """Return the lowest power of two that keeps to ``accounts_per_part`` on average."""
    count = 1
    while count * accounts_per_part < accounts:
        count *= 2
    return count


def _bucket_index(name: str, count: int) -> int:
    digest = hashlib.sha256(name.encode()).digest()
    return int.from_bytes(digest, "big") * count >> HASH_BITS


def split_bundle(
    bundle: Bundle,
    created_ms: int,
    previous: str = "",
    accounts_per_part: int = ACCOUNTS_PER_PART,
) -> tuple[Root, dict[str, bytes]]:
    """Return the root of ``bundle`` and its encoded parts by hash.

    :param created_ms: milliseconds since the Unix epoch.
    :param previous: hash of the root that this bundle replaces.
    :param accounts_per_part: highest average number of accounts per part.
    :raises BundleError: if a part is larger than ``MAX_PART_BYTES``.
    """
    count = _bucket_count(len(bundle.accounts_by_name), accounts_per_part)
    accounts_by_bucket: dict[int, list[Any]] = {index: [] for index in range(count)}
    for name, account in sorted(bundle.accounts_by_name.items()):
        accounts_by_bucket[_bucket_index(name, count)].append(account)
    parts = [_encode_part("accounts", *item) for item in accounts_by_bucket.items()]
    for kind, items_by_name in (
        ("services", bundle.services_by_name),
        ("models", bundle.models_by_name),
        ("priorities", bundle.priorities_by_name),
    ):
        parts.append(
            _encode_part(kind, 0, [items_by_name[n] for n in sorted(items_by_name)])
        )
    entries = tuple(entry for entry, _ in parts)
    root = Root(bundle.version, created_ms, bundle.policy, entries, previous)
    return root, {entry.sha256: data for entry, data in parts}


def encode_root(root: Root) -> bytes:
    """Return the encoded root, which is what is signed.

    :raises BundleError: if it is larger than ``MAX_ROOT_BYTES``.
    """
    body = encode_canonical(asdict(root))
    if len(body) > MAX_ROOT_BYTES:
        raise BundleError("root", f"larger than {MAX_ROOT_BYTES} bytes")
    return body


def encode_signed_root(signed: SignedRoot) -> bytes:
    """Return a signed root as it is stored, sent to peers and written to files."""
    return encode_canonical(asdict(signed))


def decode_root(data: bytes) -> SignedRoot:
    """Decode a signed root; raise :class:`BundleError` if it is malformed.

    Neither the signatures nor the root itself are checked; see :meth:`SignedRoot.root`.
    """
    raw = decode_cbor(data, "signed root", MAX_SIGNED_ROOT_BYTES)
    return convert(raw, SignedRoot, "signed root")


def assemble(root: Root, parts_by_sha256: Mapping[str, bytes]) -> Bundle:
    """Build the bundle of ``root`` from its parts.

    Signatures are not checked here.

    :raises BundleError: if the root or a part is malformed, a part is missing or does
        not match its hash and size, or the bundle fails a check.
    """
    _check_root(root)
    raw: dict[str, Any] = {"version": root.version, "policy": asdict(root.policy)}
    for entry in root.parts:
        raw.setdefault(entry.kind, []).extend(_decode_part(entry, parts_by_sha256))
    return bundle_from_mapping(raw)


def _decode_part(entry: PartEntry, parts_by_sha256: Mapping[str, bytes]) -> list[Any]:
    data = parts_by_sha256.get(entry.sha256)
    if data is None:
        raise BundleError(entry.place, "the part is missing")
    if sha256_hex(data) != entry.sha256 or len(data) != entry.size:
        raise BundleError(entry.place, "the part does not match its hash and size")
    items = decode_cbor(data, entry.place, MAX_PART_BYTES)
    if not isinstance(items, list):
        raise BundleError(entry.place, "a list is expected")
    return items
