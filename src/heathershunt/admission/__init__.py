"""Admission control: which request runs next, and which is refused at once."""

from heathershunt.admission.limits import AccountLimits
from heathershunt.admission.line import LineConfig, Waiter, WaitingLine
from heathershunt.admission.queue import AdmissionConfig, AdmissionQueue, Ticket
from heathershunt.admission.shares import Demand, ShareConfig, ShareSplitter

__all__ = [
    "AccountLimits",
    "AdmissionConfig",
    "AdmissionQueue",
    "Demand",
    "LineConfig",
    "ShareConfig",
    "ShareSplitter",
    "Ticket",
    "Waiter",
    "WaitingLine",
]
