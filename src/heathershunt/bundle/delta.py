"""Builds the next bundle from the one in force and the parts that changed.

Decoding and checking all of 27,000 accounts blocks the event loop for a third of a
second, and there are 1,300 changes a day, nearly all of which affect one account each.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import replace

import cbor2

from heathershunt.bundle.check import MAX_ACCOUNTS
from heathershunt.bundle.error import BundleError
from heathershunt.bundle.model import Bundle, ClientAccount
from heathershunt.bundle.parts import PartEntry, Root, assemble


def assemble_next(
    root: Root,
    parts_by_sha256: Mapping[str, bytes],
    root_in_force: Root | None,
    in_force: Bundle | None,
) -> Bundle:
    """Build the bundle of ``root``, taking unchanged accounts from ``in_force``.

    The result is the same as that of :func:`assemble`, which is called if the accounts
    cannot be reused.

    :param parts_by_sha256: the parts of ``root`` and of ``root_in_force``.
    :param in_force: the bundle of ``root_in_force``.
    :raises BundleError: if a part is missing, altered or malformed.

    .. versionadded:: 0.1
    """
    if root_in_force is None or in_force is None:
        return assemble(root, parts_by_sha256)
    new, old = _account_entries(root.parts), _account_entries(root_in_force.parts)
    kept = new & old
    places = {(entry.kind, entry.bucket) for entry in root.parts}
    # Two entries of one bucket are an error, which `assemble` reports.
    if not kept or len(places) != len(root.parts):
        return assemble(root, parts_by_sha256)
    changed_root = replace(root, parts=tuple(e for e in root.parts if e not in kept))
    changed = assemble(changed_root, parts_by_sha256)
    # An unchanged account may refer to a removed priority.
    if changed.priorities_by_name.keys() != in_force.priorities_by_name.keys():
        return assemble(root, parts_by_sha256)
    accounts = dict(in_force.accounts_by_name)
    by_token = dict(in_force._account_by_token_sha256)
    for name in _account_names(old - new, parts_by_sha256):
        for digest in accounts.pop(name).token_sha256:
            by_token.pop(digest, None)
    for account in changed.accounts_by_name.values():
        _add_account(account, accounts, by_token)
    if len(accounts) > MAX_ACCOUNTS:
        raise BundleError("accounts", f"at most {MAX_ACCOUNTS} accounts are accepted")
    bundle = replace(changed, accounts_by_name=accounts)
    # Sets the cached property now, because building its dictionary at the first request
    # would delay that request.
    vars(bundle)["_account_by_token_sha256"] = by_token
    return bundle


def _account_entries(entries: Iterable[PartEntry]) -> set[PartEntry]:
    return {entry for entry in entries if entry.kind == "accounts"}


def _account_names(
    entries: Iterable[PartEntry], parts_by_sha256: Mapping[str, bytes]
) -> Iterator[str]:
    for entry in entries:
        for item in cbor2.loads(parts_by_sha256[entry.sha256]):
            yield item["name"]


def _add_account(
    account: ClientAccount,
    accounts: dict[str, ClientAccount],
    by_token: dict[str, ClientAccount],
) -> None:
    """Add an account to both dictionaries; refuse a name or token that is in use."""
    place = f"accounts.{account.name}"
    if accounts.setdefault(account.name, account) is not account:
        raise BundleError(place, f"the name {account.name!r} is used twice")
    for digest in account.token_sha256:
        if by_token.setdefault(digest, account) is not account:
            raise BundleError(
                f"{place}.token_sha256", "a hash is used by one account only"
            )
