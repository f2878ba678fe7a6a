from dataclasses import replace

import cbor2
import pytest
from hypothesis import given, strategies as st

from heathershunt.bundle import (
    Bundle,
    BundleError,
    BundleKeeper,
    ClientAccount,
    Policy,
    Priority,
    SignedRoot,
    assemble,
    encode_root,
    sign_root,
    split_bundle,
)
from heathershunt.bundle.parts import PartEntry, decode_root
from tests.bundle.bundles import PRIVATE, PUBLIC, key_pair, make_bundle, sign_bundle


@pytest.fixture
def keeper():
    keeper = BundleKeeper([PUBLIC])
    assert keeper.offer(*sign_bundle(make_bundle(5))).is_ok()
    return keeper


def test_lower_and_equal_versions_are_refused(keeper):
    for version in (4, 5):
        assert keeper.offer(*sign_bundle(make_bundle(version, accounts=3))).is_err()
    assert keeper.version == 5


def test_policy_in_force_sets_the_number_of_signatures():
    """Guards against a root that lowers the number of signatures it needs itself."""
    other_private, other_public = key_pair(2)
    keeper = BundleKeeper([PUBLIC, other_public])
    strict = replace(make_bundle(1), policy=Policy(signatures_needed=2))
    signed, parts = sign_bundle(strict)
    assert keeper.offer(sign_root(signed, other_private), parts).is_ok()
    signed, parts = sign_bundle(make_bundle(2))
    assert keeper.offer(signed, parts).is_err()
    assert keeper.offer(sign_root(signed, other_private), parts).is_ok()


def test_altered_copy_of_a_part_in_force_is_ignored(keeper):
    """Guards against a peer that blocks a bundle with an altered copy of a part."""
    signed, parts = sign_bundle(make_bundle(6, accounts=300))
    altered = {sha256: b"altered" for sha256 in keeper.parts_by_sha256}
    assert keeper.offer(signed, {**parts, **altered}).is_ok()


def test_bundle_is_in_force_although_the_on_change_callback_fails():
    def fail(bundle):
        raise RuntimeError("observer")

    keeper = BundleKeeper([PUBLIC], fail)
    assert keeper.offer(*sign_bundle(make_bundle(1))).is_ok()
    assert keeper.version == 1


def test_unsigned_root_is_refused_before_its_version_is_compared(keeper):
    signed, parts = sign_bundle(make_bundle(5, accounts=9))
    error = keeper.offer(SignedRoot(signed.body), parts).err_value
    assert error.place == "root.signatures"


@pytest.mark.parametrize(
    "change",
    [
        {"kind": "version"},
        {"kind": "policy"},
        {"kind": "other"},
        {"size": 1},
        {"kind": "models"},
    ],
)
def test_root_with_an_invalid_part_entry_is_refused(change):
    """Guards against an entry that overwrites another field of the bundle."""
    root, parts = split_bundle(make_bundle(1), 0)
    entries = (replace(root.parts[0], **change), *root.parts[1:])
    with pytest.raises(BundleError):
        assemble(replace(root, parts=entries), parts)


@given(st.binary(max_size=80) | st.just(b"\x81" * 50_000) | st.just(b"\xa1\x80\x01"))
def test_malformed_root_is_a_bundle_error(data):
    for decode in (decode_root, lambda body: SignedRoot(body).root()):
        with pytest.raises(BundleError):
            decode(data)


def test_one_changed_account_changes_one_part():
    before = make_bundle(1, accounts=2000)
    changed = replace(before.accounts_by_name["account-7"], share=9)
    after = replace(
        before,
        version=2,
        accounts_by_name={**before.accounts_by_name, "account-7": changed},
    )
    old, _ = split_bundle(before, 0)
    new, _ = split_bundle(after, 0)
    assert len(set(new.parts) - set(old.parts)) == 1


def test_token_finds_its_account(keeper):
    bundle = keeper.bundle
    assert bundle.account_for_token("token-1").name == "account-1"
    assert bundle.account_for_token("nobody") is None


def test_round_trip_keeps_the_bundle():
    bundle = Bundle(
        3,
        {"x": ClientAccount("x", ("ab" * 32,), priority="p")},
        priorities_by_name={"p": Priority("p", 1)},
    )
    root, parts = split_bundle(bundle, 7)
    assert cbor2.loads(encode_root(root))["created_ms"] == 7
    assert isinstance(root.parts[0], PartEntry)
    assert assemble(root, parts) == bundle
    assert PRIVATE != PUBLIC
