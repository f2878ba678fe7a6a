from dataclasses import replace

import pytest

from heathershunt.retrybudget import GrantLedger, GrantReason
from heathershunt.retrybudget.grants import GRANT_TTL_MS, GrantId
from heathershunt.retrybudget.ledger import (
    EARNING_WINDOWS,
    MAX_RETRIES_PER_GRANT,
    MAX_SERVICES,
    MAX_VIEW_AGE_MS,
    NEW_PROCESS_WINDOWS,
    POOL_FRACTION,
    UNSTARTED_POOL_FRACTION,
)
from tests.retrybudget.conftest import CONFIG, FIRST, WINDOW_MS, Coordinator

POOL = int(POOL_FRACTION * CONFIG.slack)


def test_pool_is_granted_once_in_a_window(coordinator):
    assert coordinator.grant_all() == POOL
    coordinator.advance(WINDOW_MS)
    assert coordinator.grant_all() == 0
    coordinator.advance(GRANT_TTL_MS)
    assert coordinator.grant_all() == POOL


def test_part_of_the_pool_is_kept_for_streams_that_have_begun(coordinator):
    # Guards against streams that break because requests without a first event have
    # used the whole pool.
    unstarted = coordinator.grant_all(has_begun=False)
    assert unstarted == int(POOL * UNSTARTED_POOL_FRACTION)
    assert coordinator.grant_all() == POOL - unstarted


def test_groups_divide_the_pool_by_their_size(clock):
    coordinator = Coordinator(clock)
    coordinator.standing = replace(FIRST, group=33, vms=66)
    coordinator.advance(3 * WINDOW_MS)
    assert coordinator.grant_all() == POOL // 2


def test_services_have_separate_pools(coordinator):
    coordinator.grant_all()
    assert coordinator.ledger.grant("vm-1", "other", 1, False).retries == 1


def test_grant_has_a_largest_size(coordinator):
    decision = coordinator.ledger.grant("vm-1", "s", 100, True)
    assert decision.retries == MAX_RETRIES_PER_GRANT
    assert decision.left == POOL - MAX_RETRIES_PER_GRANT


def test_new_coordinator_earns_its_pool_from_0(clock, coordinator):
    # Guards against two pools in one window: the coordinator before may have granted
    # all of its pool.
    coordinator.standing = replace(FIRST, is_first=False)
    coordinator.advance(100)
    coordinator.standing = FIRST
    coordinator.advance(100)
    assert coordinator.ledger.grant("vm-1", "s", 1, True).reason is GrantReason.STARTING
    coordinator.advance(WINDOW_MS)
    assert coordinator.grant_all() == int(POOL / EARNING_WINDOWS)


def test_new_process_earns_nothing_at_first(clock):
    # Guards against the same where all VMs restart again and again.
    coordinator = Coordinator(clock)
    coordinator.advance(int(NEW_PROCESS_WINDOWS * WINDOW_MS))
    assert coordinator.grant_all() == 0
    coordinator.advance(WINDOW_MS)
    assert coordinator.grant_all() == int(POOL / EARNING_WINDOWS)


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({"is_first": False}, GrantReason.NOT_FIRST),
        ({"view_age_ms": MAX_VIEW_AGE_MS}, GrantReason.OLD_VIEW),
        ({"view_age_ms": None}, GrantReason.OLD_VIEW),
        ({"vms": 8, "group": 8}, GrantReason.SMALL_FLEET),
    ],
)
def test_vm_that_is_no_coordinator_grants_nothing(coordinator, changes, reason):
    coordinator.standing = replace(FIRST, **changes)
    coordinator.advance(100)
    decision = coordinator.ledger.grant("vm-1", "s", 1, True)
    assert (decision.retries, decision.reason) == (0, reason)
    assert coordinator.ledger.left("s", True) is None


def test_frozen_coordinator_grants_nothing_as_it_resumes(clock, coordinator):
    # Guards against two coordinators: the other VMs have another one by then. The calls
    # that wait at its listener may be read before anything else.
    clock.advance(MAX_VIEW_AGE_MS)
    decision = coordinator.ledger.grant("vm-1", "s", 1, True)
    assert decision.reason is GrantReason.OLD_VIEW
    coordinator.advance(100)
    assert coordinator.grant_all() == 0


def test_short_freeze_ends_no_term(clock, coordinator):
    clock.advance(MAX_VIEW_AGE_MS - 200)
    coordinator.advance(100)
    assert coordinator.grant_all() == POOL


def test_unused_retries_are_granted_again(coordinator):
    decision = coordinator.ledger.grant("vm-1", "s", 8, True)
    coordinator.grant_all(vm="vm-2")
    coordinator.ledger.give_back("vm-1", "s", {decision.id: 5})
    assert coordinator.grant_all() == 5


@pytest.mark.parametrize(
    ("vm", "change"),
    [
        ("vm-2", {}),
        ("vm-1", {"term": "of another coordinator"}),
        ("vm-1", {"number": 99}),
    ],
)
def test_retries_of_others_are_not_taken_back(coordinator, vm, change):
    # Guards against a pool that grows by what another coordinator has granted.
    decision = coordinator.ledger.grant("vm-1", "s", 8, True)
    coordinator.grant_all()
    grant = replace(decision.id, **change)
    coordinator.ledger.give_back(vm, "s", {grant: 8})
    assert coordinator.grant_all() == 0


def test_more_than_was_granted_is_not_taken_back(coordinator):
    # Guards against the same by a VM that returns a grant twice.
    decision = coordinator.ledger.grant("vm-1", "s", 3, True)
    coordinator.grant_all()
    for _ in range(2):
        coordinator.ledger.give_back("vm-1", "s", {decision.id: 8})
    assert coordinator.grant_all() == 3


def test_services_that_others_name_are_bounded(coordinator):
    # Guards against memory that grows with what other VMs send.
    for number in range(MAX_SERVICES):
        assert coordinator.ledger.grant("vm-1", f"s{number}", 1, True).retries == 1
    assert coordinator.ledger.grant("vm-1", "one more", 1, True).retries == 0
    coordinator.advance(WINDOW_MS + GRANT_TTL_MS)
    assert coordinator.ledger.grant("vm-1", "one more", 1, True).retries == 1


def test_terms_differ(clock):
    ids = set()
    for _ in range(3):
        ledger = GrantLedger(clock, CONFIG)
        clock.advance(WINDOW_MS)
        ledger.update(FIRST)
        for _ in range(30):
            clock.advance(500)
            ledger.update(FIRST)
        ids.add(ledger.grant("vm-1", "s", 1, True).id)
    assert len(ids) == 3
    assert all(isinstance(item, GrantId) for item in ids)
