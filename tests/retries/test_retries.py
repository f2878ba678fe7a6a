import pytest

from heathershunt.retries import (
    Backoff,
    BudgetConfig,
    HedgeConfig,
    HedgeRule,
    RetryBudget,
    RetryBudgets,
    may_retry,
)
from heathershunt.verdict import Verdict

CONFIG = BudgetConfig(fraction=0.1, min_per_second=0.0, burst=5.0)


def make_budgets(config=CONFIG):
    return RetryBudgets.from_config(config)


def test_retries_stay_a_fraction_of_requests():
    """Guards against a retry storm while every request fails."""
    budget = RetryBudget(CONFIG, 0)
    allowed = 0
    for _ in range(1000):
        budget.record_request()
        allowed += budget.allow(0)
    assert allowed == pytest.approx(101, abs=1)


def test_budget_is_bounded_and_grows_slowly_with_time():
    """Guards against a burst of retries after a long time without requests."""
    config = BudgetConfig(fraction=0.1, min_per_second=0.5, burst=5.0)
    budget = RetryBudget(config, 0)
    assert [budget.allow(0), budget.allow(0), budget.allow(2000)] == [True, False, True]
    assert sum(budget.allow(10**9) for _ in range(100)) == 5


@pytest.mark.parametrize("spent", ["account", "runner"])
def test_retry_takes_from_both_budgets_or_from_neither(spent):
    """Guards against one bad runner or account that exhausts the budgets of others."""
    budgets = make_budgets()
    if spent == "account":
        assert budgets.allow("a", "other", 0)
        assert not budgets.allow("a", "r", 0)
        assert budgets.allow("b", "r", 0)
    else:
        assert budgets.allow("other", "r", 0)
        assert not budgets.allow("a", "r", 0)
        assert budgets.allow("a", "s", 0)


@pytest.mark.parametrize(
    ("verdict", "idempotent", "deadline", "expected"),
    [
        (Verdict.NOT_RUN, False, 100, True),
        (Verdict.MAY_HAVE_RUN, True, 100, True),
        (Verdict.MAY_HAVE_RUN, False, 100, False),
        (Verdict.RAN, True, 100, False),
        (Verdict.RAN, False, 100, False),
        (Verdict.NOT_RUN, True, 10, False),
    ],
)
def test_verdict_and_deadline_decide_before_the_budget(
    verdict, idempotent, deadline, expected
):
    """Guards against running a non-idempotent call twice, and against late retries."""
    budgets = make_budgets()
    options = (idempotent, budgets, "a", None, 0, deadline)
    assert may_retry(verdict, *options, delay_ms=10) is expected
    # The budget still holds its one retry unless may_retry took it.
    assert budgets.allow("a", None, 0) is not expected


def test_backoff_has_full_jitter_and_an_upper_bound():
    """Guards against synchronized retries and against unbounded delays."""
    backoff = Backoff(base_ms=100, max_ms=2000, seed=1)
    first = [backoff.delay(1) for _ in range(300)]
    late = [backoff.delay(500) for _ in range(300)]
    assert (min(first) < 20, max(first) <= 100, max(first) > 80) == (True,) * 3
    assert (min(late) < 200, max(late) <= 2000, max(late) > 1800) == (True,) * 3
    assert min(backoff.delay(1, retry_after=5000) for _ in range(50)) >= 5000


def test_only_slow_idempotent_calls_are_hedged_within_the_budget():
    """Guards against hedging non-idempotent or fast calls and doubling the load."""
    rule = HedgeRule.from_config(HedgeConfig(quantile=0.9, window=100, min_samples=10))
    budgets = make_budgets()
    assert rule.delay(True) is None
    for latency in [500] * 100 + list(range(1, 101)):
        rule.observe(latency)
    assert (rule.delay(True), rule.delay(False)) == (91, None)
    assert not rule.may_hedge(True, 90, budgets, "a", None, 0)
    assert not rule.may_hedge(False, 900, budgets, "a", None, 0)
    assert rule.may_hedge(True, 91, budgets, "a", None, 0)
    assert not rule.may_hedge(True, 91, budgets, "a", None, 0)
