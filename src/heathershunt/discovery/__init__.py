"""Targets and VMs that are registered in the store."""

from heathershunt.discovery.facts import Fact, Step, allows
from heathershunt.discovery.members import Member, MemberList
from heathershunt.discovery.registry import TargetRegistry
from heathershunt.discovery.target import LayerRange, Target

__all__ = [
    "Fact",
    "LayerRange",
    "Member",
    "MemberList",
    "Step",
    "Target",
    "TargetRegistry",
    "allows",
]
