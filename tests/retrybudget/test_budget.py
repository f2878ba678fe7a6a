import pytest

from heathershunt.retrybudget import FleetRecord, WindowBudget, WindowBudgetConfig
from heathershunt.retrybudget.budget import (
    EARNED_FRACTION,
    FIRST_RETRIES,
    FIRST_SHARED_FRACTION,
    NEW_EARNED_FRACTION,
    NEW_EARNED_MAX,
    NEW_SHARED_FRACTION,
    REROUTE_FRACTION,
    SETTLING_MS,
    SHARED_FRACTION,
    UNSTARTED_FRACTION,
    USED_FRACTION,
)

CONFIG = WindowBudgetConfig(window_ms=1000, ratio=0.5, slack=10)


def settled(clock, config=CONFIG):
    """Return the budget of a process that has run for a while."""
    budget = WindowBudget(clock, config)
    clock.advance(SETTLING_MS + config.window_ms)
    return budget


def take_all(budget, vms, has_begun=True):
    taken = 0
    while budget.take("s", vms, has_begun=has_begun):
        taken += 1
    return taken


def test_retries_are_bounded_by_requests_and_a_share_of_the_slack(clock):
    budget = settled(clock)
    for _ in range(20):
        budget.record_request("s")
    assert take_all(budget, vms=2) == int(USED_FRACTION * (20 * 0.5 + 10 / 2))


def test_all_vms_together_stay_within_the_budget(clock):
    # Guards the shared limit, as VMs do not see each other's retries.
    budgets = [settled(clock) for _ in range(4)]
    assert sum(take_all(budget, vms=4) for budget in budgets) <= CONFIG.slack


def test_retries_expire_with_the_window(clock):
    budget = settled(clock)
    first = take_all(budget, vms=1)
    clock.advance(500)
    assert take_all(budget, vms=1) == 0
    clock.advance(501)
    assert take_all(budget, vms=1) == first


def test_services_have_separate_budgets(clock):
    budget = settled(clock)
    take_all(budget, vms=1)
    assert budget.take("other", 1)


def test_part_of_the_retries_is_kept_for_streams_that_have_begun(clock):
    # Guards against streams that break because requests without a first event have
    # used all retries.
    budget = settled(clock, WindowBudgetConfig(window_ms=1000, ratio=0.5, slack=100))
    unstarted = take_all(budget, vms=1, has_begun=False)
    assert unstarted == int(USED_FRACTION * 100 * UNSTARTED_FRACTION)
    assert take_all(budget, vms=1) == int(USED_FRACTION * 100) - unstarted


def test_leaving_slow_chains_uses_only_part_of_the_retries(clock):
    # Guards against slow chains that use up the retries needed when a runner dies.
    budget = settled(clock, WindowBudgetConfig(window_ms=1000, ratio=0.5, slack=100))
    rerouted = 0
    while budget.may_reroute("s", 1):
        budget.take("s", 1)
        rerouted += 1
    assert rerouted == int(USED_FRACTION * 100 * REROUTE_FRACTION)
    assert take_all(budget, vms=1, has_begun=False) > 0


def test_vms_that_left_are_counted_for_a_window(clock):
    # Guards the shared limit while VMs stop one after another: those that left have
    # used their shares.
    budget = settled(clock, WindowBudgetConfig(window_ms=1000, ratio=0.5, slack=100))
    budget.take("s", 4)
    clock.advance(900)
    assert take_all(budget, vms=1) + 1 == int(USED_FRACTION * 100 / 4)


def test_restarted_vm_that_uses_its_share_again_stays_within_the_budget(clock):
    before, after = settled(clock), settled(clock)
    assert take_all(before, vms=1) + take_all(after, vms=1) <= CONFIG.slack


FLEET = WindowBudgetConfig(window_ms=10_000, ratio=0.2, slack=350)


