"""Every fault in a bundle raises a BundleError that names its place."""

from dataclasses import asdict, replace

import cbor2
import pytest
from hypothesis import given, settings, strategies as st

from heathershunt.bundle import (
    BundleError,
    BundleKeeper,
    Policy,
    SignedRoot,
    assemble,
    bundle_from_mapping,
    decode_file,
    decode_root,
    encode_file,
    encode_root,
    new_key_pair,
    sign_root,
    split_bundle,
)
from heathershunt.bundle.parts import encode_canonical, encode_signed_root, sha256_hex

PRIVATE, PUBLIC = new_key_pair()
OTHER_PRIVATE, OTHER_PUBLIC = new_key_pair()
DIGEST = "ab" * 32


def raw_bundle(**changes):
    raw = {
        "version": 1,
        "priorities": [{"name": "normal", "rank": 1}],
        "models": [{"name": "m", "layers": 4, "version": "v1"}],
        "services": [{"name": "orders"}],
        "accounts": [{"name": "a", "token_sha256": [DIGEST]}],
    }
    return {**raw, **changes}


def account(**changes):
    return {"accounts": [{"name": "a", "token_sha256": [DIGEST], **changes}]}


def model(**changes):
    return {"models": [{"name": "m", "layers": 4, "version": "v1", **changes}]}


def call(**changes):
    item = {"method": "GET", "path_prefix": "/", **changes}
    return {"services": [{"name": "orders", "idempotent": [item]}]}


SAME_TOKEN = [
    {"name": "a", "token_sha256": [DIGEST]},
    {"name": "b", "token_sha256": [DIGEST]},
]
FAULTS = [
    ({"version": True}, "version"),
    ({"version": 0}, "version"),
    ({"version": 2**64}, "version"),
    ({"version": None}, "version"),
    ({"colour": 1}, "colour"),
    ({"accounts": {}}, "accounts"),
    ({"accounts": [None]}, "accounts[0]"),
    ({"accounts": [{1: 2}]}, "accounts[0].1"),
    ({"accounts": [{"name": "a"}]}, "accounts[0]"),
    ({"accounts": [SAME_TOKEN[0], SAME_TOKEN[0]]}, "accounts[1]"),
    ({"accounts": SAME_TOKEN}, "accounts.b.token_sha256[0]"),
    (account(colour=1), "accounts[0].colour"),
    (account(name=""), "accounts[0].name"),
    (account(name="a\n"), "accounts[0].name"),
    (account(name="a" * 65), "accounts[0].name"),
    (account(share=True), "accounts[0].share"),
    (account(share=0), "accounts.a.share"),
    (account(share=2**70), "accounts.a.share"),
    (account(requests_per_second=float("nan")), "accounts.a.requests_per_second"),
    (account(requests_per_second=float("inf")), "accounts.a.requests_per_second"),
    (account(requests_per_second=-1.0), "accounts.a.requests_per_second"),
    (account(concurrent=1.5), "accounts[0].concurrent"),
    (account(concurrent=-1), "accounts.a.concurrent"),
    (account(priority="none"), "accounts.a.priority"),
    (account(token_sha256="x"), "accounts[0].token_sha256"),
    (account(token_sha256=[b"x"]), "accounts[0].token_sha256[0]"),
    (account(token_sha256=["AB" * 32]), "accounts.a.token_sha256[0]"),
    (account(token_sha256=[f"{n:064x}" for n in range(17)]), "accounts.a.token_sha256"),
    (model(layers=0), "models.m.layers"),
    (model(layers=10**6), "models.m.layers"),
    (model(max_tokens=0), "models.m.max_tokens"),
    (model(version=""), "models.m.version"),
    (model(adapters=["x", "x"]), "models.m.adapters"),
    (model(adapters=[""]), "models.m.adapters[0]"),
    ({"models": [{"name": str(n)} for n in range(257)]}, "models"),
    (call(method="get"), "services.orders.idempotent[0].method"),
    (call(path_prefix="x"), "services.orders.idempotent[0].path_prefix"),
    (call(colour=1), "services[0].idempotent[0].colour"),
    ({"services": [{"name": "a/b"}]}, "services.a/b.name"),
    ({"services": [{"name": "a", "timeout_ms": 0}]}, "services.a.timeout_ms"),
    ({"policy": {"signatures_needed": 0}}, "policy.signatures_needed"),
    ({"policy": {"approvals_needed": -1}}, "policy.approvals_needed"),
    ({"policy": []}, "policy"),
]


