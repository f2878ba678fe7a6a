"""Relay of requests to targets: plain calls, streams and the retry budget."""

from heathershunt.relay.budget import RetryBudget, RetryOrigin
from heathershunt.relay.calls import CallRelay
from heathershunt.relay.context import RelayContext
from heathershunt.relay.diagnosis import Diagnosis
from heathershunt.relay.endings import Endings
from heathershunt.relay.messages import (
    CallerRequest,
    Dispatch,
    ReplyHead,
    TargetWire,
    refuse,
)
from heathershunt.relay.spec import StreamSpec
from heathershunt.relay.streams import StreamRelay
from heathershunt.relay.suspects import SuspectList

__all__ = [
    "CallRelay",
    "CallerRequest",
    "Diagnosis",
    "Dispatch",
    "Endings",
    "RelayContext",
    "ReplyHead",
    "RetryBudget",
    "RetryOrigin",
    "StreamRelay",
    "StreamSpec",
    "SuspectList",
    "TargetWire",
    "refuse",
]
