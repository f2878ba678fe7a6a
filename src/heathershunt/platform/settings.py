"""Decoder from the platform's settings file to the gateway's configuration."""

import os
import tomllib
from typing import Any

import msgspec

from heathershunt.gateway.config import Bounds, GatewayConfig, Listeners
from heathershunt.http import Address
from heathershunt.platform.names import SETTINGS_VARIABLE
from heathershunt.schema.fields import (
    Amount,
    Factor,
    Milliseconds,
    PositiveAmount,
    PositiveWhole,
    TimeLimit,
)


class PlatformSettingsError(Exception):
    """A settings file that cannot be read or has missing or invalid fields.

    .. versionadded:: 0.2
    """


class _Listen(msgspec.Struct):
    front: str
    ready: str
    directory: str


class _Bounds(msgspec.Struct):
    grace_s: Amount = 8
    config_apply_ms: TimeLimit = 2000
    revoke_ms: TimeLimit = 5000
    strict_revocation: bool = False
    retry_budget_ratio: Factor = 0.2
    budget_window_s: PositiveAmount = 10
    retry_budget_slack: Amount = 0
    ttl_max_s: Amount = 5
    stall_ms: Milliseconds = 3000
    pass_ms: Milliseconds = 120


class _Limits(msgspec.Struct):
    max_fds: PositiveWhole = 1024


class _Platform(msgspec.Struct):
    address: str
    min_ttl_ms: Milliseconds = 1000


class _Settings(msgspec.Struct):
    node: str
    zone: str
    listen: _Listen
    platform: _Platform
    ip: str
    # First and last port that are free for traffic between VMs.
    internal_ports: tuple[int, int]
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)


def load_settings(path: str | None = None) -> GatewayConfig:
    """Read the settings file.

    :param path: the file; by default the value of ``HEATHERSHUNT_SETTINGS``.
    :raises PlatformSettingsError: if the file cannot be read or is malformed.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE, "")
    try:
        with open(path, "rb") as file:
            return decode_settings(tomllib.load(file))
    except (OSError, ValueError) as error:
        message = f"cannot read settings from {path!r}: {error}"
        raise PlatformSettingsError(message) from None


def decode_settings(raw: dict[str, Any]) -> GatewayConfig:
    """Return the gateway's configuration.

    :raises ValueError: if a field is missing or invalid.
    """
    settings = msgspec.convert(raw, _Settings)
    bounds = settings.bounds
    return GatewayConfig(
        vm=settings.node,
        domain=settings.zone,
        listeners=Listeners(
            callers=Address.from_text(settings.listen.front),
            readiness=Address.from_text(settings.listen.ready),
            directory=Address.from_text(settings.listen.directory),
            peers=Address(settings.ip, settings.internal_ports[0]),
        ),
        store=Address.from_text(settings.platform.address),
        min_lease_ttl_ms=int(settings.platform.min_ttl_ms),
        max_descriptors=settings.limits.max_fds,
        bounds=Bounds(
            grace_ms=int(bounds.grace_s * 1000),
            config_apply_ms=int(bounds.config_apply_ms),
            revoke_ms=int(bounds.revoke_ms),
            is_revocation_strict=bounds.strict_revocation,
            retry_ratio=bounds.retry_budget_ratio,
            retry_window_ms=int(bounds.budget_window_s * 1000),
            retry_slack=bounds.retry_budget_slack,
            max_directory_ttl_s=bounds.ttl_max_s,
        ),
    )
