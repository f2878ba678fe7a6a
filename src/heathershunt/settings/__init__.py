"""Settings of the daemon: TOML into frozen dataclasses."""

from heathershunt.settings.settings import (
    BundleSettings,
    DraftSettings,
    ListenSettings,
    OperatorSettings,
    PeerSettings,
    PlacementSettings,
    PlatformSettings,
    Settings,
    SettingsError,
    TlsSettings,
    VmSettings,
    load_settings,
)

__all__ = [
    "BundleSettings",
    "DraftSettings",
    "ListenSettings",
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
