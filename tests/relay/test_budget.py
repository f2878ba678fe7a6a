from heathershunt.relay import BudgetConfig, WindowBudget

CONFIG = BudgetConfig(window_ms=1000, ratio=0.5, slack=10)


def take_all(budget, vms):
    taken = 0
    while budget.take("s", vms):
        taken += 1
    return taken


def test_repeats_are_bounded_by_requests_and_a_share_of_the_slack(clock):
    budget = WindowBudget(clock, CONFIG)
    for _ in range(20):
        budget.note_request("s")
    assert take_all(budget, vms=2) == int(0.8 * (20 * 0.5 + 10 / 2))


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
