"""What this VM knows of the runners."""

from heathershunt.runners.reports import (
    LoadReport,
    RunnerBoard,
    RunnerPoller,
    RunnerReport,
    RunnerState,
)

__all__ = [
    "LoadReport",
    "RunnerBoard",
    "RunnerPoller",
    "RunnerReport",
    "RunnerState",
]
