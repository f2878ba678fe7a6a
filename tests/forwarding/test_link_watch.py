import asyncio

import pytest

from heathershunt.clock import SystemClock
from heathershunt.discovery import Target, TargetRegistry
from heathershunt.forwarding import LinkWatch
from heathershunt.forwarding.reachability import EVIDENCE_MS
from heathershunt.http import Address

IDS = [f"t{number}" for number in range(6)]


class ScriptedClient:
    """Client that reaches the addresses of some targets."""

    def __init__(self, registry):
        self.registry = registry
        self.reachable = set(IDS)
        self.tried = []
        self.on_connection = None

    async def accepts(self, address, connect_ms):
        await asyncio.sleep(0.01)
        target_id = self.registry.id_at(address)
        self.tried.append(target_id)
        is_established = target_id in self.reachable
        self.on_connection(address, is_established)
        return is_established


@pytest.fixture
def registry():
    registry = TargetRegistry(SystemClock(), lambda target_id: None)
    for number, target_id in enumerate(IDS):
        address = Address("10.0.0.1", number + 1)
        registry.put(Target(target_id, "s", address, "a", 4, 1))
    return registry


@pytest.fixture
def client(registry):
    return ScriptedClient(registry)


@pytest.fixture
def cuts():
    return []


@pytest.fixture
async def links(registry, client, cuts):
    clock = SystemClock()
    links = LinkWatch(
        clock, client, registry, lambda event: None, cuts.append, lambda: True
    )
    running = asyncio.create_task(links.run())
    yield links
    running.cancel()


def fail(client, target_id):
    client.on_connection(client.registry.get(target_id).address, False)


async def test_first_failure_is_checked_at_other_targets(links, client):
    # Guards against a cut that requests to one or two targets alone cannot show.
    client.reachable = set()
    fail(client, "t0")
    await links.settle()
    assert links.is_cut_off and not links.sends_locally
    assert len(set(client.tried[:2])) == 2 and "t0" not in client.tried[:2]


async def test_check_that_reaches_a_target_ends_the_doubt(links, client, cuts):
    client.reachable = {"t2", "t3", "t4", "t5"}
    for target_id in ("t0", "t1"):
        fail(client, target_id)
    await asyncio.sleep(0.6)
    assert links.is_sound and not cuts
    assert len(client.tried) <= 3


async def test_cut_is_told_with_a_time_before_the_first_failure(links, client, cuts):
    # Guards against ejections that stay, as open connections broke before new ones.
    client.reachable = set()
    before = SystemClock().now()
    fail(client, "t0")
    await links.settle()
    assert len(cuts) == 1
    assert before - EVIDENCE_MS <= cuts[0] <= before


async def test_probes_go_to_one_target_after_the_other(links, client):
    # Guards against a return that is missed as one target is down for good.
    client.reachable = set()
    fail(client, "t0")
    await links.settle()
    client.tried.clear()
    await asyncio.sleep(1.3)
    assert 2 <= len(client.tried) <= 4
    assert len(set(client.tried)) == len(client.tried)
    client.reachable = set(IDS)
    await asyncio.sleep(0.6)
    assert links.is_sound and links.sends_locally


async def test_failures_at_other_addresses_do_not_count(links, client):
    # Guards against a store or a VM that is away and taken for the targets.
    for port in range(100, 110):
        client.on_connection(Address("10.0.0.9", port), False)
    assert links.is_sound


async def test_refused_connection_is_compared_with_other_targets(links, client):
    # Guards against crash evidence from refusals of a link that is cut.
    since = SystemClock().now()
    client.reachable = set()
    fail(client, "t0")
    assert not await links.has_reached_other("t0", since)
    client.reachable = {"t1", "t2", "t3", "t4", "t5"}
    assert await links.has_reached_other("t0", since)
    client.tried.clear()
    assert await links.has_reached_other("t0", since - 1)


async def test_use_of_another_target_answers_without_a_check(links, client):
    # Guards against three connections for each target that ends, though requests that
    # reached others show that the links are sound.
    since = SystemClock().now() - 1
    client.on_connection(client.registry.get("t1").address, True)
    assert await links.has_reached_other("t0", since)
    assert not client.tried