# Guards against repeats beyond the budget as VMs are restarted: each process brought a
# whole share though the one before it had used the same share a moment ago.
@pytest.mark.parametrize("vms, gap_ms", [(4, 3000), (4, 8000), (33, 5000)])
def test_vms_that_restart_in_series_stay_within_the_budget(clock, vms, gap_ms):
    before = [WindowBudget(clock, FLEET) for _ in range(vms)]
    clock.advance(SETTLING_MS + FLEET.window_ms)
    window = [sum(take_all(budget, vms) for budget in before)]
    for _ in range(6):
        budgets = [WindowBudget(clock, FLEET) for _ in range(vms)]
        for _ in range(gap_ms // 500):
            clock.advance(500)
            window.append(sum(take_all(budget, vms) for budget in budgets))
            assert sum(window[-20:]) <= FLEET.slack


# Guards against the same as all VMs start together, each as if it were the only one.
def test_vms_that_do_not_know_each_other_stay_within_the_budget(clock):
    budgets = [WindowBudget(clock, FLEET) for _ in range(33)]
    assert sum(take_all(budget, vms=1) for budget in budgets) <= FLEET.slack
    assert take_all(WindowBudget(clock, FLEET), vms=33) == FIRST_RETRIES


def test_process_has_its_whole_share_after_a_window(clock):
    budget = settled(clock, FLEET)
    assert take_all(budget, vms=4) == int(USED_FRACTION * FLEET.slack / 4)


@pytest.mark.parametrize("has_begun", [False, True])
@pytest.mark.parametrize("vms_before", [1, 8])
def test_retries_left_are_those_that_may_be_taken(clock, has_begun, vms_before):
    budget = settled(clock, WindowBudgetConfig(window_ms=1000, ratio=0.5, slack=100))
    budget.may_take("s", vms_before)
    for _ in range(7):
        budget.record_request("s")
    budget.take("s", 2)
    left = budget.left("s", 2, has_begun=has_begun)
    assert left == budget.left("s", 2, has_begun=has_begun)
    assert take_all(budget, vms=2, has_begun=has_begun) == left > 0
    assert budget.left("s", 2, has_begun=has_begun) == 0


def test_asking_for_the_retries_left_does_not_count_vms(clock):
    # Guards against a question that makes the share of this VM smaller.
    budget = settled(clock)
    assert budget.left("s", 100) < budget.left("s", 1)
    assert take_all(budget, vms=1) == budget.left("other", 1, has_begun=True)


# A fleet of 35 VMs, in which a share is 2.5 retries and 1 for a new process.
LARGE = 35


def test_large_fleet_divides_a_quarter_of_the_slack(clock):
    budget = settled(clock, FLEET)
    assert take_all(budget, LARGE) == int(SHARED_FRACTION * FLEET.slack / LARGE)


def test_requests_earn_retries_where_they_are(clock):
    budget = settled(clock, WindowBudgetConfig(window_ms=10_000, ratio=0.2, slack=0))
    for _ in range(50):
        budget.record_request("s")
    assert take_all(budget, LARGE) == int(EARNED_FRACTION * 0.2 * 50)


@pytest.mark.parametrize(
    ("starts", "share"),
    [([], NEW_SHARED_FRACTION), ([1], FIRST_SHARED_FRACTION)],
)
def test_new_process_has_less_for_a_window(clock, starts, share):
    # Guards against two whole shares in one window: the process before may have used
    # one a moment ago.
    config = WindowBudgetConfig(window_ms=10_000, ratio=0.2, slack=3500)
    fleet = FleetRecord(LARGE, starts)
    budget = WindowBudget(clock, config, None, lambda: fleet)
    assert take_all(budget, LARGE) == FIRST_RETRIES
    clock.advance(SETTLING_MS)
    assert take_all(budget, LARGE) + FIRST_RETRIES == int(share * 3500 / LARGE)
    clock.advance(config.window_ms - SETTLING_MS)
    taken = take_all(budget, LARGE) + int(share * 3500 / LARGE)
    assert taken - FIRST_RETRIES == int(SHARED_FRACTION * 3500 / LARGE)


@pytest.mark.parametrize("age_ms", [500, 2000, 9900])
def test_new_process_uses_little_of_what_requests_earn(clock, age_ms):
    # Guards against retries of two processes for the requests of one window.
    config = WindowBudgetConfig(window_ms=10_000, ratio=0.2, slack=0)
    budget = WindowBudget(clock, config)
    per_window = 10_000
    for _ in range(age_ms):
        clock.advance(1)
        budget.record_request("s")
    most = max(NEW_EARNED_MAX, NEW_EARNED_FRACTION * age_ms / config.window_ms)
    assert take_all(budget, LARGE) <= most * 0.2 * per_window
    clock.advance(config.window_ms - age_ms)
    assert take_all(budget, LARGE) > 0


def test_granted_retries_count_as_the_fleet_becomes_small(clock):
    # Guards against a VM that used the pool and then half of the budget too.
    config = WindowBudgetConfig(window_ms=1000, ratio=0.5, slack=100)
    budget = settled(clock, config)
    for _ in range(5):
        budget.record_granted("s")
    assert take_all(budget, vms=8) == int(USED_FRACTION * 100 / 8) - 5
