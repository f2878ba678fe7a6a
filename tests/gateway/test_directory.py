"""Addresses in the answers of the directory."""

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


def directory(members, own="10.9.0.1:80", accepts_callers=False):
    directory = Directory(members, own, "a", 1.0)
    directory.accepts_callers = accepts_callers
    return directory


def test_domains_of_a_large_fleet_get_different_vms(members):
    # Guards against answers that all list the same 64 VMs of a larger fleet, while the
    # other VMs are idle.
    answers = [set(directory(members).addresses(domain)) for domain in DOMAINS]
    assert {len(answer) for answer in answers} == {MAX_ADDRESSES}
    assert len(set().union(*answers)) == MAX_ADDRESSES * len(DOMAINS)


def test_every_vm_of_a_fleet_slightly_larger_than_an_answer_is_listed(clock):
    members = MemberList(clock)
    for number in range(78):
        name = f"10.0.0.{number}:80"
        members.put(Member(f"vm-{number}", name, DOMAINS[number % 5]))
    answers = [directory(members).addresses(domain) for domain in DOMAINS]
    uses = [sum(m.callers in a for a in answers) for m in members.members()]
    assert min(uses) >= 1


def test_callers_of_a_domain_get_the_same_answer_from_every_vm(members):
    # Callers abandon open connections to addresses that a new answer does not list.
    other = directory(members, own=members.members()[7].callers, accepts_callers=True)
    assert directory(members).addresses("c") == other.addresses("c")


def test_answer_of_a_small_fleet_lists_every_vm(clock):
    members = MemberList(clock)
    members.put(Member("vm-1", "10.0.0.1:80", "a"))
    members.put(Member("vm-2", "10.0.0.2:80", "b"))
    found = directory(members, "10.0.0.3:80", accepts_callers=True).answer("b")
    addresses = msgspec.json.decode(found.body)["addresses"]
    assert addresses == ["10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"]


def test_vm_that_accepts_no_callers_does_not_list_itself(clock):
    members = MemberList(clock)
    members.put(Member("vm-1", "10.0.0.1:80", "a"))
    assert directory(members, "10.0.0.1:80").addresses("a") == []
