"""Retry budget of the whole fleet: the part of each VM, and grants on demand."""

from heathershunt.retrybudget.budget import Balance, WindowBudget
from heathershunt.retrybudget.config import WindowBudgetConfig
from heathershunt.retrybudget.fleet import (
    FLEET_KEY,
    NO_RECORD,
    FleetKeeper,
    FleetRecord,
    decode_fleet,
)
from heathershunt.retrybudget.grants import HeldGrants
from heathershunt.retrybudget.ledger import GrantLedger, GrantReason, Standing
from heathershunt.retrybudget.messages import RETRIES_PATH
from heathershunt.retrybudget.pool import SHORT_WAIT_MS, RetryPool
from heathershunt.retrybudget.turns import Turns

__all__ = [
    "FLEET_KEY",
    "NO_RECORD",
    "RETRIES_PATH",
    "SHORT_WAIT_MS",
    "Balance",
    "FleetKeeper",
    "FleetRecord",
    "GrantLedger",
    "GrantReason",
    "HeldGrants",
    "RetryPool",
    "Standing",
    "Turns",
    "WindowBudget",
    "WindowBudgetConfig",
    "decode_fleet",
]
