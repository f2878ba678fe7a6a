"""Adapters of the platform: key-value service, watch, VM list."""

from heathershunt.store.client import (
    KeyValueStore,
    Stored,
    StoreError,
    StoreFailure,
    Swapped,
)
from heathershunt.store.roll import BUNDLE_ROOT_KEY, part_key, roll_bundle
from heathershunt.store.vm_list import ListedVm, VmList, VmRole
from heathershunt.store.watch import BundleWatch

__all__ = [
    "BUNDLE_ROOT_KEY",
    "BundleWatch",
    "KeyValueStore",
    "ListedVm",
    "StoreError",
    "StoreFailure",
    "Stored",
    "Swapped",
    "VmList",
    "VmRole",
    "part_key",
    "roll_bundle",
]
