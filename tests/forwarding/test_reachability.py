import pytest

from heathershunt.forwarding import Reachability
from heathershunt.forwarding.reachability import (
    EVIDENCE_MS,
    MIN_FAILED_TARGETS,
    OWN_FAULT_MS,
)


@pytest.fixture
def reachability(clock):
    return Reachability(clock, lambda: 10)


def fail(reachability, *target_ids):
    return [reachability.record_failure(target_id) for target_id in target_ids]


def test_three_targets_that_fail_mean_cut_off(reachability):
    assert fail(reachability, "a", "b", "c") == [False, False, True]
    assert reachability.is_cut_off


def test_one_target_that_fails_often_does_not(reachability):
    # Guards against a dead target that makes a VM forward what it could serve.
    assert not any(fail(reachability, *"aaaaa"))
    assert reachability.is_in_doubt


def test_success_between_failures_ends_the_doubt(reachability):
    fail(reachability, "a", "b")
    reachability.record_success()
    assert reachability.is_sound
    assert not any(fail(reachability, "c", "d"))


def test_failures_that_are_far_apart_do_not_count_together(clock, reachability):
    # Guards against single faults that add up over minutes on an idle VM.
    fail(reachability, "a", "b")
    clock.advance(EVIDENCE_MS + 1)
    assert fail(reachability, "c") == [False]
    assert reachability.failed_ids() == {"c"}


@pytest.mark.parametrize("listed", [1, 2])
def test_few_listed_targets_must_all_fail(clock, listed):
    reachability = Reachability(clock, lambda: listed)
    assert fail(reachability, *"ab"[:listed])[-1]


def test_vm_without_targets_is_not_cut_off(clock):
    reachability = Reachability(clock, lambda: 0)
    assert fail(reachability, "a") == [False] or not reachability.needed


def test_state_ends_with_one_success(clock, reachability):
    start = clock.now()
    fail(reachability, "a")
    clock.advance(200)
    fail(reachability, "b", "c")
    assert reachability.cut_since == start
    clock.advance(5000)
    assert reachability.is_cut_off
    assert reachability.record_success() == 5200
    assert reachability.is_sound
    assert reachability.record_success() is None


def test_success_is_known_by_its_time(clock, reachability):
    before = clock.now()
    assert not reachability.has_reached_since(before)
    clock.advance(1)
    reachability.record_success()
    assert reachability.has_reached_since(before)
    assert not reachability.has_reached_since(clock.now())


def test_target_that_is_down_alone_raises_no_further_doubt(clock, reachability):
    # Guards against checks of the links that go on while single targets are down.
    reachability.record_failure("t1")
    assert reachability.is_in_doubt
    reachability.record_success()
    clock.advance(500)
    reachability.record_failure("t1")
    assert not reachability.is_in_doubt
    reachability.record_failure("t2")
    assert reachability.is_in_doubt
    clock.advance(OWN_FAULT_MS)
    reachability.record_failure("t1")
    assert reachability.is_in_doubt


def test_cut_is_found_beside_targets_that_are_down_alone(clock, reachability):
    reachability.record_failure("t1")
    reachability.record_success()
    for number in range(2, 2 + MIN_FAILED_TARGETS):
        is_cut = reachability.record_failure(f"t{number}")
    assert is_cut and reachability.is_cut_off
