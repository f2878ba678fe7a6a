import random
from collections import Counter

import pytest

from heathershunt.membership import AddressSelector, Membership, VmRecord


@pytest.fixture
def members(clock):
    members = Membership(record(0), clock.now())
    members.merge([record(index) for index in range(1, 12)], clock.now())
    return members


def record(index):
    name = f"vm-{index}"
    return VmRecord(name, 1, f"10.0.0.{index}:80", domain=f"d{index % 3}")


@pytest.fixture
def selector(members):
    return AddressSelector(members, random.Random(5))


def answers(selector, clock, count, **options):
    return [selector.address_answer(clock.now(), **options) for _ in range(count)]


def test_load_is_spread_over_all_vms(selector, clock):
    counts = Counter(answer.vm for answer in answers(selector, clock, 2400))
    assert len(counts) == 12
    assert max(counts.values()) < 2 * min(counts.values())


def test_caller_keeps_its_vm_until_that_vm_leaves(selector, members, clock):
    first = selector.address_answer(clock.now(), caller="192.0.2.7")
    assert {a.vm for a in answers(selector, clock, 9, caller="192.0.2.7")} == {first.vm}
    members.mark_leaving(clock.now(), first.vm)
    second = selector.address_answer(clock.now(), caller="192.0.2.7")
    assert second.vm != first.vm


def test_near_domain_is_preferred_but_not_used_alone(selector, clock):
    counts = Counter(a.vm for a in answers(selector, clock, 900, near_domain="d1"))
    near = sum(counts[f"vm-{index}"] for index in range(1, 12, 3))
    assert 500 < near < 800


def test_leaving_and_dead_vms_are_never_returned(selector, members, clock):
    members.mark_leaving(clock.now(), "vm-1")
    dead = record(2).declared_dead()
    members.merge([dead], clock.now())
    unusable = {"10.0.0.1:80", "10.0.0.2:80"}
    for answer in answers(selector, clock, 300):
        assert unusable.isdisjoint({answer.address, *answer.alternatives})


def test_alternatives_are_in_other_failure_domains(selector, clock):
    for answer in answers(selector, clock, 50):
        domains = [int(a.split(".")[3][:-3]) % 3 for a in answer.alternatives]
        own = int(answer.vm[3:]) % 3
        assert sorted([own, *domains]) == [0, 1, 2]


def test_answers_are_short_lived_while_the_fleet_changes(selector, members, clock):
    selector.address_answer(clock.now())
    clock.advance(60_000)
    settled = [answer.keep_ms for answer in answers(selector, clock, 50)]
    members.mark_leaving(clock.now(), "vm-1")
    changing = [answer.keep_ms for answer in answers(selector, clock, 50)]
    assert max(changing) < min(settled) and len(set(settled)) > 10


def test_no_answer_without_a_live_vm(selector, members, clock):
    for index in range(12):
        members.mark_leaving(clock.now(), f"vm-{index}")
    assert selector.address_answer(clock.now()) is None


def test_unseen_neighbour_is_used_last(selector, members, clock):
    members.set_neighbours({"vm-1", "vm-4"}, clock.now())
    clock.advance(2600)
    assert {"vm-1", "vm-4"}.isdisjoint(a.vm for a in answers(selector, clock, 300))
    for index in set(range(12)) - {1, 4}:
        members.mark_leaving(clock.now(), f"vm-{index}")
    assert selector.address_answer(clock.now()).vm in {"vm-1", "vm-4"}
