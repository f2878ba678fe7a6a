"""Hedging: a second try beside a slow first one."""

from bisect import bisect_left, insort
from collections import deque
from dataclasses import dataclass

from heathershunt.clock import Millis
from heathershunt.retries.budget import RetryBudgets


@dataclass(frozen=True)
class HedgeConfig:
    """Constants of the hedging rule.

    :param quantile: share of calls that end before a hedge would start.
    :param kept: latest latencies that the quantile is taken from.
    :param needed: latencies needed before anything is hedged.
    :param least_ms: shortest delay before a hedge.

    .. versionadded:: 0.1
    """

    quantile: float = 0.95
    kept: int = 256
    needed: int = 32
    least_ms: int = 5


class HedgeRule:
    """Hedging of the calls to one service.

    .. versionadded:: 0.1
    """

    def __init__(self, config: HedgeConfig) -> None:
        self._config = config
        self._latest: deque[int] = deque()
        self._sorted: list[int] = []

    @classmethod
    def from_config(cls, config: HedgeConfig) -> "HedgeRule":
        """Return a rule that hedges nothing until it has seen enough calls."""
        return cls(config)

    def observe(self, latency_ms: int) -> None:
        """Add the latency of a call that ended without a hedge or by its first try."""
        self._latest.append(latency_ms)
        insort(self._sorted, latency_ms)
        if len(self._latest) > self._config.kept:
            del self._sorted[bisect_left(self._sorted, self._latest.popleft())]

    def delay(self, idempotent: bool) -> Millis | None:
        """Return after what time to hedge; ``None`` if never."""
        if not idempotent or len(self._sorted) < self._config.needed:
            return None
        place = min(
            int(self._config.quantile * len(self._sorted)), len(self._sorted) - 1
        )
        return Millis(max(self._config.least_ms, self._sorted[place]))

    def may_hedge(
        self,
        idempotent: bool,
        waited_ms: int,
        budgets: RetryBudgets,
        account: str,
        slow_runner: str | None,
        now: Millis,
    ) -> bool:
        """Return whether to start a second try now; takes a retry if so.

        A call is hedged at most once; the caller keeps to that.
        """
        delay = self.delay(idempotent)
        if delay is None or waited_ms < delay:
            return False
        return budgets.allow(account, slow_runner, now)
