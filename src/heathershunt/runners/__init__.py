"""Status reports and cache events of the runners, as this VM received them."""

from heathershunt.runners.poller import RunnerPoller
from heathershunt.runners.prefixes import prefix_hashes
from heathershunt.runners.registry import RunnerRegistry
from heathershunt.runners.reports import ReportedLoad, RunnerReport, RunnerState

__all__ = [
    "ReportedLoad",
    "RunnerRegistry",
    "RunnerPoller",
    "RunnerReport",
    "RunnerState",
    "prefix_hashes",
]
