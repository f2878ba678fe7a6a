"""Configuration of one gateway process."""

from dataclasses import dataclass

from heathershunt.http import Address

METRICS_PORT = 9464


@dataclass(frozen=True)
class Listeners:
    """Addresses to listen on.

    :param callers: callers' requests.
    :param readiness: checks whether this VM takes requests.
    :param directory: callers that ask which addresses to use.
    :param peers: other VMs.

    .. versionadded:: 0.2
    """

    callers: Address
    readiness: Address
    directory: Address
    peers: Address


MOST_WATCH_WAIT_MS = 1800
# Parts of the time for a configuration, and of the time for removed keys, that the age
# of the view may reach between two answers of the store.
CURRENT_PART = 0.9
REVOKE_PART = 0.36


@dataclass(frozen=True)
class Bounds:
    """Promises of the deployment.

    :param grace_ms: time from the stop signal to the kill.
    :param config_apply_ms: time until a new configuration is in force everywhere.
    :param revoke_ms: time until a removed API key no longer works anywhere.
    :param is_revocation_strict: whether that holds without the store too.
    :param retry_ratio: repeats allowed for each request, over all VMs.
    :param retry_window_ms: window in which repeats are counted.
    :param retry_slack: repeats allowed beyond the ratio, over all VMs.
    :param directory_ttl_most_s: longest time for which callers keep a directory answer.

    .. versionadded:: 0.2
    """

    grace_ms: int = 8000
    config_apply_ms: int = 2000
    revoke_ms: int = 5000
    is_revocation_strict: bool = False
    retry_ratio: float = 0.2
    retry_window_ms: int = 10_000
    retry_slack: float = 0.0
    directory_ttl_most_s: float = 5.0

    @property
    def watch_wait_ms(self) -> int:
        """Return the longest wait of one watch, which the age of the view follows.

        An older view could not tell an unknown route from a new one, and the VM would
        take no callers.
        """
        limits_ms = [MOST_WATCH_WAIT_MS, self.config_apply_ms * CURRENT_PART]
        if self.is_revocation_strict:
            limits_ms.append(self.revoke_ms * REVOKE_PART)
        return int(min(limits_ms))


@dataclass(frozen=True)
class GatewayConfig:
    """Identity, listeners and bounds of one gateway.

    :param least_lease_ms: shortest time to live that the store grants.
    :param metrics_port: port of the listener for metrics; ``deploy/system.toml`` names
        the same.

    .. versionadded:: 0.2
    """

    vm: str
    domain: str
    listeners: Listeners
    store: Address
    least_lease_ms: int = 1000
    max_descriptors: int = 1024
    metrics_port: int = METRICS_PORT
    bounds: Bounds = Bounds()
