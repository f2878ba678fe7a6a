"""Coordination of VMs through a shared store: a watched view, leases and a leader."""

from heathershunt.coordination.leader import Leadership, LeadershipConfig
from heathershunt.coordination.lease import LeaseKeeper
from heathershunt.coordination.mirror import MirroredStore, ViewMirror
from heathershunt.coordination.store import (
    Changes,
    Entry,
    Expectation,
    LeasedValue,
    Snapshot,
    Store,
    StoreError,
    StoreFailure,
)
from heathershunt.coordination.view import StoreView, ViewConfig

__all__ = [
    "Changes",
    "Entry",
    "Expectation",
    "MirroredStore",
    "LeaseKeeper",
    "LeasedValue",
    "Leadership",
    "LeadershipConfig",
    "Snapshot",
    "Store",
    "StoreError",
    "StoreFailure",
    "StoreView",
    "ViewConfig",
    "ViewMirror",
]
