"""Events of the timeline and their conversion to and from JSON values."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Annotated, Any

import msgspec

# A time in the year 6429. Dates after the year 9999 cannot be displayed.
MAX_HLC = 2**63 - 1


class EventKind(Enum):
    """Kind of an event of the timeline.

    .. versionadded:: 0.1
    """

    REQUEST_ADMITTED = "request_admitted"
    CHAIN_CHOSEN = "chain_chosen"
    EPOCH_OPENED = "epoch_opened"
    EPOCH_FAILED = "epoch_failed"
    EPOCH_RECOVERED = "epoch_recovered"
    RETRY = "retry"
    VERDICT = "verdict"
    LEASE = "lease"
    BUNDLE = "bundle"
    MEMBERSHIP = "membership"
    ORDER = "order"
    FAULT = "fault"
    PROMPT = "prompt"
    LIMIT = "limit"
    AVAILABILITY = "availability"


@dataclass(frozen=True)
class Event:
    """One event recorded by one process.

    :param hlc: packed hybrid logical time.
    :param vm: name of the VM that recorded it.
    :param incarnation: incarnation of that VM.
    :param request: id of the request that the event belongs to, if any.
    :param fields: details as JSON values, by name.

    .. versionadded:: 0.1
    """

    hlc: Annotated[int, msgspec.Meta(ge=0, le=MAX_HLC)]
    vm: str
    incarnation: int
    kind: EventKind
    request: str | None = None
    fields: Mapping[str, Any] = field(default_factory=dict)


def event_to_mapping(event: Event) -> dict[str, Any]:
    """Return an event as a mapping of JSON values."""
    return {
        "hlc": event.hlc,
        "vm": event.vm,
        "incarnation": event.incarnation,
        "kind": event.kind.value,
        "request": event.request,
        "fields": dict(event.fields),
    }


def event_from_mapping(raw: Any) -> Event:
    """Return the event in a decoded JSON value.

    :raises ValueError: if the value is not a valid event.
    """
    return msgspec.convert(raw, Event)
