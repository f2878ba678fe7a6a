"""The settings of ``heathershuntd``.

The types say what is accepted, and the docstrings are the text of the reference
(``docs/settings.md``).
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
    """Identity and place of this VM.

    :param name: unique name of the VM.
    :param domain: failure domain the VM stands in.
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

    :param store: addresses of the key-value service, tried in order.
    :param vm_list: address of the list of live and leaving VMs.
    :param weights: address of the weight store, if placement control is wanted.
    """

    store: tuple[AddressText, ...]
    vm_list: AddressText
    weights: AddressText | None = None


@dataclass(frozen=True)
class BundleSettings:
    """Whom to trust with bundles.

    :param trusted_keys: Ed25519 public keys in hexadecimal.
    :param confirm_limit_ms: longest time without contact to store and peers
        before the VM refuses new requests.
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
    """Operators' access.

    :param key_sha256: SHA-256 hashes of the operator keys, in hexadecimal.
    """

    key_sha256: tuple[HexKey, ...] = ()


@dataclass(frozen=True)
class DraftSettings:
    """Limits of drafts.

    :param resume_window_ms: how long an ended draft is kept for its caller.
    :param return_window_ms: how long a graceful shutdown waits for the caller of an
        ended draft whose delivery is not confirmed.
    :param progress_floor_ms: shortest progress deadline of a runner stream.
    :param drain_limit_ms: longest graceful shutdown.
    """

    resume_window_ms: DurationMs = 60_000
    return_window_ms: DurationMs = 10_000
    progress_floor_ms: DurationMs = 250
    drain_limit_ms: DurationMs = 120_000


@dataclass(frozen=True)
class LogSettings:
    """Log on standard error.

    :param level: least level that is written.
    :param format: one JSON object or one line of text per record.
    """

    level: one_of("debug", "info", "warning", "error") = "info"
    format: one_of("json", "text") = "text"


@dataclass(frozen=True)
class PlacementSettings:
    """Control of what the runners hold.

    :param enabled: whether this VM competes for the leases and sends orders.
    :param layers_per_runner: most layers in a range that no runner holds yet.
    :param weight_layers_per_second: rate of the weight store, over all models.
    :param loads_at_a_time: runners of one model that load at the same time.
    :param lease_ttl_ms: time to live of a lease.
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
    :param key: PEM file with its private key.
    :param peer_authority: PEM file with the authority that signs peers' certificates.
    """

    certificate: FilePath
    key: FilePath
    peer_authority: FilePath


@dataclass(frozen=True)
class Settings:
    """Everything a daemon learns from its settings file.

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
