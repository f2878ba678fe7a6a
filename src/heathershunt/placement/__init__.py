"""Placement: the holder of a model's lease orders runners to load layers."""

from heathershunt.placement.controller import PlacementController
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
    "PlacementController",
    "plan",
]
