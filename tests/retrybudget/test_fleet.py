"""What targets receive from whole fleets, in the model of ``measure.retry_budget``."""

import pytest

from measure.retry_budget import (
    BURSTS,
    CASES,
    MANY_REQUESTS_PER_S,
    largest_sum,
    need,
)

SIZES = (4, 9, 33, 78)


# Guards the bound against retries of VMs that take all they can get: right before, and
# as often as they can after, something happens to them or their coordinators.
@pytest.mark.parametrize("case", CASES)
@pytest.mark.parametrize("vms", SIZES)
def test_retries_stay_within_the_budget(vms, case):
    assert largest_sum(vms, case, seed=1) <= 1


# The same where requests earn more than the slack, so that a process that forgets the
# retries of the one before it exceeds the bound by what it earns.
@pytest.mark.parametrize("case", CASES)
@pytest.mark.parametrize("vms", [9, 71])
def test_retries_of_busy_fleets_stay_within_the_budget(vms, case):
    assert largest_sum(vms, case, seed=1, requests_per_s=MANY_REQUESTS_PER_S) <= 1


@pytest.mark.parametrize(
    "case", ["calm", "one_by_one", "all_at_once", "all_at_once_often", "cut"]
)
def test_retries_of_the_largest_fleet_stay_within_the_budget(case):
    assert largest_sum(390, case, seed=1) <= 1


@pytest.mark.parametrize("vms", [9, 33, 78])
def test_fleet_uses_more_than_by_head_count(vms):
    # Guards against a division that keeps the bound as it grants next to nothing.
    assert largest_sum(vms, "calm", 1) > largest_sum(vms, "calm", 1, False)


# Guards against streams that are refused after one rejection while the budget of the
# fleet is hardly used.
@pytest.mark.parametrize("case", ["few_busy", "two_busy", "many", "large"])
def test_burst_of_rejections_at_few_vms_finds_retries(case):
    before = need(BURSTS[case], seed=1, is_divided=False)
    after = need(BURSTS[case], seed=1)
    assert before.denied_with_rest > before.wanted / 2
    assert after.denied <= after.wanted / 20


def test_small_fleet_denies_as_before():
    assert need(BURSTS["few"], 1) == need(BURSTS["few"], 1, is_divided=False)
