"""Rates of requests that targets take from all VMs together."""

from heathershunt.ratelimits.runners import ObservedRunners
from heathershunt.ratelimits.statement import AnswerKind, Statement
from heathershunt.ratelimits.table import LimitTable

__all__ = ["AnswerKind", "LimitTable", "ObservedRunners", "Statement"]
