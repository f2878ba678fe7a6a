"""Which addresses callers get."""

import msgspec
import pytest

from heathershunt.discovery import Member, MemberList
from heathershunt.gateway.directory import MAX_ADDRESSES, Directory

DOMAINS = "abcde"


@pytest.fixture
def members(clock):
    """390 VMs in five domains."""
    members = MemberList(clock)
    for number in range(390):
        address = f"10.0.{number // 250}.{number % 250}:80"
        members.put(Member(f"vm-{number:03}", address, DOMAINS[number % 5]))
    return members


def directory(members, own="10.9.0.1:80", takes_callers=False):
    directory = Directory(members, own, "a", 1.0)
    directory.takes_callers = takes_callers
    return directory


def test_all_vms_of_a_large_fleet_get_callers(members):
    # The load: more VMs than one answer lists. Every answer named the same 64, and the
    # others idled.
    answers = [set(directory(members).addresses(domain)) for domain in DOMAINS]
    assert {len(answer) for answer in answers} == {MAX_ADDRESSES}
    assert len(set().union(*answers)) == MAX_ADDRESSES * len(DOMAINS)


def test_fleet_a_little_larger_than_an_answer_is_used_evenly(clock):
    members = MemberList(clock)
    for number in range(78):
        name = f"10.0.0.{number}:80"
        members.put(Member(f"vm-{number}", name, DOMAINS[number % 5]))
    answers = [directory(members).addresses(domain) for domain in DOMAINS]
    uses = [sum(m.callers in a for a in answers) for m in members.members()]
    assert min(uses) >= 1


def test_callers_of_a_domain_get_the_same_answer_from_every_vm(members):
    # Callers leave open connections to addresses that a new answer lacks.
    other = directory(members, own=members.members()[7].callers, takes_callers=True)
    assert directory(members).addresses("c") == other.addresses("c")


def test_answer_of_a_small_fleet_names_every_vm(clock):
    members = MemberList(clock)
    members.put(Member("vm-1", "10.0.0.1:80", "a"))
    members.put(Member("vm-2", "10.0.0.2:80", "b"))
    found = directory(members, "10.0.0.3:80", takes_callers=True).answer("b")
    addresses = msgspec.json.decode(found.body)["addresses"]
    assert addresses == ["10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"]


def test_vm_that_takes_no_callers_leaves_itself_out(clock):
    members = MemberList(clock)
    members.put(Member("vm-1", "10.0.0.1:80", "a"))
    assert directory(members, "10.0.0.1:80").addresses("a") == []
