"""Targets that are known, and the VMs that callers may use."""

from heathershunt.discovery.members import Member, MemberList
from heathershunt.discovery.registry import TargetRegistry
from heathershunt.discovery.target import LayerRange, Target

__all__ = ["LayerRange", "Member", "MemberList", "Target", "TargetRegistry"]
