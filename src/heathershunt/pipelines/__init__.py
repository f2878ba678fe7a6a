"""Chains of runners that hold ranges of layers: choice, load and placement."""

from heathershunt.pipelines.chain import Chain, ChainPart
from heathershunt.pipelines.chooser import ChainChooser
from heathershunt.pipelines.estimates import Job
from heathershunt.pipelines.layout import LayoutConfig, Placement, plan_layout
from heathershunt.pipelines.load import LoadLedger
from heathershunt.pipelines.load_exchange import LOAD_PATH, LoadAggregator, LoadExchange
from heathershunt.pipelines.notes import PeerNotes, RunnerNote
from heathershunt.pipelines.pace import PaceTracker
from heathershunt.pipelines.placer import Placer, PlacerConfig
from heathershunt.pipelines.runners import (
    OrderOutcome,
    OrderReply,
    RunnerApi,
    RunnerReport,
    StalledJob,
)

__all__ = [
    "Chain",
    "ChainChooser",
    "ChainPart",
    "Job",
    "LOAD_PATH",
    "LayoutConfig",
    "LoadAggregator",
    "LoadLedger",
    "LoadExchange",
    "PeerNotes",
    "PaceTracker",
    "Placement",
    "Placer",
    "PlacerConfig",
    "OrderOutcome",
    "OrderReply",
    "RunnerApi",
    "RunnerNote",
    "RunnerReport",
    "StalledJob",
    "plan_layout",
]
