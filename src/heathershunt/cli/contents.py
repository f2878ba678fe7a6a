"""Summary of a bundle, and the differences between two."""

from dataclasses import asdict, fields
from typing import Any

from heathershunt.bundle import Bundle, SignedRoot
from heathershunt.bundle.signing import (
    APPROVAL_PURPOSE,
    SIGNATURE_PURPOSE,
    valid_keys,
)

ITEM_KINDS = ("accounts", "services", "models", "priorities")


def summary(signed: SignedRoot, bundle: Bundle) -> dict[str, Any]:
    """Return what a bundle contains and which keys signed it, as JSON values.

    Valid signatures of any key are listed; the VMs count only those of the keys that
    their settings trust.
    """
    root = signed.root()
    signers = valid_keys(SIGNATURE_PURPOSE, signed.body, signed.signatures_by_key)
    approvers = valid_keys(APPROVAL_PURPOSE, signed.body, signed.approvals_by_key)
    return {
        "version": root.version,
        "sha256": signed.sha256,
        "previous": root.previous,
        "created_ms": root.created_ms,
        "signatures_needed": root.policy.signatures_needed,
        "approvals_needed": root.policy.approvals_needed,
        "signed_by": sorted(key.hex() for key in signers),
        "approved_by": sorted(key.hex() for key in approvers),
        "parts": len(root.parts),
        "bytes": len(signed.body) + sum(entry.size for entry in root.parts),
    } | {kind: len(getattr(bundle, f"{kind}_by_name")) for kind in ITEM_KINDS}


def difference(old: Bundle, new: Bundle) -> list[dict[str, Any]]:
    """Return one entry for every item that was added, removed or changed."""
    changes: list[dict[str, Any]] = []
    if old.policy != new.policy:
        changes.append(_change("policy", "", "changed", old.policy, new.policy))
    for kind in ITEM_KINDS:
        before = getattr(old, f"{kind}_by_name")
        after = getattr(new, f"{kind}_by_name")
        for name in sorted(before.keys() | after.keys()):
            if name not in after:
                changes.append({"kind": kind, "name": name, "change": "removed"})
            elif name not in before:
                changes.append({"kind": kind, "name": name, "change": "added"})
            elif before[name] != after[name]:
                item = _change(kind, name, "changed", before[name], after[name])
                changes.append(item)
    return changes


def _change(kind: str, name: str, change: str, old: Any, new: Any) -> dict[str, Any]:
    before, after = asdict(old), asdict(new)
    changed = {
        field.name: [before[field.name], after[field.name]]
        for field in fields(new)
        if before[field.name] != after[field.name]
    }
    return {"kind": kind, "name": name, "change": change, "fields": changed}
