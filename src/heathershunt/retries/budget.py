"""Retry budgets: retries are a fraction of requests, never a multiple."""

from dataclasses import dataclass

from heathershunt.clock import Millis

MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True)
class BudgetConfig:
    """Constants of a retry budget.

    :param fraction: retries earned by one request.
    :param least_per_second: retries earned by time alone, for rare requests.
    :param burst: most retries saved up.

    .. versionadded:: 0.1
    """

    fraction: float = 0.1
    least_per_second: float = 0.2
    burst: float = 10.0


class RetryBudget:
    """Token bucket of retries.

    .. versionadded:: 0.1
    """

    __slots__ = ("_config", "_filled_at", "_tokens")

    def __init__(self, config: BudgetConfig, now: Millis) -> None:
        self._config = config
        self._filled_at = now
        # One retry at the start, so that a caller's very first failure is retried.
        self._tokens = 1.0

    def earn(self) -> None:
        """Count one first try."""
        self._tokens = min(self._config.burst, self._tokens + self._config.fraction)

    def available(self, now: Millis) -> bool:
        """Return whether a retry is left."""
        elapsed_ms = max(0, now - self._filled_at)
        gained = elapsed_ms * self._config.least_per_second / MILLISECONDS_PER_SECOND
        self._tokens = min(self._config.burst, self._tokens + gained)
        self._filled_at = now
        # Ten additions of 0.1 fall just short of 1.
        return self._tokens >= 1 - 1e-9

    def allow(self, now: Millis) -> bool:
        """Take one retry if there is one; return whether there was."""
        if not self.available(now):
            return False
        self._tokens -= 1
        return True


class RetryBudgets:
    """One budget for each account and one for each runner.

    .. versionadded:: 0.1
    """

    def __init__(self, config: BudgetConfig) -> None:
        self._config = config
        self._budgets_by_account: dict[str, RetryBudget] = {}
        self._budgets_by_runner: dict[str, RetryBudget] = {}

    @classmethod
    def from_config(cls, config: BudgetConfig) -> "RetryBudgets":
        """Return budgets with one retry each."""
        return cls(config)

    def earn(self, account: str, runners: tuple[str, ...], now: Millis) -> None:
        """Count a first try of an account at the runners of its chain."""
        self._account(account, now).earn()
        for runner in runners:
            self._runner(runner, now).earn()

    def allow(self, account: str, failed_runner: str | None, now: Millis) -> bool:
        """Take a retry from both budgets if both have one; else from neither.

        :param failed_runner: the runner to blame; its budget bounds the retries that
            one bad runner can cause over all accounts.
        """
        budgets = [self._account(account, now)]
        if failed_runner is not None:
            budgets.append(self._runner(failed_runner, now))
        if not all(budget.available(now) for budget in budgets):
            return False
        return all(budget.allow(now) for budget in budgets)

    def forget_runner(self, runner: str) -> None:
        """Drop the budget of a runner that is gone."""
        self._budgets_by_runner.pop(runner, None)

    def forget_account(self, account: str) -> None:
        """Drop the budget of an account that the bundle no longer holds."""
        self._budgets_by_account.pop(account, None)

    def _account(self, account: str, now: Millis) -> RetryBudget:
        return self._of(self._budgets_by_account, account, now)

    def _runner(self, runner: str, now: Millis) -> RetryBudget:
        return self._of(self._budgets_by_runner, runner, now)

    def _of(self, budgets: dict[str, RetryBudget], key: str, now: Millis):
        budget = budgets.get(key)
        if budget is None:
            budget = budgets[key] = RetryBudget(self._config, now)
        return budget
