from heathershunt.discovery import Member, MemberList
from heathershunt.gateway.upstream import (
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
