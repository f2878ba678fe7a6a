from dataclasses import replace

import pytest
from hypothesis import given, settings, strategies as st

from heathershunt.bundle import BundleError, Priority, assemble, split_bundle
from heathershunt.bundle.delta import assemble_next
from tests.bundle.bundles import make_bundle

BEFORE = make_bundle(1, accounts=600)
ROOT, PARTS = split_bundle(BEFORE, 0)
IN_FORCE = assemble(ROOT, PARTS)


def changed(accounts, **fields):
    """Return the root of version 2 with other accounts, and all parts."""
    bundle = replace(BEFORE, version=2, accounts_by_name=accounts, **fields)
    root, parts = split_bundle(bundle, 0)
    return root, {**PARTS, **parts}


@settings(max_examples=30, deadline=None)
@given(
    st.sets(st.integers(0, 599), max_size=5),
    st.dictionaries(st.integers(0, 620), st.integers(1, 9), max_size=5),
    st.booleans(),
)
def test_result_equals_that_of_a_full_assembly(removed, shares, new_priority):
    """Guards against accounts or tokens of an earlier version that stay behind."""
    accounts = dict(BEFORE.accounts_by_name)
    for index in removed:
        del accounts[f"account-{index}"]
    for index, share in shares.items():
        name = f"account-{index}"
        fresh = replace(IN_FORCE.accounts_by_name["account-1"], name=name, share=share)
        accounts[name] = replace(fresh, token_sha256=(f"{index:064x}",))
    priorities = dict(BEFORE.priorities_by_name)
    if new_priority:
        priorities["high"] = Priority("high", 0)
    root, parts = changed(accounts, priorities_by_name=priorities)
    full = assemble(root, parts)
    quick = assemble_next(root, parts, ROOT, IN_FORCE)
    assert quick == full
    assert quick._account_by_token_sha256 == full._account_by_token_sha256


@pytest.mark.parametrize("index", [0, 300, 599])
def test_new_account_with_a_token_in_use_is_refused(index):
    accounts = dict(BEFORE.accounts_by_name)
    tokens_in_use = accounts["account-5"].token_sha256
    accounts["new"] = replace(accounts[f"account-{index}"], name="new")
    accounts["new"] = replace(accounts["new"], token_sha256=tokens_in_use)
    root, parts = changed(accounts)
    with pytest.raises(BundleError):
        assemble_next(root, parts, ROOT, IN_FORCE)


def test_removed_priority_of_an_unchanged_account_is_refused():
    root, parts = changed(
        BEFORE.accounts_by_name, priorities_by_name={"other": Priority("other", 1)}
    )
    with pytest.raises(BundleError):
        assemble_next(root, parts, ROOT, IN_FORCE)


def test_unchanged_part_listed_twice_is_refused():
    entry = ROOT.parts[0]
    other = replace(ROOT.parts[1], bucket=entry.bucket)
    root = replace(ROOT, version=2, parts=(entry, other, *ROOT.parts[2:]))
    with pytest.raises(BundleError):
        assemble_next(root, PARTS, ROOT, IN_FORCE)
