"""Membership records, failure detection, and the choice of entry VMs for callers."""

from heathershunt.membership.answers import AddressAnswer, AddressSelector, AnswerLimits
from heathershunt.membership.exchange import RecordExchange
from heathershunt.membership.membership import Membership, MembershipLimits
from heathershunt.peers.record import Suspicion, VmRecord, VmState, merge_records

__all__ = [
    "AddressAnswer",
    "AddressSelector",
    "AnswerLimits",
    "Membership",
    "MembershipLimits",
    "RecordExchange",
    "Suspicion",
    "VmRecord",
    "VmState",
    "merge_records",
]
