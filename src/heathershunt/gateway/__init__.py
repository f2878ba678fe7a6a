"""The gateway daemon, which relays callers' requests to a platform's targets."""

from heathershunt.gateway.config import Bounds, GatewayConfig, Listeners

__all__ = ["Bounds", "GatewayConfig", "Listeners"]
