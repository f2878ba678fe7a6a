"""Ring buffer of one process's events, and the merge over processes."""

from collections import deque
from collections.abc import Iterable
from typing import Any

from heathershunt.timeline.events import Event, EventKind
from heathershunt.timeline.hlc import HybridClock

# An event takes about half a kilobyte, so that this many take about 10 MB of the
# 256 MB of a node.
CAPACITY = 20_000


class TimeLine:
    """Bounded record of the last events of this process.

    :param clock: gives each event its time.
    :param vm: name of this VM.
    :param capacity: events kept; the oldest are dropped first.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        clock: HybridClock,
        vm: str,
        incarnation: int,
        capacity: int = CAPACITY,
    ) -> None:
        self.clock = clock
        self.vm = vm
        self.incarnation = incarnation
        # Tuples are several times cheaper to make than events; events are made on
        # reading.
        self._entries: deque[tuple] = deque(maxlen=capacity)
        self.recorded = 0

    def record(
        self, kind: EventKind, request: str | None = None, **fields: Any
    ) -> None:
        """Add an event.

        :param fields: JSON values; they must not be changed afterwards.
        """
        self.recorded += 1
        self._entries.append((self.clock.tick(), kind, request, fields))

    @property
    def dropped(self) -> int:
        """Return the number of events that fell out of the buffer."""
        return self.recorded - len(self._entries)

    def events(
        self,
        request: str | None = None,
        kind: EventKind | None = None,
        limit: int | None = None,
    ) -> list[Event]:
        """Return the events kept that match every given filter, oldest first.

        :param limit: only the last so many of them.
        """
        found = []
        for hlc, own_kind, own_request, fields in reversed(self._entries):
            if len(found) == limit:
                break
            if request in (None, own_request) and kind in (None, own_kind):
                event = Event(
                    hlc, self.vm, self.incarnation, own_kind, own_request, fields
                )
                found.append(event)
        found.reverse()
        return found


def merge_events(*timelines: Iterable[Event]) -> list[Event]:
    """Return the events of several processes in causal order, each once.

    An effect has a higher hybrid time than its cause, so the order of time is a
    causal one; the VM and its incarnation only break ties of independent events.
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
    """Return the events that match every given filter."""
    return [
        event
        for event in events
        if (request is None or event.request == request)
        and (vm is None or event.vm == vm)
        and (kind is None or event.kind is kind)
    ]
