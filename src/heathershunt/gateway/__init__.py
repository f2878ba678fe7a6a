"""The daemon in front of a platform's targets: composition and callers' entry."""

from heathershunt.gateway.config import Bounds, GatewayConfig, Listeners

__all__ = ["Bounds", "GatewayConfig", "Listeners"]
