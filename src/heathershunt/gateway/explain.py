"""What happened to one request, from the log lines of all VMs."""

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

# Each sentence is filled from the fields of its event.
SENTENCE_BY_EVENT = {
    "admitted": "admitted on route {route} to service {service}, {left_ms} ms left",
    "refused": "refused with status {status}: {detail}",
    "send_failed": "send to {target} failed ({progress}): {detail}",
    "send_rejected": "{target} rejected it unrun with status {status}",
    "retry_denied": "no repeat was left in the shared budget",
    "pause_examined": "no event for a while after event {after}; at fault: {faulty}",
    "chain_replaced": "{target} was replaced in the running chain",
    "chain_not_replaced": "{target} could not be replaced: {outcome}",
    "stream_broken": "the run at {target} ended after event {after}: {detail}",
    "stream_resumed": "the stream went on after event {after}",
    "stream_refused": "no chain took it: {detail}",
    "stream_ended": (
        "stream {outcome} after event {after}; first event {first_event_ms} ms, "
        "longest gap {longest_gap_ms} ms, {sends} sends"
    ),
    "call_ended": "answered {status} after {elapsed_ms} ms and {sends} sends",
}
# What a VM came to believe shortly before explains what it decided.
BELIEFS = frozenset(
    {
        "configuration_in_force",
        "readiness",
        "store_regained",
        "target_gone",
        "member",
        "started",
        "stopping",
        "stopped",
    }
)
BELIEFS_BEFORE_MS = 2000


@dataclass(frozen=True)
class LogEvent:
    """One line of a gateway's log.

    :param time_ms: wall time of the VM; VMs may differ.
    """

    time_ms: int
    vm: str
    event: str
    fields: Mapping[str, Any] = field(default_factory=dict)


def read_events(lines: Iterable[str]) -> list[LogEvent]:
    """Return the events in lines of logs; other lines are passed over.

    A line may have a prefix, as collectors of logs add one.
    """
    events = []
    for line in lines:
        start = line.find('{"time_ms"')
        if start < 0:
            continue
        try:
            fields = json.loads(line[start:])
            event = LogEvent(
                fields.pop("time_ms"), fields.pop("vm"), fields.pop("event"), fields
            )
        except (ValueError, KeyError):
            continue
        events.append(event)
    return events


def explain_request(events: Iterable[LogEvent], request: str) -> list[str]:
    """Return the cause of a request's outcome first, then its events in order.

    :param request: id of the request; empty result if no line names it.
    """
    events = list(events)
    own = [event for event in events if event.fields.get("request") == request]
    if not own:
        return []
    own.sort(key=lambda event: event.time_ms)
    vms = {event.vm for event in own}
    first, last = own[0].time_ms, own[-1].time_ms
    beliefs = [
        event
        for event in events
        if event.event in BELIEFS
        and event.vm in vms
        and first - BELIEFS_BEFORE_MS <= event.time_ms <= last
    ]
    shown = sorted([*own, *beliefs], key=lambda event: event.time_ms)
    return [f"cause: {_cause(own)}", *(_line(event, first) for event in shown)]


def _cause(own: list[LogEvent]) -> str:
    """Return the last failure before the end, or the end itself."""
    failures = ("refused", "stream_refused", "stream_broken", "send_failed")
    for event in reversed(own):
        if event.event in failures:
            return _sentence(event)
    return _sentence(own[-1])


def _line(event: LogEvent, first: int) -> str:
    return f"{event.time_ms - first:+6d} ms {event.vm}: {_sentence(event)}"


def _sentence(event: LogEvent) -> str:
    template = SENTENCE_BY_EVENT.get(event.event)
    if template is None:
        details = ", ".join(f"{name} {value}" for name, value in event.fields.items())
        return f"{event.event} ({details})" if details else event.event
    try:
        return template.format_map(event.fields)
    except KeyError:
        return event.event
