"""The configuration in force: routes, client accounts, services and engines."""

from heathershunt.catalog.catalog import Catalog, hash_key
from heathershunt.catalog.model import (
    AcceleratorKind,
    CallerLimits,
    ClientAccount,
    Engine,
    Route,
    RouteKind,
    Service,
    WeightedService,
)

__all__ = [
    "AcceleratorKind",
    "CallerLimits",
    "Catalog",
    "ClientAccount",
    "Engine",
    "Route",
    "RouteKind",
    "Service",
    "WeightedService",
    "hash_key",
]
