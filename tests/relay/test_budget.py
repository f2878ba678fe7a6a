import pytest

from heathershunt.pipelines import ServiceUsage
from heathershunt.relay import BudgetConfig, WindowBudget
from heathershunt.relay.budget import (
    FRESH_PART,
    LEAVE_PART,
    TOLD_FRESH_MS,
    USED_PART,
)

CONFIG = BudgetConfig(window_ms=1000, ratio=0.5, slack=10)


def take_all(budget, vms, has_begun=True):
    taken = 0
    while budget.take("s", vms, has_begun=has_begun):
        taken += 1
    return taken


def test_repeats_are_bounded_by_requests_and_a_share_of_the_slack(clock):
    budget = WindowBudget(clock, CONFIG)
    for _ in range(20):
        budget.note_request("s")
    assert take_all(budget, vms=2) == int(USED_PART * (20 * 0.5 + 10 / 2))


def test_all_vms_together_stay_within_the_budget(clock):
    # Guards the shared bound when VMs know nothing of each other's repeats.
    budgets = [WindowBudget(clock, CONFIG) for _ in range(4)]
    assert sum(take_all(budget, vms=4) for budget in budgets) <= CONFIG.slack


def test_repeats_leave_the_budget_with_the_window(clock):
    budget = WindowBudget(clock, CONFIG)
    first = take_all(budget, vms=1)
    clock.advance(500)
    assert take_all(budget, vms=1) == 0
    clock.advance(501)
    assert take_all(budget, vms=1) == first


def test_services_have_budgets_of_their_own(clock):
    budget = WindowBudget(clock, CONFIG)
    take_all(budget, vms=1)
    assert budget.take("other", 1)


def test_streams_that_have_begun_find_a_part_that_others_leave(clock):
    # Guards against streams that are cut since requests without a first event have
    # used all repeats.
    budget = WindowBudget(clock, BudgetConfig(window_ms=1000, ratio=0.5, slack=100))
    fresh = take_all(budget, vms=1, has_begun=False)
    assert fresh == int(USED_PART * 100 * FRESH_PART)
    assert take_all(budget, vms=1) == int(USED_PART * 100) - fresh


def test_slow_chains_are_left_with_a_part_of_the_repeats_only(clock):
    # Guards against repeats that are used up by slow chains when a runner dies.
    budget = WindowBudget(clock, BudgetConfig(window_ms=1000, ratio=0.5, slack=100))
    left = 0
    while budget.may_leave("s", 1):
        budget.take("s", 1)
        left += 1
    assert left == int(USED_PART * 100 * LEAVE_PART)
    assert take_all(budget, vms=1, has_begun=False) > 0


def test_vms_that_left_are_counted_for_a_window(clock):
    # Guards the shared bound while VMs stop one after the other: those that left have
    # used their shares.
    budget = WindowBudget(clock, BudgetConfig(window_ms=1000, ratio=0.5, slack=100))
    budget.take("s", 4)
    clock.advance(900)
    assert take_all(budget, vms=1) + 1 == int(USED_PART * 100 / 4)


def test_restarted_vm_that_uses_its_share_again_stays_within_the_budget(clock):
    before, after = WindowBudget(clock, CONFIG), WindowBudget(clock, CONFIG)
    assert take_all(before, vms=1) + take_all(after, vms=1) <= CONFIG.slack


LARGE = BudgetConfig(window_ms=10_000, ratio=0.2, slack=574)


def test_vm_that_meets_a_fault_may_use_what_the_others_leave(clock):
    # The load: 78 VMs, and a few of them lose runners. All refused streams had found
    # their own VM's share used up, while a tenth of the budget of all was used.
    budget = WindowBudget(clock, LARGE)
    own_share = take_all(budget, vms=78, has_begun=False)
    for _ in range(5):
        clock.advance(1000)
        budget.set_others_usage([ServiceUsage("s", 2000, 50)])
        assert take_all(budget, vms=78, has_begun=False) >= 1
    (usage,) = budget.own_usage()
    assert usage.repeats > own_share


def test_nothing_beyond_the_share_is_used_without_news(clock):
    budget = WindowBudget(clock, LARGE)
    budget.set_others_usage([ServiceUsage("s", 2000, 50)])
    clock.advance(TOLD_FRESH_MS + 1)
    assert take_all(budget, vms=78) == int(USED_PART * LARGE.slack / 78)


def test_nothing_beyond_the_share_is_used_where_the_others_have_used_it(clock):
    budget = WindowBudget(clock, LARGE)
    allowed = 2000 * LARGE.ratio + LARGE.slack
    budget.set_others_usage([ServiceUsage("s", 2000, USED_PART * allowed)])
    assert take_all(budget, vms=78) == int(USED_PART * LARGE.slack / 78)


@pytest.mark.parametrize("vms", [4, 12, 78])
@pytest.mark.parametrize("lag", [0, 1, 2])
def test_vms_that_all_use_what_they_may_stay_within_the_budget(clock, vms, lag):
    # The load: every VM repeats as often as it may, with news that is some exchanges
    # old. The bound of the deployment holds over any window.
    budgets = [WindowBudget(clock, LARGE) for _ in range(vms)]
    requests = 20 * vms
    taken_at, told = [], [[0] * vms]
    for _ in range(30):
        known = told[max(0, len(told) - 1 - lag)]
        for number, budget in enumerate(budgets):
            others = sum(known) - known[number]
            usage = ServiceUsage("s", requests * 10, others)
            budget.set_others_usage([usage])
            taken_at += [clock.now()] * take_all(budget, vms)
        clock.advance(1000)
        counts = [sum(u.repeats for u in b.own_usage()) for b in budgets]
        told.append(counts)
        since = clock.now() - LARGE.window_ms
        in_window = sum(at > since for at in taken_at)
        assert in_window <= requests * 10 * LARGE.ratio + LARGE.slack
