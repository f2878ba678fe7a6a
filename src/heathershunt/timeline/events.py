"""Events of the timeline and their form as JSON values."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Annotated, Any

import msgspec

# In the year 6429; a date beyond 9999 cannot be shown.
MAX_HLC = 2**63 - 1


class EventKind(Enum):
    """What an event is about.

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


@dataclass(frozen=True)
class Event:
    """One event of one process.

    :param hlc: packed hybrid logical time.
    :param vm: name of the VM that recorded it.
    :param incarnation: incarnation of that VM.
    :param request: id of the request it belongs to, if any.
    :param fields: details, JSON values by name.

    .. versionadded:: 0.1
    """

    hlc: Annotated[int, msgspec.Meta(ge=0, le=MAX_HLC)]
    vm: str
    incarnation: int
    kind: EventKind
    request: str | None = None
    fields: Mapping[str, Any] = field(default_factory=dict)


def event_to_mapping(event: Event) -> dict[str, Any]:
    """Return the event as JSON values."""
    return {
        "hlc": event.hlc,
        "vm": event.vm,
        "incarnation": event.incarnation,
        "kind": event.kind.value,
        "request": event.request,
        "fields": dict(event.fields),
    }


def event_from_mapping(raw: Any) -> Event:
    """Return the event of decoded JSON; raise ``ValueError`` if it is none."""
    return msgspec.convert(raw, Event)
