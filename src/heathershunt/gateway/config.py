"""Configuration of one gateway process."""

from dataclasses import dataclass

from heathershunt.http import Address

METRICS_PORT = 9464


@dataclass(frozen=True)
class Listeners:
    """Addresses to listen on.

    :param callers: callers' requests.
    :param readiness: readiness checks, on whether this VM accepts requests.
    :param directory: callers' queries for the addresses to use.
    :param peers: requests of other VMs.

    .. versionadded:: 0.2
    """

    callers: Address
    readiness: Address
    directory: Address
    peers: Address


MAX_WATCH_WAIT_MS = 1800
# Fractions of config_apply_ms and of revoke_ms that the age of the view may reach
# between two answers of the store.
CONFIG_AGE_FRACTION = 0.9
REVOKE_AGE_FRACTION = 0.36


@dataclass(frozen=True)
class Bounds:
    """Guarantees and limits of the deployment.

    :param grace_ms: time from the stop signal until the process is killed.
    :param config_apply_ms: time until a new configuration is in force everywhere.
    :param revoke_ms: time until a removed API key no longer works anywhere.
    :param is_revocation_strict: whether ``revoke_ms`` also holds while the store cannot
        be reached.
    :param retry_ratio: retries allowed per request, over all VMs.
    :param retry_window_ms: window in which requests and retries are counted.
    :param retry_slack: retries allowed beyond the ratio, over all VMs.
    :param max_directory_ttl_s: maximum time in seconds for which callers may cache a
        directory answer.

    .. versionadded:: 0.2
    """

    grace_ms: int = 8000
    config_apply_ms: int = 2000
    revoke_ms: int = 5000
    is_revocation_strict: bool = False
    retry_ratio: float = 0.2
    retry_window_ms: int = 10_000
    retry_slack: float = 0.0
    max_directory_ttl_s: float = 5.0

    @property
    def watch_wait_ms(self) -> int:
        """Return the maximum wait of one watch, which bounds the age of the view.

        With an older view the VM could not distinguish an unknown route from a new
        one, and would not be ready for callers.
        """
        limits_ms = [MAX_WATCH_WAIT_MS, self.config_apply_ms * CONFIG_AGE_FRACTION]
        if self.is_revocation_strict:
            limits_ms.append(self.revoke_ms * REVOKE_AGE_FRACTION)
        return int(min(limits_ms))


@dataclass(frozen=True)
class GatewayConfig:
    """Identity, listeners and bounds of one gateway.

    :param min_lease_ttl_ms: shortest time to live of a lease that the store grants.
    :param metrics_port: port of the listener for metrics; ``deploy/system.toml`` has
        the same number.

    .. versionadded:: 0.2
    """

    vm: str
    domain: str
    listeners: Listeners
    store: Address
    min_lease_ttl_ms: int = 1000
    max_descriptors: int = 1024
    metrics_port: int = METRICS_PORT
    bounds: Bounds = Bounds()
