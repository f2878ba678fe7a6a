"""Descriptions of the events of one request, for people."""

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
    EventKind.EPOCH_RECOVERED: "the draft resumed in a new epoch",
    EventKind.RETRY: "the request was retried",
    EventKind.VERDICT: "the request ended",
    EventKind.LEASE: "a lease changed",
    EventKind.BUNDLE: "a bundle changed",
    EventKind.MEMBERSHIP: "the state of a VM changed",
    EventKind.ORDER: "an order was sent to a runner",
    EventKind.FAULT: "a fault was detected",
}


def explain(events: Iterable[Event], request: str) -> list[str]:
    """Return one line for each event of a request, in causal order.

    :param events: events of any number of processes, in any order.
    :param request: id of the request; the result is empty if no event has the id.
    """
    request_events = select_events(merge_events(events), request=request)
    if not request_events:
        return []
    start_ms = unpack_hlc(request_events[0].hlc)[0]
    return [_format_event(event, start_ms) for event in request_events]


def _format_event(event: Event, start_ms: int) -> str:
    elapsed_ms = unpack_hlc(event.hlc)[0] - start_ms
    text = f"+{elapsed_ms} ms {event.vm}: {TEXT_BY_KIND[event.kind]}"
    details = ", ".join(
        f"{name} {_format_value(value)}" for name, value in event.fields.items()
    )
    return f"{text} ({details})" if details else text


def _format_value(value: Any) -> str:
    if isinstance(value, list | tuple):
        return " > ".join(map(_format_value, value))
    return str(value)
