"""Events of a gateway's log that belong to one run of a stream."""

from dataclasses import dataclass
from typing import ClassVar

from heathershunt.logs.request_events import RequestEvent


@dataclass(frozen=True)
class LineLeft(RequestEvent):
    """A stream no longer waits in line for a chain with capacity.

    :param outcome: ``placed`` if it has a chain with capacity, ``fallback`` if it is
        sent to one that seems full, ``unplaced`` if there is none, ``refused`` if its
        turn would have come too late, ``left`` if it no longer has to be sent.
    :param rank: priority of the stream.
    """

    name: ClassVar[str] = "line_left"
    sentence: ClassVar[str] = (
        "{outcome} after {waited_ms} ms in line for {service} with priority {rank}"
    )
    outcome_field: ClassVar[str | None] = "outcome"
    outcome: str
    service: str
    rank: int
    waited_ms: int


@dataclass(frozen=True)
class PauseExamined(RequestEvent):
    """A stream paused, and its runners were checked for a fault.

    :param target: first runner of the chain.
    :param after: id of the last event before the pause; ``None`` before the first.
    :param faulty: runner at fault; ``None`` if none was found.
    """

    name: ClassVar[str] = "pause_examined"
    sentence: ClassVar[str] = (
        "the stream paused after event {after}; runner at fault: {faulty}"
    )
    target: str
    after: int | None
    faulty: str | None


@dataclass(frozen=True)
class ChainReplaced(RequestEvent):
    """A runner of a running chain was replaced.

    :param target: runner that was at fault.
    :param outcome: value of the ``OrderOutcome``.
    :param added: runners that were not in the chain before.
    :param domains: failure domains of the new chain.
    """

    name: ClassVar[str] = "chain_replaced"
    sentence: ClassVar[str] = (
        "runner {target} was replaced by {added} in the running chain"
    )
    target: str
    outcome: str
    added: tuple[str, ...]
    domains: tuple[str, ...]


@dataclass(frozen=True)
class ChainNotReplaced(RequestEvent):
    """A runner of a running chain could not be replaced.

    :param target: runner that was at fault.
    :param outcome: value of the ``OrderOutcome``.
    """

    name: ClassVar[str] = "chain_not_replaced"
    sentence: ClassVar[str] = "runner {target} could not be replaced: {outcome}"
    target: str
    outcome: str


@dataclass(frozen=True)
class StreamBroken(RequestEvent):
    """A run of a stream ended before its last event, after its reply had begun.

    :param target: first runner of the chain.
    :param after: id of the last event; ``None`` before the first.
    :param detail: reason why the run ended.
    :param run_events: events that this run itself sent.
    """

    name: ClassVar[str] = "stream_broken"
    sentence: ClassVar[str] = "the run at {target} ended after event {after}: {detail}"
    target: str
    after: int | None
    detail: str
    run_events: int


@dataclass(frozen=True)
class RunHeld(RequestEvent):
    """A run is silent; it is kept while another one is started that may take over.

    :param target: first runner of the chain.
    :param after: id of the last event; ``None`` before the first.
    """

    name: ClassVar[str] = "run_held"
    sentence: ClassVar[str] = (
        "the run at {target} is silent after event {after}, another one is started: "
        "{detail}"
    )
    target: str
    after: int | None
    detail: str


@dataclass(frozen=True)
class RunRegained(RequestEvent):
    """A silent run went on before another one had taken over.

    :param target: first runner of the chain.
    :param paused_ms: time since the last event.
    """

    name: ClassVar[str] = "run_regained"
    sentence: ClassVar[str] = "the run at {target} went on after {paused_ms} ms"
    target: str
    paused_ms: int


@dataclass(frozen=True)
class RunCrashed(RequestEvent):
    """A runner ended under a run; evidence against what the run was sent.

    :param target: runner that ended.
    :param stage: ``waiting`` before the head of the reply, ``begun`` before the first
        event, ``writing`` after it.
    :param wrote_ms: time from the first event to the end.
    """

    name: ClassVar[str] = "run_crashed"
    sentence: ClassVar[str] = (
        "runner {target} ended while the run was {stage}, {wrote_ms} ms after its "
        "first event"
    )
    target: str
    stage: str
    wrote_ms: int


@dataclass(frozen=True)
class StreamResumed(RequestEvent):
    """Another run continues a stream after the last event that the caller received.

    :param after: id of the last event.
    """

    name: ClassVar[str] = "stream_resumed"
    sentence: ClassVar[str] = "the stream resumed after event {after}"
    after: int
