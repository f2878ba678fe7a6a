"""Placement: the holder of a model's lease orders runners to load layers."""

from heathershunt.placement.control import PlacementControl
from heathershunt.placement.lease import Lease, LeaseKeeper
from heathershunt.placement.orders import ORDER_TIMEOUT_MS, OrderReply, OrderSender
from heathershunt.placement.plan import Order, plan

__all__ = [
    "ORDER_TIMEOUT_MS",
    "Lease",
    "LeaseKeeper",
    "Order",
    "OrderReply",
    "OrderSender",
    "PlacementControl",
    "plan",
]
