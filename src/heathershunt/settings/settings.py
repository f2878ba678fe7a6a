"""The settings file of ``heathershuntd``."""

from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from heathershunt.http import Address


class SettingsError(Exception):
    """A settings file that cannot be used; the message is one line.

    .. versionadded:: 0.1
    """


@dataclass(frozen=True)
class VmSettings:
    """Identity and place of this VM.

    :param name: unique name of the VM.
    :param domain: failure domain the VM stands in.
    :param region: region of the failure domain.
    """

    name: str
    domain: str
    region: str = "default"


@dataclass(frozen=True)
class ListenSettings:
    """Addresses of the listeners, as ``ip:port``.

    :param callers: HTTP listener for callers.
    :param operators: HTTP listener for operators.
    :param peers: WebSocket listener for other daemons.
    """

    callers: str
    operators: str
    peers: str


@dataclass(frozen=True)
class PlatformSettings:
    """Services of the platform.

    :param store: addresses of the key-value service, tried in order.
    :param vm_list: address of the list of live and leaving VMs.
    :param weights: address of the weight store, if placement control is wanted.
    """

    store: tuple[str, ...]
    vm_list: str
    weights: str | None = None


@dataclass(frozen=True)
class BundleSettings:
    """Whom to trust with bundles.

    :param trusted_keys: Ed25519 public keys in hexadecimal.
    :param confirm_limit_ms: longest time without contact to store and peers
        before the VM refuses new requests.
    """

    trusted_keys: tuple[str, ...]
    confirm_limit_ms: int = 17_000


@dataclass(frozen=True)
class PeerSettings:
    """Other daemons to contact first.

    :param seeds: peer addresses as ``ip:port``.
    """

    seeds: tuple[str, ...] = ()


@dataclass(frozen=True)
class OperatorSettings:
    """Operators' access.

    :param key_sha256: SHA-256 hashes of the operator keys, in hexadecimal.
    """

    key_sha256: tuple[str, ...] = ()


@dataclass(frozen=True)
class DraftSettings:
    """Limits of drafts.

    :param resume_window_ms: how long an ended draft is kept for its caller.
    :param progress_floor_ms: shortest progress deadline of a runner stream.
    :param drain_limit_ms: longest graceful shutdown.
    """

    resume_window_ms: int = 60_000
    progress_floor_ms: int = 250
    drain_limit_ms: int = 120_000


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
    layers_per_runner: int = 16
    weight_layers_per_second: float = 16.0
    loads_at_a_time: int = 4
    lease_ttl_ms: int = 6_000


@dataclass(frozen=True)
class TlsSettings:
    """Certificate files.

    :param certificate: PEM file with this VM's certificate chain.
    :param key: PEM file with its private key.
    :param peer_authority: PEM file with the authority that signs peers' certificates.
    """

    certificate: str
    key: str
    peer_authority: str


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
    placement: PlacementSettings = field(default_factory=PlacementSettings)
    tls: TlsSettings | None = None


def load_settings(path: str | Path) -> Settings:
    """Read and check a settings file.

    :raises SettingsError: naming the file, the key, the value and what is accepted.
    """
    try:
        raw = Path(path).read_bytes()
        settings = msgspec.toml.decode(raw, type=Settings)
    except OSError as error:
        raise SettingsError(f"{path}: cannot be read: {error.strerror}") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from None
    for key, text in _addresses(settings):
        try:
            Address.from_text(text)
        except ValueError:
            raise SettingsError(
                f"{path}: {key} is {text!r}; an address of the form ip:port is accepted"
            ) from None
    return settings


def _addresses(settings: Settings):
    listen = settings.listen
    yield "listen.callers", listen.callers
    yield "listen.operators", listen.operators
    yield "listen.peers", listen.peers
    yield "platform.vm_list", settings.platform.vm_list
    for text in settings.platform.store:
        yield "platform.store", text
    for text in settings.peers.seeds:
        yield "peers.seeds", text
