"""What the VMs share through the platform's store: one view, leases, one leader."""

from heathershunt.coordination.leader import Leadership, LeadershipConfig
from heathershunt.coordination.lease import LeaseKeeper
from heathershunt.coordination.mirror import FollowingStore, ViewMirror
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
    "FollowingStore",
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
