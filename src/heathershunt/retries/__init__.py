"""Retries, hedging and the ejection of unhealthy runners."""

from heathershunt.retries.backoff import Backoff
from heathershunt.retries.budget import BudgetConfig, RetryBudget, RetryBudgets
from heathershunt.retries.ejection import EjectionConfig, EjectionPolicy, RunnerRange
from heathershunt.retries.hedging import HedgeConfig, HedgeRule
from heathershunt.retries.rule import may_retry, verdict_allows

__all__ = [
    "Backoff",
    "BudgetConfig",
    "EjectionConfig",
    "EjectionPolicy",
    "HedgeConfig",
    "HedgeRule",
    "RetryBudget",
    "RetryBudgets",
    "RunnerRange",
    "may_retry",
    "verdict_allows",
]
