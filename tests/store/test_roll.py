import pytest

from heathershunt.bundle import (
    BundleError,
    BundleKeeper,
    SignedRoot,
    bundle_from_mapping,
    encode_root,
    new_key_pair,
    sign_root,
    split_bundle,
)
from heathershunt.http import Address, HttpClient
from heathershunt.store import BundleWatch, KeyValueStore, roll_bundle
from standins.platform import Faults, Platform

PRIVATE, PUBLIC = new_key_pair()
ACCOUNTS = 600


@pytest.fixture
async def platform():
    platform = Platform()
    await platform.start()
    yield platform
    await platform.http.close()


@pytest.fixture
async def store(platform):
    http = HttpClient()
    yield KeyValueStore(http, (Address("127.0.0.1", platform.http.port),))
    http.close()


def signed_bundle(version, previous="", share=1):
    accounts = [
        {"name": f"a{n}", "token_sha256": [], "share": share if n == 7 else 1}
        for n in range(ACCOUNTS)
    ]
    priorities = [{"name": "normal", "rank": 1}]
    bundle = bundle_from_mapping(
        {"version": version, "accounts": accounts, "priorities": priorities}
    )
    root, parts = split_bundle(bundle, 1, previous)
    return sign_root(SignedRoot(encode_root(root)), PRIVATE), parts


async def test_roll_can_be_repeated_until_a_second_one_follows(store):
    """An operator who lost the reply repeats the roll, perhaps after another's roll."""
    one, parts = signed_bundle(1)
    for _ in range(2):
        assert (await roll_bundle(store, one, parts)).is_ok()
    two, two_parts = signed_bundle(2, one.sha256)
    assert (await roll_bundle(store, two, two_parts)).is_ok()
    assert (await roll_bundle(store, one, parts)).is_ok()
    other, parts = signed_bundle(2, one.sha256, share=3)
    outcome = await roll_bundle(store, other, parts)
    assert outcome.err_value.place == "root.version"
    wrong_previous, parts = signed_bundle(4, one.sha256)
    outcome = await roll_bundle(store, wrong_previous, parts)
    assert outcome.err_value.place == "root.previous"


async def test_only_changed_parts_are_written(store, platform):
    """Each write counts against the rate limit of the store."""
    one, parts = signed_bundle(1)
    assert (await roll_bundle(store, one, parts)).is_ok()
    before = platform.counts["writes"]
    two, parts = signed_bundle(2, one.sha256, share=3)
    assert (await roll_bundle(store, two, parts)).is_ok()
    assert platform.counts["writes"] - before == 2


async def test_root_is_read_back_after_a_lost_swap_reply(store, platform):
    one, parts = signed_bundle(1)
    assert (await roll_bundle(store, one, parts)).is_ok()
    two, _ = signed_bundle(2, one.sha256)
    platform.faults = Faults(lose_replies=1)
    assert (await roll_bundle(store, two, {})).is_ok()


async def test_roll_retries_writes_that_exceed_the_rate_limit(store, platform):
    """Guards against a roll that a burst of part writes ends halfway."""
    platform._writes.rate = 5.0
    platform._writes.level = 2.0
    one, parts = signed_bundle(1)
    assert len(parts) > 2
    assert (await roll_bundle(store, one, parts)).is_ok()


async def test_watch_reports_a_bundle_that_is_refused(store):
    refused: list[BundleError] = []
    keeper = BundleKeeper([new_key_pair()[1]])
    watch = BundleWatch(store, keeper, lambda: None, refused.append)
    assert (await roll_bundle(store, *signed_bundle(1))).is_ok()
    assert await watch._watch_once()
    assert [error.place for error in refused] == ["root.signatures"]


async def test_watch_retries_while_a_part_is_missing(store):
    """Guards against losing a bundle because a replica of the store lacks a part."""
    signed, parts = signed_bundle(1)
    keeper = BundleKeeper([PUBLIC])
    watch = BundleWatch(store, keeper, lambda: None)
    assert (await roll_bundle(store, signed, {})).is_ok()
    assert not await watch._watch_once()
    for digest, data in parts.items():
        await store.swap(f"bundle/parts/{digest}", data, 0)
    assert await watch._watch_once()
    assert keeper.version == 1
