"""Routing: chooses the chain of runners that serves a draft."""

from heathershunt.routing.capacity import PipelineCapacity, pipeline_capacity
from heathershunt.routing.inflight import InFlight, OwnRuns
from heathershunt.routing.router import Router, RoutingConfig
from heathershunt.routing.views import (
    Chain,
    NoChain,
    RunnerLoadReport,
    RunnerView,
    Stage,
)

__all__ = [
    "Chain",
    "InFlight",
    "NoChain",
    "OwnRuns",
    "PipelineCapacity",
    "Router",
    "RoutingConfig",
    "RunnerLoadReport",
    "RunnerView",
    "Stage",
    "pipeline_capacity",
]
