"""Figures of retries while half of the runners fail."""

import random
from dataclasses import dataclass

from heathershunt.clock import ManualClock, Millis
from heathershunt.retries import (
    BudgetConfig,
    EjectionConfig,
    EjectionPolicy,
    RetryBudgets,
    RunnerRange,
    may_retry,
)
from heathershunt.verdict import Verdict
from measure.figures import microseconds_each, print_figure

RUNNERS = 10
REQUESTS_PER_SECOND = 100
SIMULATED_SECONDS = 60
MAX_TRIES = 4


@dataclass
class Outage:
    """Simulates requests to runners of which half refuse every request.

    :param budget: limit retries by budgets in addition to ``MAX_TRIES``.
    :param ejection: eject failing runners.
    :param exclude: send a retry to a runner that the request has not tried.
    """

    budget: bool
    ejection: bool
    exclude: bool = True

    def run(self) -> tuple[float, float]:
        """Return the tries per request and the fraction of requests that succeeded."""
        self.clock, self.random = ManualClock(), random.Random(13)
        self.budgets = RetryBudgets.from_config(BudgetConfig())
        self.policy = EjectionPolicy.from_config(EjectionConfig())
        names = [f"r{number}" for number in range(RUNNERS)]
        self.policy.set_ranges({n: RunnerRange("m", 0, 1, 1.0, "g") for n in names})
        self.names, self.tries, succeeded = names, 0, 0
        requests = REQUESTS_PER_SECOND * SIMULATED_SECONDS
        for number in range(requests):
            self.clock.advance(1000 // REQUESTS_PER_SECOND)
            succeeded += self._request(f"account{number % 10}")
        return self.tries / requests, succeeded / requests

    def _request(self, account: str) -> bool:
        now = self.clock.now()
        tried: set[str] = set()
        for attempt in range(MAX_TRIES):
            runner = self._pick(tried if self.exclude else set(), now)
            tried.add(runner)
            self.tries += 1
            if attempt == 0:
                self.budgets.record_request(account, (runner,), now)
            self.policy.started(runner, now)
            if self.names.index(runner) % 2:
                self.policy.succeeded(runner, 10, now)
                return True
            self.policy.failed(runner, now)
            if self.budget and not self._may_retry(account, runner, now):
                return False
        return False

    def _pick(self, tried: set[str], now: Millis) -> str:
        ejected = self.policy.excluded(now) if self.ejection else frozenset()
        candidates = [n for n in self.names if n not in ejected and n not in tried]
        return self.random.choice(candidates or self.names)

    def _may_retry(self, account: str, runner: str, now: Millis) -> bool:
        deadline = Millis(now + 1000)
        verdict = Verdict.NOT_RUN
        return may_retry(verdict, True, self.budgets, account, runner, now, deadline)


def ejection_time() -> None:
    """Measure the operations of the ejection policy with 1,800 runners."""
    policy = EjectionPolicy.from_config(EjectionConfig())
    ranges = {
        f"r{number}": RunnerRange(f"m{number // 40}", 0, 1, 1.0, f"g{number // 10}")
        for number in range(1800)
    }
    policy.set_ranges(ranges)
    for runner in ranges:
        for _ in range(12):
            policy.succeeded(runner, 30, Millis(0))
    for number in range(0, 400, 40):
        for _ in range(3):
            policy.failed(f"r{number}", Millis(0))

    def succeeded() -> None:
        policy.succeeded("r777", 30, Millis(1))

    excluded = microseconds_each(lambda: policy.excluded(Millis(1)), 100)
    print_figure("excluded runners, 10 of 1,800 out", excluded, "us")
    print_figure("one success, 1,800 runners", microseconds_each(succeeded, 100), "us")


def main() -> None:
    """Print the figures of retries and ejection."""
    ejection_time()
    baseline_tries, baseline_succeeded = Outage(False, False, exclude=False).run()
    cases = (("budget", True, False), ("budget and ejection", True, True))
    for name, budget, ejection in cases:
        tries, succeeded = Outage(budget, ejection).run()
        baseline = f"3 retries {baseline_tries:.2f}"
        print_figure(
            f"amplification, half fail, {name}", tries, "tries/request", baseline
        )
        baseline = f"3 retries {baseline_succeeded:.3f}"
        print_figure(f"answered, half fail, {name}", succeeded, "of requests", baseline)