@pytest.mark.parametrize("changes, place", FAULTS)
def test_fault_is_refused_with_its_place(changes, place):
    """Operators find a fault by its place, and no fault may crash a daemon."""
    with pytest.raises(BundleError) as caught:
        bundle_from_mapping(raw_bundle(**changes))
    assert caught.value.place == place


def signed_bundle(raw=None, private=PRIVATE):
    root, parts = split_bundle(bundle_from_mapping(raw or raw_bundle()), 1)
    return sign_root(SignedRoot(encode_root(root)), private), parts


def root_with(**changes):
    root, parts = split_bundle(bundle_from_mapping(raw_bundle()), 1)
    first = {**asdict(root.parts[0]), **changes.pop("part", {})}
    entries = [first, *map(asdict, root.parts[1:])]
    return SignedRoot(
        encode_canonical({**asdict(root), "parts": entries, **changes})
    ), parts


@pytest.mark.parametrize(
    "changes, place",
    [
        ({"version": True}, "root.version"),
        ({"version": 2**64}, "root.version"),
        ({"previous": "x"}, "root.previous"),
        ({"colour": 1}, "root.colour"),
        ({"policy": {"signatures_needed": 0}}, "root.policy.signatures_needed"),
        ({"parts": 7}, "root.parts"),
        ({"part": {"kind": "version"}}, "root.parts[0].kind"),
        ({"part": {"kind": "policy"}}, "root.parts[0].kind"),
        ({"part": {"kind": "services"}}, "root.parts[1]"),
        ({"part": {"sha256": "x"}}, "root.parts[0].sha256"),
        ({"part": {"size": 2**40}}, "root.parts[0].size"),
        ({"part": {"size": True}}, "root.parts[0].size"),
        ({"part": {"size": 5}}, "accounts[bucket 0]"),
        ({"part": {"sha256": DIGEST}}, "accounts[bucket 0]"),
    ],
)
def test_invalid_root_is_refused_with_its_place(changes, place):
    signed, parts = root_with(**changes)
    with pytest.raises(BundleError) as caught:
        assemble(signed.root(), parts)
    assert caught.value.place == place


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\x81" * 300_000,
        b"\xc1" * 300_000 + b"\x00",
        b"\x9b" + b"\xff" * 8,
        b"\xd8\x1c\x81\xd8\x1d\x00",
        b"\xa2\x61a\x01\x61a\x02",
        b"\xbf\xff",
        b"\x00\x00",
        b"\xd8\x23\x61(",
        b"\xa1\x81\x01\x01",
        encode_canonical({"body": "AAAA"}),
        encode_canonical({"body": b"", "signatures_by_key": {"x": "AAAA"}}),
    ],
)
def test_malformed_bytes_are_refused_by_every_decoder(data):
    """Covers deep nesting, reference cycles, huge lengths and text instead of bytes."""
    keeper = BundleKeeper([PUBLIC])
    for read in (decode_root, decode_file, lambda d: SignedRoot(d).root()):
        with pytest.raises(BundleError):
            read(data)
    assert keeper.offer(SignedRoot(data), {}).is_err()


def test_oversized_input_is_refused_before_it_is_decoded():
    with pytest.raises(BundleError, match="at most 65536"):
        SignedRoot(b"\x00" * 65_537).root()
    with pytest.raises(BundleError, match="at most 131072"):
        decode_root(b"\x00" * 131_073)


TWO_SIGNATURES = {"policy": {"signatures_needed": 2, "approvals_needed": 0}}


def test_key_in_upper_and_lower_case_counts_once():
    signed, parts = signed_bundle(raw_bundle(**TWO_SIGNATURES))
    signature = signed.signatures_by_key[PUBLIC]
    duplicated = replace(
        signed, signatures_by_key={PUBLIC: signature, PUBLIC.upper(): signature}
    )
    keeper = BundleKeeper([PUBLIC, PUBLIC.upper()])
    assert keeper.offer(duplicated, parts).err_value.place == "root.signatures"


