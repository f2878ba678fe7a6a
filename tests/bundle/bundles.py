"""Bundles for tests, signed with fixed keys."""

import hashlib

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from heathershunt.bundle import (
    Bundle,
    ClientAccount,
    Priority,
    SignedRoot,
    encode_root,
    sign_root,
    split_bundle,
)


def key_pair(number):
    private = Ed25519PrivateKey.from_private_bytes(bytes([number]) * 32)
    public = private.public_key().public_bytes_raw()
    return private.private_bytes_raw().hex(), public.hex()


PRIVATE, PUBLIC = key_pair(1)


def make_bundle(version, accounts=2):
    accounts_by_name = {}
    for index in range(accounts):
        token = hashlib.sha256(f"token-{index}".encode()).hexdigest()
        name = f"account-{index}"
        accounts_by_name[name] = ClientAccount(name, (token,))
    return Bundle(
        version, accounts_by_name, priorities_by_name={"normal": Priority("normal", 1)}
    )


def sign_bundle(bundle):
    """Return the signed root of a bundle and its parts by hash."""
    root, parts = split_bundle(bundle, 0)
    return sign_root(SignedRoot(encode_root(root)), PRIVATE), parts
