"""Drafts: answers that models generate on chains of runners, and their requests."""

from heathershunt.drafts.draft import Draft, DraftRequest, DraftTable
from heathershunt.drafts.engine import EngineClient
from heathershunt.drafts.execution import DraftExecutor
from heathershunt.drafts.gate import AdmissionGate
from heathershunt.drafts.handler import DraftHandler
from heathershunt.drafts.observer import DraftObserver
from heathershunt.drafts.progress import ProgressMonitor

__all__ = [
    "AdmissionGate",
    "Draft",
    "DraftExecutor",
    "DraftHandler",
    "DraftObserver",
    "DraftRequest",
    "DraftTable",
    "EngineClient",
    "ProgressMonitor",
]
