import asyncio
from dataclasses import replace

import pytest

from heathershunt.bundle import ConfirmationTracker
from tests.bundle.bundles import PUBLIC, make_bundle, sign_bundle
from tests.nodes import until


@pytest.fixture
async def nodes(start_node):
    first = await start_node("a", trusted=[PUBLIC])
    others = [
        await start_node(vm, first.address, trusted=[PUBLIC]) for vm in ("b", "c")
    ]
    nodes = [first, *others]
    await until(lambda: all(len(node.mesh.links_by_vm) == 2 for node in nodes))
    return nodes


def put_in_force(node, bundle):
    assert node.keeper.offer(*sign_bundle(bundle)).is_ok()
    node.replicator.announce()


def versions(nodes):
    return [node.keeper.version for node in nodes]


async def test_bundle_reaches_all_peers_and_a_late_joiner(nodes, start_node):
    put_in_force(nodes[0], make_bundle(3, accounts=3000))
    await until(lambda: versions(nodes) == [3, 3, 3])
    late_node = await start_node("late", nodes[2].address, trusted=[PUBLIC])
    await until(lambda: late_node.keeper.version == 3)
    assert len(late_node.keeper.bundle.accounts_by_name) == 3000


async def test_new_version_is_announced_before_the_next_heartbeat_is_due(nodes):
    for node in nodes:
        node.mesh._heartbeat_due = node.clock.now() + 3_600_000
    put_in_force(nodes[0], make_bundle(3))
    await until(lambda: versions(nodes) == [3, 3, 3])


async def test_only_missing_parts_are_fetched(nodes):
    before = make_bundle(1, accounts=3000)
    put_in_force(nodes[0], before)
    await until(lambda: versions(nodes) == [1, 1, 1])
    fetched = []
    for node in nodes[1:]:
        fetch = node.replicator._fetch_part

        async def counted(link, sha256, size, fetch=fetch):
            fetched.append(sha256)
            return await fetch(link, sha256, size)

        node.replicator._fetch_part = counted
    account = replace(before.accounts_by_name["account-1"], share=3)
    accounts = {**before.accounts_by_name, "account-1": account}
    put_in_force(nodes[0], replace(before, version=2, accounts_by_name=accounts))
    await until(lambda: versions(nodes) == [2, 2, 2])
    assert len(fetched) == 2


async def test_bundle_is_fetched_elsewhere_if_a_peer_sends_altered_parts(nodes):
    bundle = make_bundle(4, accounts=600)
    put_in_force(nodes[1], bundle)
    faulty = nodes[0]
    await until(lambda: versions(nodes) == [4, 4, 4])
    put_in_force(faulty, make_bundle(7, accounts=600))
    await until(lambda: versions(nodes) == [7, 7, 7])
    held = faulty.keeper.parts_by_sha256
    faulty.keeper.parts_by_sha256 = {key: bytes(len(v)) for key, v in held.items()}
    others = [node for node in nodes if node is not faulty]
    for node in others:
        node.keeper.signed, node.keeper.bundle = None, None
        node.keeper.parts_by_sha256 = {}
    put_in_force(others[1], make_bundle(7, accounts=600))
    await until(lambda: versions(nodes) == [7, 7, 7])
    assert others[0].keeper.bundle == others[1].keeper.bundle


async def test_bundle_signed_by_an_untrusted_key_is_refused(start_node):
    first = await start_node("a", trusted=[PUBLIC])
    other = await start_node("b", first.address, trusted=["00" * 32])
    put_in_force(first, make_bundle(9))
    await until(lambda: other.replicator._failed_at_by_vm)
    assert other.keeper.version == 0


async def test_equal_version_with_another_hash_is_reported_once(nodes):
    reports = []
    nodes[0].replicator._on_conflict = reports.append
    for node, accounts in zip(nodes[:2], (2, 3), strict=True):
        node.keeper.offer(*sign_bundle(make_bundle(2, accounts)))
    await until(lambda: "b" in reports)
    await asyncio.sleep(0.3)
    assert reports.count("b") == 1


def test_bundle_is_confirmed_only_within_the_limit_after_a_contact(clock):
    tracker = ConfirmationTracker(17_000)
    assert not tracker.is_confirmed(clock.now())
    tracker.record_store_contact(clock.now())
    clock.advance(17_000)
    assert tracker.is_confirmed(clock.now())
    tracker.record_peer_contact(clock.now())
    clock.advance(17_000)
    assert tracker.is_confirmed(clock.now())
    clock.advance(1)
    assert not tracker.is_confirmed(clock.now())
