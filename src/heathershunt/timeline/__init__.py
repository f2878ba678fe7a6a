"""Typed events of processes in hybrid logical time, and their merge."""

from heathershunt.timeline.events import (
    Event,
    EventKind,
    event_from_mapping,
    event_to_mapping,
)
from heathershunt.timeline.explain import explain
from heathershunt.timeline.hlc import HybridClock, pack_hlc, unpack_hlc
from heathershunt.timeline.timeline import Timeline, merge_events, select_events

__all__ = [
    "Event",
    "EventKind",
    "HybridClock",
    "Timeline",
    "event_from_mapping",
    "event_to_mapping",
    "explain",
    "merge_events",
    "pack_hlc",
    "select_events",
    "unpack_hlc",
]
