"""Settings of the daemon, read from TOML into frozen dataclasses."""

from heathershunt.settings.load import SettingsError, load_settings
from heathershunt.settings.settings import (
    BundleSettings,
    DraftSettings,
    ListenSettings,
    LogSettings,
    OperatorSettings,
    PeerSettings,
    PlacementSettings,
    PlatformSettings,
    Settings,
    TlsSettings,
    VmSettings,
)

__all__ = [
    "BundleSettings",
    "DraftSettings",
    "ListenSettings",
    "LogSettings",
    "OperatorSettings",
    "PeerSettings",
    "PlacementSettings",
    "PlatformSettings",
    "Settings",
    "SettingsError",
    "TlsSettings",
    "VmSettings",
    "load_settings",
]
