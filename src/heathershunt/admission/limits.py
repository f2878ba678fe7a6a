"""Limits of one client account on this VM."""

from dataclasses import dataclass


@dataclass(frozen=True)
class AccountLimits:
    """What one account may use of this VM.

    :param share: weight in fair queueing, above 0.
    :param concurrent: most requests that run at a time.
    :param requests_per_second: highest mean rate of accepted requests.
    :param queued: most requests that wait at a time.

    .. versionadded:: 0.1
    """

    share: float = 1.0
    concurrent: float = 64
    requests_per_second: float = 100.0
    queued: int = 256
