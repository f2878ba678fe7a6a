"""Hedging: a second try that runs in parallel with a slow first one."""

from bisect import bisect_left, insort
from collections import deque
from dataclasses import dataclass

from heathershunt.clock import Millis
from heathershunt.retries.budget import RetryBudgets


@dataclass(frozen=True)
class HedgeConfig:
    """Constants of the hedging rule.

    :param quantile: share of calls that complete before a second try would start.
    :param window: number of latest latencies from which the quantile is computed.
    :param min_samples: latencies required before any call is hedged.
    :param min_delay_ms: shortest delay before a second try.

    .. versionadded:: 0.1
    """

    quantile: float = 0.95
    window: int = 256
    min_samples: int = 32
    min_delay_ms: int = 5


class HedgeRule:
    """Decides when to hedge the calls to one service.

    .. versionadded:: 0.1
    """

    def __init__(self, config: HedgeConfig) -> None:
        self._config = config
        self._latest: deque[int] = deque()
        self._sorted: list[int] = []

    @classmethod
    def from_config(cls, config: HedgeConfig) -> "HedgeRule":
        """Return a rule that hedges nothing before ``min_samples`` latencies."""
        return cls(config)

    def observe(self, latency_ms: int) -> None:
        """Add the latency of a call that its first try completed, hedged or not."""
        self._latest.append(latency_ms)
        insort(self._sorted, latency_ms)
        if len(self._latest) > self._config.window:
            del self._sorted[bisect_left(self._sorted, self._latest.popleft())]

    def delay(self, idempotent: bool) -> Millis | None:
        """Return the delay before a second try; ``None`` if there must be none."""
        if not idempotent or len(self._sorted) < self._config.min_samples:
            return None
        index = min(
            int(self._config.quantile * len(self._sorted)), len(self._sorted) - 1
        )
        return Millis(max(self._config.min_delay_ms, self._sorted[index]))

    def may_hedge(
        self,
        idempotent: bool,
        waited_ms: int,
        budgets: RetryBudgets,
        account: str,
        slow_runner: str | None,
        now: Millis,
    ) -> bool:
        """Return whether to start a second try now; if so, take a retry.

        A call must be hedged at most once; the caller ensures that.

        :param waited_ms: time since the first try was sent.
        :param slow_runner: runner of the first try, if it is known.
        """
        delay = self.delay(idempotent)
        if delay is None or waited_ms < delay:
            return False
        return budgets.allow(account, slow_runner, now)
