"""The bundle: the versioned, signed configuration that all VMs share.

Holds its data classes, checks, encoding and signatures, and the bundle in force.
"""

from heathershunt.bundle.check import bundle_from_mapping
from heathershunt.bundle.confirmation import ConfirmationTracker
from heathershunt.bundle.error import BundleError
from heathershunt.bundle.file import (
    MAX_FILE_BYTES,
    decode_file,
    encode_file,
    unpack_file,
)
from heathershunt.bundle.keeper import BundleKeeper
from heathershunt.bundle.model import (
    Bundle,
    Call,
    ClientAccount,
    Model,
    Policy,
    Priority,
    Service,
)
from heathershunt.bundle.parts import (
    PartEntry,
    Root,
    SignedRoot,
    assemble,
    decode_root,
    encode_root,
    split_bundle,
)
from heathershunt.bundle.replication import BundleReplicator
from heathershunt.bundle.signing import new_key_pair, sign_root, verify_root

__all__ = [
    "MAX_FILE_BYTES",
    "Bundle",
    "BundleError",
    "BundleKeeper",
    "BundleReplicator",
    "Call",
    "ClientAccount",
    "ConfirmationTracker",
    "Model",
    "PartEntry",
    "Policy",
    "Priority",
    "Root",
    "Service",
    "SignedRoot",
    "assemble",
    "bundle_from_mapping",
    "decode_file",
    "decode_root",
    "encode_file",
    "encode_root",
    "new_key_pair",
    "unpack_file",
    "sign_root",
    "split_bundle",
    "verify_root",
]
