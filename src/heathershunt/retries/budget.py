"""Retry budgets, which limit retries to a fraction of the requests."""

from dataclasses import dataclass

from heathershunt.clock import Millis

MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True)
class BudgetConfig:
    """Constants of a retry budget.

    :param fraction: retries that each request adds to the budget.
    :param min_per_second: retries added per second without any request, so that rare
        requests can be retried as well.
    :param burst: maximum number of retries in the budget.

    .. versionadded:: 0.1
    """

    fraction: float = 0.1
    min_per_second: float = 0.2
    burst: float = 10.0


class RetryBudget:
    """Token bucket of retries.

    .. versionadded:: 0.1
    """

    __slots__ = ("_config", "_filled_at", "_tokens")

    def __init__(self, config: BudgetConfig, now: Millis) -> None:
        self._config = config
        self._filled_at = now
        # The budget starts with one retry, so that the first request can be retried.
        self._tokens = 1.0

    def record_request(self) -> None:
        """Add the retries for one request; call it for the first try only."""
        self._tokens = min(self._config.burst, self._tokens + self._config.fraction)

    def available(self, now: Millis) -> bool:
        """Return whether a retry is left."""
        elapsed_ms = max(0, now - self._filled_at)
        gained = elapsed_ms * self._config.min_per_second / MILLISECONDS_PER_SECOND
        self._tokens = min(self._config.burst, self._tokens + gained)
        self._filled_at = now
        # The sum of ten times 0.1 is slightly less than 1 in floating point.
        return self._tokens >= 1 - 1e-9

    def allow(self, now: Millis) -> bool:
        """Take one retry from the budget; return ``False`` if none is left."""
        if not self.available(now):
            return False
        self._tokens -= 1
        return True


class RetryBudgets:
    """A retry budget for each client account and for each runner.

    .. versionadded:: 0.1
    """

    def __init__(self, config: BudgetConfig) -> None:
        self._config = config
        self._budgets_by_account: dict[str, RetryBudget] = {}
        self._budgets_by_runner: dict[str, RetryBudget] = {}

    @classmethod
    def from_config(cls, config: BudgetConfig) -> "RetryBudgets":
        """Return budgets that start with one retry each."""
        return cls(config)

    def record_request(
        self, account: str, runners: tuple[str, ...], now: Millis
    ) -> None:
        """Count a request of ``account``, whose first try uses ``runners``."""
        self._account_budget(account, now).record_request()
        for runner in runners:
            self._runner_budget(runner, now).record_request()

    def allow(self, account: str, failed_runner: str | None, now: Millis) -> bool:
        """Take a retry from both budgets, or from neither if one of them is empty.

        :param failed_runner: the runner that caused the failure, if it is known; its
            budget limits the retries that one bad runner can cause for all accounts.
        """
        budgets = [self._account_budget(account, now)]
        if failed_runner is not None:
            budgets.append(self._runner_budget(failed_runner, now))
        if not all(budget.available(now) for budget in budgets):
            return False
        return all(budget.allow(now) for budget in budgets)

    def discard_runner(self, runner: str) -> None:
        """Drop the budget of a runner that no longer exists."""
        self._budgets_by_runner.pop(runner, None)

    def discard_account(self, account: str) -> None:
        """Drop the budget of an account that is no longer in the bundle."""
        self._budgets_by_account.pop(account, None)

    def _account_budget(self, account: str, now: Millis) -> RetryBudget:
        return self._get_or_create(self._budgets_by_account, account, now)

    def _runner_budget(self, runner: str, now: Millis) -> RetryBudget:
        return self._get_or_create(self._budgets_by_runner, runner, now)

    def _get_or_create(self, budgets: dict[str, RetryBudget], key: str, now: Millis):
        budget = budgets.get(key)
        if budget is None:
            budget = budgets[key] = RetryBudget(self._config, now)
        return budget
