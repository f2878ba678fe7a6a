"""Division of a limit among VMs."""

import pytest
from hypothesis import given, strategies as st

from heathershunt.ratelimits.shares import (
    MIN_RATE,
    USED_FRACTION,
    SenderRing,
    sender_count,
    share_per_s,
)

# The stated rule: in each 4 s, one and a half times what the limit allows and 5 more.
WINDOW_S = 4
RATES = st.floats(0, 2000)
VMS = st.integers(1, 390)


def names(count):
    return [f"vm-{number:03}" for number in range(count)]


# Guards against hundreds of VMs that each send a first request.
@given(RATES, VMS)
def test_bursts_of_all_senders_stay_within_the_rule(per_s, vms):
    usable = max(MIN_RATE, per_s * USED_FRACTION)
    most = sender_count(per_s, vms) + usable * WINDOW_S
    assert most <= 1.5 * per_s * WINDOW_S + 5


@given(RATES, VMS, st.integers(0, 5))
def test_vms_agree_on_the_senders(per_s, vms, seed):
    target = f"target-{seed}"
    count = sender_count(per_s, vms)
    senders = SenderRing(names(vms)).senders(target, count)
    assert len(senders) == len(set(senders)) == count
    assert senders == SenderRing(names(vms)[::-1]).senders(target, count)


def test_targets_have_different_senders():
    ring = SenderRing(names(390))
    senders = {ring.senders(f"target-{number}", 4) for number in range(50)}
    assert len(senders) > 40


# Guards against a roll that takes the parts of all targets from all VMs.
def test_vm_that_leaves_changes_one_sender_of_a_target():
    before, after = SenderRing(names(390)), SenderRing(names(389))
    for number in range(100):
        lost = set(before.senders(f"target-{number}", 6))
        lost -= set(after.senders(f"target-{number}", 6))
        assert lost <= {"vm-389"}


@given(RATES, st.lists(st.floats(0, 1000), min_size=1, max_size=40))
def test_parts_add_up_to_what_is_used(per_s, demands):
    senders = names(len(demands))
    demand_by_vm = dict(zip(senders, demands, strict=True))
    total = sum(share_per_s(vm, senders, per_s, demand_by_vm) for vm in senders)
    assert total == pytest.approx(max(MIN_RATE, per_s * USED_FRACTION))


@given(RATES, VMS)
def test_parts_are_equal_while_a_demand_is_unknown(per_s, vms):
    senders = names(vms)
    known = {vm: 100.0 for vm in senders[1:]} | {"other": 1.0}
    parts = {share_per_s(vm, senders, per_s, known) for vm in senders}
    assert len(parts) == 1


def test_part_follows_the_demand():
    senders = names(2)
    busy = share_per_s(senders[0], senders, 10, {"vm-000": 30.0, "vm-001": 10.0})
    calm = share_per_s(senders[1], senders, 10, {"vm-000": 30.0, "vm-001": 10.0})
    assert busy == pytest.approx(3 * calm)


def test_vm_without_requests_keeps_a_part():
    assert share_per_s("vm-001", names(2), 10, {"vm-000": 30.0, "vm-001": 0.0}) > 0


def test_other_vms_have_no_part():
    assert share_per_s("vm-002", names(2), 10, {}) == 0
