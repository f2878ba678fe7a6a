"""Limits on retries, and the fractions of them that each part may use."""

from dataclasses import dataclass

# Largest fleet in which the budget is divided by head count.
MAX_FLAT_VMS = 8


@dataclass(frozen=True)
class WindowBudgetConfig:
    """Limits on the retries of all VMs together.

    :param window_ms: length of the window, in milliseconds.
    :param ratio: retries allowed for each request in the window.
    :param slack: retries allowed in the window beyond that.
    :param max_flat_vms: largest fleet in which each VM has the same part; in a larger
        one a part of the slack is granted on demand.

    .. versionadded:: 0.2
    """

    window_ms: int
    ratio: float
    slack: float
    max_flat_vms: int = MAX_FLAT_VMS
