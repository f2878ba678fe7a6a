"""The settings of ``heathershuntd``.

The types define which values are accepted. The docstrings are the source of the
reference page ``docs/settings.md``.
"""

from dataclasses import dataclass, field

from heathershunt.settings.types import (
    AddressText,
    Count,
    DurationMs,
    FilePath,
    HexKey,
    Name,
    Rate,
    one_of,
)


@dataclass(frozen=True)
class VmSettings:
    """Name and location of this VM.

    :param name: unique name of the VM.
    :param domain: failure domain of the VM.
    :param region: region of the failure domain.
    """

    name: Name
    domain: Name
    region: Name = "default"


@dataclass(frozen=True)
class ListenSettings:
    """Addresses of the listeners, as ``ip:port``.

    :param callers: HTTP listener for callers.
    :param operators: HTTP listener for operators.
    :param peers: WebSocket listener for other daemons.
    """

    callers: AddressText
    operators: AddressText
    peers: AddressText


@dataclass(frozen=True)
class PlatformSettings:
    """Services of the platform.

    :param store: addresses of the key-value store, tried in order.
    :param vm_list: address of the service that lists the live and leaving VMs.
    :param weights: address of the weight store, for placement.
    """

    store: tuple[AddressText, ...]
    vm_list: AddressText
    weights: AddressText | None = None


@dataclass(frozen=True)
class BundleSettings:
    """Verification of bundles.

    :param trusted_keys: Ed25519 public keys, in hexadecimal, that may sign bundles.
    :param confirm_limit_ms: time without contact with the store or any peer after
        which the VM refuses new requests.
    """

    trusted_keys: tuple[HexKey, ...]
    confirm_limit_ms: DurationMs = 17_000


@dataclass(frozen=True)
class PeerSettings:
    """Other daemons to contact first.

    :param seeds: peer addresses as ``ip:port``.
    """

    seeds: tuple[AddressText, ...] = ()


@dataclass(frozen=True)
class OperatorSettings:
    """Access of operators.

    :param key_sha256: SHA-256 hashes of the operator keys, in hexadecimal.
    """

    key_sha256: tuple[HexKey, ...] = ()


@dataclass(frozen=True)
class DraftSettings:
    """Limits of drafts.

    :param resume_window_ms: how long an ended draft is kept for its caller to resume.
    :param return_window_ms: how long a graceful shutdown waits for the caller of an
        ended draft whose delivery is not confirmed.
    :param progress_floor_ms: lower bound of the progress deadline of a runner's stream.
    :param drain_limit_ms: longest duration of a graceful shutdown.
    """

    resume_window_ms: DurationMs = 60_000
    return_window_ms: DurationMs = 10_000
    progress_floor_ms: DurationMs = 250
    drain_limit_ms: DurationMs = 120_000


@dataclass(frozen=True)
class LogSettings:
    """Logging to standard error.

    :param level: lowest level that is written.
    :param format: one JSON object or one line of text per record.
    """

    level: one_of("debug", "info", "warning", "error") = "info"
    format: one_of("json", "text") = "text"


@dataclass(frozen=True)
class PlacementSettings:
    """Placement of model layers on the runners.

    :param enabled: whether this VM competes for the leases of models and, if it holds
        one, orders runners to load layers.
    :param layers_per_runner: most layers of a range that no runner holds yet.
    :param weight_layers_per_second: layers that the weight store delivers per second,
        over all models.
    :param loads_at_a_time: most runners of one model that load layers at the same
        time.
    :param lease_ttl_ms: time to live of a lease on a model.
    """

    enabled: bool = False
    layers_per_runner: Count = 16
    weight_layers_per_second: Rate = 16.0
    loads_at_a_time: Count = 4
    lease_ttl_ms: DurationMs = 6_000


@dataclass(frozen=True)
class TlsSettings:
    """Certificate files. Without this section the listeners use plain TCP.

    :param certificate: PEM file with this VM's certificate chain.
    :param key: PEM file with the private key of the certificate.
    :param peer_authority: PEM file with the authority that signs peers' certificates.
    """

    certificate: FilePath
    key: FilePath
    peer_authority: FilePath


@dataclass(frozen=True)
class Settings:
    """All settings of a daemon, one section per field.

    .. versionadded:: 0.1
    """

    vm: VmSettings
    listen: ListenSettings
    platform: PlatformSettings
    bundle: BundleSettings
    peers: PeerSettings = field(default_factory=PeerSettings)
    operators: OperatorSettings = field(default_factory=OperatorSettings)
    drafts: DraftSettings = field(default_factory=DraftSettings)
    log: LogSettings = field(default_factory=LogSettings)
    placement: PlacementSettings = field(default_factory=PlacementSettings)
    tls: TlsSettings | None = None
