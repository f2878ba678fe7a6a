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

# The purpose is prepended to the signed bytes, so that an approval cannot be used as a
# signature, nor a signature as an approval.
SIGNATURE_PURPOSE = b"heathershunt bundle signature\0"
APPROVAL_PURPOSE = b"heathershunt bundle approval\0"


def new_key_pair() -> tuple[str, str]:
    """Return a new private key and its public key, in hexadecimal."""
    private = Ed25519PrivateKey.generate()
    return (
        private.private_bytes_raw().hex(),
        private.public_key().public_bytes_raw().hex(),
    )


def sign_root(signed: SignedRoot, private_key: str, *, approve=False) -> SignedRoot:
    """Return ``signed`` with a signature of the key added, or an approval.

    :param private_key: 32 bytes in hexadecimal.
    :param approve: whether to approve the root instead of signing it.
    """
    private = Ed25519PrivateKey.from_private_bytes(bytes.fromhex(private_key))
    public = private.public_key().public_bytes_raw().hex()
    if approve:
        signature = private.sign(APPROVAL_PURPOSE + signed.body)
        return replace(
            signed, approvals_by_key={**signed.approvals_by_key, public: signature}
        )
    signature = private.sign(SIGNATURE_PURPOSE + signed.body)
    return replace(
        signed, signatures_by_key={**signed.signatures_by_key, public: signature}
    )


def valid_keys(
    purpose: bytes,
    body: bytes,
    signatures: Mapping[str, bytes],
    trusted: Collection[bytes] | None = None,
) -> set[bytes]:
    """Return the public keys whose signature of ``purpose + body`` is valid.

    A key that is listed in both upper and lower case counts once.

    :param signatures: signatures by public key in hexadecimal.
    :param trusted: only these keys count; ``None`` for every key.
    """
    valid = set()
    for text, signature in signatures.items():
        try:
            key = bytes.fromhex(text)
            if trusted is None or key in trusted:
                Ed25519PublicKey.from_public_bytes(key).verify(
                    signature, purpose + body
                )
                valid.add(key)
        except (InvalidSignature, ValueError):
            continue
    return valid


def verify_root(
    signed: SignedRoot, trusted: Collection[str], in_force: Policy | None = None
) -> None:
    """Check signatures and approvals against the policy of the root.

    An approval counts only from a key that has not signed. The policy in force applies
    as well as that of the new root, so that a root cannot lower the numbers of
    signatures and approvals that it needs itself.

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
