"""Forwarding to the targets through another VM, while this one is cut off from them."""

from heathershunt.forwarding.choice import HopChooser
from heathershunt.forwarding.forwarder import Forwarder
from heathershunt.forwarding.links import LinkWatch
from heathershunt.forwarding.messages import FORWARD_PATH
from heathershunt.forwarding.race import ForwardSpec
from heathershunt.forwarding.reachability import Reachability
from heathershunt.forwarding.receiver import ForwardReceiver

__all__ = [
    "FORWARD_PATH",
    "ForwardReceiver",
    "ForwardSpec",
    "Forwarder",
    "HopChooser",
    "LinkWatch",
    "Reachability",
]
