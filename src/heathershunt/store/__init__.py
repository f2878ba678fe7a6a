"""Clients of the platform's key-value service and VM list, and the bundle watch."""

from heathershunt.store.client import (
    KeyValueStore,
    StoredValue,
    StoreError,
    StoreFailure,
    SwapResult,
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
    "StoredValue",
    "SwapResult",
    "VmList",
    "VmRole",
    "part_key",
    "roll_bundle",
]
