"""Status reports and cache events of the runners, as this VM received them."""

from heathershunt.runners.board import RunnerBoard
from heathershunt.runners.poller import RunnerPoller
from heathershunt.runners.prefixes import prefix_hashes
from heathershunt.runners.reports import ReportedLoad, RunnerReport, RunnerState

__all__ = [
    "ReportedLoad",
    "RunnerBoard",
    "RunnerPoller",
    "RunnerReport",
    "RunnerState",
    "prefix_hashes",
]
