"""Fixtures for the tests of the retry budget."""

import pytest

from heathershunt.retrybudget import GrantLedger, Standing, WindowBudgetConfig

WINDOW_MS = 10_000
CONFIG = WindowBudgetConfig(WINDOW_MS, ratio=0.2, slack=400)
FIRST = Standing(is_first=True, group=33, vms=33, view_age_ms=0)


class Coordinator:
    """A ledger that learns of its place every 100 ms, as in a gateway."""

    def __init__(self, clock, config=CONFIG):
        self._clock = clock
        self.standing = FIRST
        self.ledger = GrantLedger(clock, config)
        self.ledger.update(FIRST)

    def advance(self, milliseconds):
        for _ in range(milliseconds // 100):
            self._clock.advance(100)
            self.ledger.update(self.standing)

    def grant_all(self, has_begun=True, vm="vm-1"):
        granted = 0
        while (decision := self.ledger.grant(vm, "s", 8, has_begun)).id is not None:
            granted += decision.retries
        return granted


@pytest.fixture
def coordinator(clock):
    """Return a coordinator that has earned its whole pool."""
    coordinator = Coordinator(clock)
    coordinator.advance(3 * WINDOW_MS)
    return coordinator
