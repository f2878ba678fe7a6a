import random
from collections import Counter

import pytest

from heathershunt.discovery import Member
from heathershunt.forwarding import HopChooser
from heathershunt.forwarding.choice import LEFT_OUT_MS
from heathershunt.http import Address

NEAR = ("a1", "a2", "a3", "a4")
FAR = ("b1", "b2", "b3")
DRAWS = 300


def member(vm):
    return Member(vm, "1.1.1.1:1", vm[0], Address("1.1.1.1", 2))


@pytest.fixture
def chooser(clock):
    members = [member(vm) for vm in (*NEAR, *FAR)]
    return HopChooser(clock, "a1", "a", lambda: members, random.Random(1))


def draw(chooser, asked=(), count=DRAWS):
    return Counter(chooser.choose(asked).vm for _ in range(count))


def test_own_domain_is_first_and_this_vm_is_never_chosen(chooser):
    assert set(draw(chooser)) == {"a2", "a3", "a4"}


def test_other_domains_follow_when_all_of_the_own_were_asked(chooser):
    assert set(draw(chooser, asked=("a2", "a3", "a4"))) == set(FAR)


def test_vm_that_did_not_take_a_request_is_left_out_for_a_while(clock, chooser):
    # Guards against requests that ask a VM again that is cut off, too.
    chooser.leave_out("a2")
    assert set(draw(chooser)) == {"a3", "a4"}
    clock.advance(LEFT_OUT_MS)
    assert set(draw(chooser)) == {"a2", "a3", "a4"}


def test_last_vm_of_a_domain_does_not_take_all(chooser):
    # Guards against the load of a whole domain on the one VM of it that has links.
    chooser.leave_out("a2")
    chooser.leave_out("a3")
    drawn = draw(chooser)
    assert set(drawn) == {"a4", *FAR}
    assert drawn["a4"] < DRAWS / 2


def test_all_left_out_are_asked_all_the_same(chooser):
    for vm in (*NEAR, *FAR):
        chooser.leave_out(vm)
    assert chooser.choose(()) is not None


def test_requests_that_run_through_a_vm_count_against_it(chooser):
    for _ in range(9):
        chooser.start("a2")
    drawn = draw(chooser)
    assert drawn["a2"] < drawn["a3"] / 3
    for _ in range(9):
        chooser.end("a2")
    assert draw(chooser)["a2"] > DRAWS / 5


def test_vm_without_others_has_nobody_to_ask(clock):
    chooser = HopChooser(clock, "a1", "a", lambda: [member("a1")])
    assert not chooser.has_others
    assert chooser.choose(()) is None


def test_vm_without_a_listener_for_vms_is_not_asked(clock):
    chooser = HopChooser(clock, "a1", "a", lambda: [Member("a2", "1.1.1.1:1", "a")])
    assert not chooser.has_others


def test_large_domain_without_links_is_left_after_a_few_vms(clock):
    # Guards against requests that ask their four VMs in a domain that is cut off whole,
    # which has more VMs than decline within a second.
    vms = [f"{domain}{number}" for domain in "abc" for number in range(130)]
    members = [member(vm) for vm in vms]
    chooser = HopChooser(clock, "a0", "a", lambda: members, random.Random(1))
    failed = 0
    for _ in range(50):
        clock.advance(60)
        asked = []
        while len(asked) < 4:
            chosen = chooser.choose(asked)
            asked.append(chosen.vm)
            if chosen.domain != "a":
                chooser.record_taken(chosen.vm)
                break
            chooser.leave_out(chosen.vm)
        else:
            failed += 1
    assert failed == 0


def test_vms_that_took_requests_are_preferred_after_two_that_did_not(chooser):
    # Guards against requests that fail though VMs are known that take them.
    chooser.record_taken("b2")
    chooser.leave_out("a2")
    chooser.leave_out("a3")
    assert set(draw(chooser, asked=("a2", "a3"))) == {"b2"}
