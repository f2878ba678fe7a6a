"""Rates of requests that targets take from all VMs together.

:mod:`heathershunt.ratelimits.runners` is not imported here, as it depends on
:mod:`heathershunt.pipelines`, which depends on this package.
"""

from heathershunt.ratelimits.bucket import RateLimit
from heathershunt.ratelimits.guard import LimitGuard
from heathershunt.ratelimits.messages import LimitDigest
from heathershunt.ratelimits.statement import AnswerKind, Statement

__all__ = ["AnswerKind", "LimitDigest", "LimitGuard", "RateLimit", "Statement"]
