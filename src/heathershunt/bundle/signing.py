"""Ed25519 signatures and approvals of a root."""

from collections.abc import Collection, Mapping
from dataclasses import replace

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
    Ed25519PublicKey,
)

from heathershunt.bundle.error import BundleError
from heathershunt.bundle.model import Policy
from heathershunt.bundle.parts import SignedRoot

# The purpose is part of the signed bytes, so that an approval never passes as a
# signature.
SIGNATURE_PURPOSE = b"heathershunt bundle signature\0"
APPROVAL_PURPOSE = b"heathershunt bundle approval\0"


def new_key_pair() -> tuple[str, str]:
    """Return a new private and public key in hexadecimal."""
    private = Ed25519PrivateKey.generate()
    return (
        private.private_bytes_raw().hex(),
        private.public_key().public_bytes_raw().hex(),
    )


def sign_root(signed: SignedRoot, private_key: str, *, approve=False) -> SignedRoot:
    """Return ``signed`` with one more signature, or approval if ``approve``."""
    private = Ed25519PrivateKey.from_private_bytes(bytes.fromhex(private_key))
    public = private.public_key().public_bytes_raw().hex()
    if approve:
        mark = private.sign(APPROVAL_PURPOSE + signed.body)
        return replace(
            signed, approvals_by_key={**signed.approvals_by_key, public: mark}
        )
    mark = private.sign(SIGNATURE_PURPOSE + signed.body)
    return replace(signed, signatures_by_key={**signed.signatures_by_key, public: mark})


def valid_keys(
    purpose: bytes,
    body: bytes,
    marks: Mapping[str, bytes],
    trusted: Collection[bytes] | None = None,
) -> set[bytes]:
    """Return the keys whose mark is valid, each once in whatever case.

    :param trusted: only these keys count; ``None`` for every key.
    """
    valid = set()
    for text, mark in marks.items():
        try:
            key = bytes.fromhex(text)
            if trusted is None or key in trusted:
                Ed25519PublicKey.from_public_bytes(key).verify(mark, purpose + body)
                valid.add(key)
        except (InvalidSignature, ValueError):
            continue
    return valid


def verify_root(
    signed: SignedRoot, trusted: Collection[str], in_force: Policy | None = None
) -> None:
    """Check signatures and approvals against the policy of the root.

    An approval counts only from a key that has not signed. The policy in force may
    ask for more signatures or approvals than the new root does, so that a roll cannot
    lower the bar for itself.

    :param trusted: public keys that may sign and approve, in hexadecimal.
    :param in_force: policy of the bundle in force, if there is one.
    :raises BundleError: if trusted signatures or approvals are too few.
    """
    policies = [signed.root().policy] + ([in_force] if in_force else [])
    keys = {bytes.fromhex(key) for key in trusted}
    signers = valid_keys(SIGNATURE_PURPOSE, signed.body, signed.signatures_by_key, keys)
    needed = max(1, *(policy.signatures_needed for policy in policies))
    if len(signers) < needed:
        raise BundleError(
            "root.signatures",
            f"{len(signers)} signatures by trusted keys; {needed} are needed",
        )
    approvers = valid_keys(APPROVAL_PURPOSE, signed.body, signed.approvals_by_key, keys)
    needed = max(policy.approvals_needed for policy in policies)
    if len(approvers - signers) < needed:
        raise BundleError(
            "root.approvals",
            f"{len(approvers - signers)} approvals by trusted keys that have not "
            f"signed; {needed} are needed",
        )
