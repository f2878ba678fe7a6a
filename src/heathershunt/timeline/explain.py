"""What happened to one request, in sentences."""

from collections.abc import Iterable
from typing import Any

from heathershunt.timeline.events import Event, EventKind
from heathershunt.timeline.hlc import unpack_hlc
from heathershunt.timeline.timeline import merge_events, select_events

TEXT_BY_KIND = {
    EventKind.REQUEST_ADMITTED: "the request was admitted",
    EventKind.CHAIN_CHOSEN: "a chain was chosen",
    EventKind.EPOCH_OPENED: "an epoch was opened",
    EventKind.EPOCH_FAILED: "the epoch failed",
    EventKind.EPOCH_RECOVERED: "the draft went on in a new epoch",
    EventKind.RETRY: "the request was tried again",
    EventKind.VERDICT: "the request ended",
    EventKind.LEASE: "a lease changed",
    EventKind.BUNDLE: "a bundle changed",
    EventKind.MEMBERSHIP: "a VM changed its state",
    EventKind.ORDER: "an order was sent to a runner",
    EventKind.FAULT: "a fault was seen",
}


def explain(events: Iterable[Event], request: str) -> list[str]:
    """Return one line for each event of ``request``, in causal order.

    :param events: events of any number of processes.
    """
    own = select_events(merge_events(events), request=request)
    if not own:
        return []
    start = unpack_hlc(own[0].hlc)[0]
    return [_line(event, start) for event in own]


def _line(event: Event, start: int) -> str:
    after = unpack_hlc(event.hlc)[0] - start
    text = f"+{after} ms {event.vm}: {TEXT_BY_KIND[event.kind]}"
    details = ", ".join(f"{n} {_plain(v)}" for n, v in event.fields.items())
    return f"{text} ({details})" if details else text


def _plain(value: Any) -> str:
    if isinstance(value, list | tuple):
        return " > ".join(map(_plain, value))
    return str(value)
