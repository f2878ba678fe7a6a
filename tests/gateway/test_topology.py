from collections import Counter

import pytest

from heathershunt.discovery import Member, MemberList
from heathershunt.gateway.topology import (
    INTERMEDIATES_PER_GROUP,
    MAX_FLAT_FLEET,
    MAX_GROUP_SIZE,
    WATCHERS,
    Topology,
)
from heathershunt.http import Address

WAIT_MS = 1800


def fleet(clock, size):
    members = MemberList(clock)
    for number in range(size):
        peers = Address("10.0.0.1", number)
        members.put(Member(f"vm-{number:03}", f"10.0.0.1:{number}", "a", peers))
    return members


def test_small_fleet_watches_the_store(clock):
    members = fleet(clock, MAX_FLAT_FLEET)
    topologies = [Topology(members, name, WAIT_MS) for name in members.names()]
    assert all(topology.upstreams() == [] for topology in topologies)
    assert topologies[0].wait_ms() == WAIT_MS


def test_number_of_watchers_does_not_grow_with_the_fleet(clock):
    for size in (MAX_FLAT_FLEET + 1, 33, 300):
        members = fleet(clock, size)
        topologies = [Topology(members, name, WAIT_MS) for name in members.names()]
        watchers = [item for item in topologies if not item.upstreams()]
        assert len(watchers) == WATCHERS


def test_another_vm_watches_when_one_leaves(clock):
    members = fleet(clock, 20)
    topology = Topology(members, f"vm-{WATCHERS:03}", WAIT_MS)
    assert topology.upstreams()
    members.remove("vm-000")
    assert topology.upstreams() == []


@pytest.fixture
def large(clock):
    """Return the topology of each of 300 VMs by name."""
    members = fleet(clock, 300)
    return {name: Topology(members, name, WAIT_MS) for name in members.names()}


def names_of(addresses):
    return [f"vm-{address.port:03}" for address in addresses]


def test_number_of_followers_does_not_grow_with_the_fleet(large):
    # Guards against a load that grows with the fleet: 300 VMs polled the views of three
    # others several times a second.
    followers = Counter(
        name for item in large.values() for name in names_of(item.upstreams())
    )
    assert max(followers.values()) <= MAX_GROUP_SIZE + INTERMEDIATES_PER_GROUP * -(
        -300 // MAX_GROUP_SIZE
    )


def test_every_vm_is_at_most_two_hops_from_a_watcher(large):
    # Guards against two VMs that follow each other and keep an old view alive.
    watchers = {name for name, item in large.items() if not item.upstreams()}
    assert len(watchers) == WATCHERS
    for item in large.values():
        for name in names_of(item.upstreams()):
            assert (
                name in watchers or set(names_of(large[name].upstreams())) <= watchers
            )


def test_loads_are_aggregated_by_group_and_scaled_to_the_fleet(large):
    item = large["vm-150"]
    vms_by_aggregators = Counter(
        str(topology.aggregators()) for topology in large.values()
    )
    assert len(item.aggregators()) == WATCHERS
    assert max(vms_by_aggregators.values()) <= MAX_GROUP_SIZE
    assert item.fleet_factor() == pytest.approx(300 / MAX_GROUP_SIZE, rel=0.1)


def test_loads_of_a_fleet_of_one_group_are_not_scaled(clock):
    members = fleet(clock, MAX_GROUP_SIZE)
    assert Topology(members, "vm-001", WAIT_MS).fleet_factor() == 1.0
