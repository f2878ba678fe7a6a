"""The rule that decides which failed requests may be retried."""

from heathershunt.clock import Millis
from heathershunt.retries.budget import RetryBudgets
from heathershunt.verdict import Verdict


def verdict_allows(verdict: Verdict, idempotent: bool) -> bool:
    """Return whether a retry is safe: it cannot run a non-idempotent request twice."""
    if verdict is Verdict.NOT_RUN:
        return True
    return verdict is Verdict.MAY_HAVE_RUN and idempotent


def may_retry(
    verdict: Verdict,
    idempotent: bool,
    budgets: RetryBudgets,
    account: str,
    failed_runner: str | None,
    now: Millis,
    deadline: Millis,
    delay_ms: int = 0,
) -> bool:
    """Return whether to retry; if so, take the retry from the budgets.

    :param failed_runner: the runner that caused the failure, if it is known.
    :param deadline: monotonic time by which the response must be complete.
    :param delay_ms: back-off before the next try.
    """
    if not verdict_allows(verdict, idempotent) or now + delay_ms >= deadline:
        return False
    return budgets.allow(account, failed_runner, now)
