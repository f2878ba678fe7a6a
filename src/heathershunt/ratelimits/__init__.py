"""Rates of requests that targets take from all VMs together.

:mod:`heathershunt.ratelimits.runners` is not imported here, as it depends on
:mod:`heathershunt.pipelines`, which depends on this package.
"""

from heathershunt.ratelimits.bucket import RateLimit
from heathershunt.ratelimits.guard import LimitGuard
from heathershunt.ratelimits.header import RATE_LIMIT_HEADER, decode_limit
from heathershunt.ratelimits.messages import LimitDigest
from heathershunt.ratelimits.statement import AnswerKind, Statement, TargetProcess

__all__ = [
    "RATE_LIMIT_HEADER",
    "AnswerKind",
    "LimitDigest",
    "LimitGuard",
    "RateLimit",
    "Statement",
    "TargetProcess",
    "decode_limit",
]