def test_approval_by_a_signer_does_not_count():
    signed, parts = signed_bundle(raw_bundle(policy={"approvals_needed": 1}))
    keeper = BundleKeeper([PUBLIC, OTHER_PUBLIC])
    self_approved = sign_root(signed, PRIVATE, approve=True)
    assert keeper.offer(self_approved, parts).err_value.place == "root.approvals"
    copied = replace(signed, approvals_by_key={OTHER_PUBLIC: b"x" * 64})
    assert keeper.offer(copied, parts).err_value.place == "root.approvals"
    approved = sign_root(signed, OTHER_PRIVATE, approve=True)
    assert keeper.offer(approved, parts).is_ok()


def test_second_root_of_a_version_is_reported_only_if_signed():
    """Guards against unsigned roots that fill the logs; a signed one is a fault."""
    conflicts = []
    keeper = BundleKeeper([PUBLIC], on_conflict=conflicts.append)
    assert keeper.offer(*signed_bundle()).is_ok()
    other, parts = signed_bundle(raw_bundle(accounts=[]))
    assert keeper.offer(SignedRoot(other.body), parts).is_err()
    assert conflicts == []
    assert keeper.offer(other, parts).is_err()
    assert conflicts == [other]


def test_file_round_trip_and_place_of_each_fault():
    signed, parts = signed_bundle(raw_bundle(services=[], models=[]))
    data = encode_file(signed, parts)
    assert decode_file(data)[:2] == (signed, parts)
    content = cbor2.loads(data)
    for changes, place in (
        ({"format": "other"}, "file.format"),
        ({"colour": 1}, "file"),
        ({"root": "text"}, "file.root"),
        ({"parts": content["parts"][1:]}, "accounts[bucket 0]"),
        ({"parts": [*content["parts"], b"more"]}, "file.parts"),
    ):
        with pytest.raises(BundleError) as caught:
            decode_file(encode_canonical({**content, **changes}))
        assert caught.value.place == place


values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=5)
    | st.binary(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["name", "rank", "token_sha256", "layers", "version", "x"]),
            inner,
            max_size=3,
        )
    ),
    max_leaves=8,
)
bounded = settings(derandomize=True, max_examples=150, deadline=None)


@bounded
@given(st.dictionaries(st.sampled_from([*raw_bundle(), "policy"]), values))
def test_any_values_end_in_a_bundle_or_a_bundle_error(changes):
    try:
        bundle = bundle_from_mapping(raw_bundle(**changes))
    except BundleError:
        return
    root, parts = split_bundle(bundle, 1)
    assert assemble(root, parts) == bundle


@bounded
@given(st.data())
def test_flipped_byte_is_never_taken(data):
    """Whatever byte of a file changes, the content that was signed is unchanged."""
    signed, parts = signed_bundle()
    whole = bytearray(encode_file(signed, parts))
    index = data.draw(st.integers(0, len(whole) - 1))
    whole[index] ^= data.draw(st.integers(1, 255))
    keeper = BundleKeeper([PUBLIC])
    try:
        got, got_parts, _ = decode_file(bytes(whole))
    except BundleError:
        return
    if keeper.offer(got, got_parts).is_ok():
        assert keeper.sha256 == signed.sha256


@bounded
@given(
    st.sets(st.text("abc", min_size=1, max_size=6), min_size=1, max_size=40),
    st.integers(0, 10**6),
    st.sampled_from([1, 4, 16]),
)
def test_change_of_one_account_changes_one_part(names, choice, size):
    items = [{"name": name, "token_sha256": []} for name in sorted(names)]
    before = bundle_from_mapping(raw_bundle(accounts=items))
    items[choice % len(items)]["share"] = 5
    after = bundle_from_mapping(raw_bundle(accounts=items))
    old, old_parts = split_bundle(before, 1, "", size)
    new, new_parts = split_bundle(after, 1, "", size)
    assert len(new_parts.keys() - old_parts.keys()) == 1
    assert assemble(new, new_parts) == after
    assert sha256_hex(encode_root(old)) != sha256_hex(encode_root(new))


def test_signed_root_round_trip():
    signed, _ = signed_bundle(raw_bundle(policy=asdict(Policy(1, 0))))
    assert decode_root(encode_signed_root(signed)) == signed
