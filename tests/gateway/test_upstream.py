from collections import Counter

import pytest

from heathershunt.discovery import Member, MemberList
from heathershunt.gateway.upstream import (
    GROUP_LEADS,
    GROUP_VMS,
    LEAST_FLEET,
    WATCHING_VMS,
    Upstream,
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
    members = fleet(clock, LEAST_FLEET)
    upstreams = [Upstream(members, name, WAIT_MS) for name in members.names()]
    assert all(upstream.addresses() == [] for upstream in upstreams)
    assert upstreams[0].wait_ms() == WAIT_MS


def test_watching_vms_do_not_grow_with_the_fleet(clock):
    for size in (LEAST_FLEET + 1, 33, 300):
        members = fleet(clock, size)
        upstreams = [Upstream(members, name, WAIT_MS) for name in members.names()]
        watching = [item for item in upstreams if not item.addresses()]
        assert len(watching) == WATCHING_VMS


def test_another_vm_watches_when_one_leaves(clock):
    members = fleet(clock, 20)
    upstream = Upstream(members, f"vm-{WATCHING_VMS:03}", WAIT_MS)
    assert upstream.addresses()
    members.remove("vm-000")
    assert upstream.addresses() == []


@pytest.fixture
def large(clock):
    """Return the upstream of each of 300 VMs by name."""
    members = fleet(clock, 300)
    return {name: Upstream(members, name, WAIT_MS) for name in members.names()}


def names_of(addresses):
    return [f"vm-{address.port:03}" for address in addresses]


def test_followers_of_one_vm_do_not_grow_with_the_fleet(large):
    # The load: 300 VMs that poll the view of three others several times a second.
    followers = Counter(
        name for item in large.values() for name in names_of(item.addresses())
    )
    assert max(followers.values()) <= GROUP_VMS + GROUP_LEADS * -(-300 // GROUP_VMS)


def test_every_vm_reaches_one_that_watches_over_one_other_at_most(large):
    # Guards against two VMs that follow each other and keep an old view alive.
    watching = {name for name, item in large.items() if not item.addresses()}
    assert len(watching) == WATCHING_VMS
    for item in large.values():
        for name in names_of(item.addresses()):
            assert (
                name in watching or set(names_of(large[name].addresses())) <= watching
            )


def test_loads_are_shared_within_a_group_that_stands_for_the_fleet(large):
    item = large["vm-150"]
    told = Counter(str(upstream.boards()) for upstream in large.values())
    assert len(item.boards()) == WATCHING_VMS
    assert max(told.values()) <= GROUP_VMS
    assert item.fleet_factor() == pytest.approx(300 / GROUP_VMS, rel=0.1)


def test_fleet_of_one_group_tells_all_loads(clock):
    members = fleet(clock, GROUP_VMS)
    assert Upstream(members, "vm-001", WAIT_MS).fleet_factor() == 1.0
