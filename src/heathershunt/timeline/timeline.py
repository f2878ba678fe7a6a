"""Ring buffer of the events of one process, and the merge of several processes."""

from collections import deque
from collections.abc import Iterable
from typing import Any

from heathershunt.timeline.events import Event, EventKind
from heathershunt.timeline.hlc import HybridClock

# An event takes about half a kilobyte, so a full buffer takes about 10 MB of the 256 MB
# of memory of a node.
DEFAULT_CAPACITY = 20_000


class Timeline:
    """Ring buffer of the last events of this process.

    :param clock: source of the times of the events.
    :param vm: name of this VM.
    :param incarnation: incarnation of this VM.
    :param capacity: events kept; the oldest are dropped first.
    :ivar recorded: number of events recorded so far, dropped ones included.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        clock: HybridClock,
        vm: str,
        incarnation: int,
        capacity: int = DEFAULT_CAPACITY,
    ) -> None:
        self.clock = clock
        self.vm = vm
        self.incarnation = incarnation
        # Tuples are several times cheaper to create than events, which are created
        # when they are read.
        self._entries: deque[tuple] = deque(maxlen=capacity)
        self.recorded = 0

    def record(
        self, kind: EventKind, request: str | None = None, **fields: Any
    ) -> None:
        """Record an event at the current time.

        :param request: id of the request that the event belongs to, if any.
        :param fields: details as JSON values; they must not be modified afterwards.
        """
        self.recorded += 1
        self._entries.append((self.clock.tick(), kind, request, fields))

    @property
    def dropped(self) -> int:
        """Return the number of events that were dropped from the full buffer."""
        return self.recorded - len(self._entries)

    def events(
        self,
        request: str | None = None,
        kind: EventKind | None = None,
        limit: int | None = None,
    ) -> list[Event]:
        """Return the buffered events that match all given filters, oldest first.

        :param limit: maximum number of events; the latest ones are returned.
        """
        found = []
        for hlc, entry_kind, entry_request, fields in reversed(self._entries):
            if len(found) == limit:
                break
            if request in (None, entry_request) and kind in (None, entry_kind):
                event = Event(
                    hlc, self.vm, self.incarnation, entry_kind, entry_request, fields
                )
                found.append(event)
        found.reverse()
        return found


def merge_events(*timelines: Iterable[Event]) -> list[Event]:
    """Return the events of several processes in causal order, each once.

    An effect has a higher hybrid time than its cause, so the order by time is causal.
    The VM and its incarnation only break ties between independent events.
    """
    by_key = {
        (event.hlc, event.vm, event.incarnation): event
        for events in timelines
        for event in events
    }
    return [by_key[key] for key in sorted(by_key)]


def select_events(
    events: Iterable[Event],
    request: str | None = None,
    vm: str | None = None,
    kind: EventKind | None = None,
) -> list[Event]:
    """Return the events that match all given filters."""
    return [
        event
        for event in events
        if (request is None or event.request == request)
        and (vm is None or event.vm == vm)
        and (kind is None or event.kind is kind)
    ]
