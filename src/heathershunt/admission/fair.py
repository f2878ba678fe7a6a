"""Start-time fair queueing (Goyal, Vin and Cheng, 1996) over flows of tickets.

A flow's next ticket has as its start tag the larger of the queue's virtual time and the
finish tag of the flow's previous ticket; the flow with the smallest start tag is served
next. A flow gets no credit for the time in which it was idle, and the other flows use
the capacity that it leaves.
"""

import heapq
from bisect import insort
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import islice
from typing import Any, Generic, TypeVar

T = TypeVar("T")


@dataclass(eq=False, slots=True)
class Flow(Generic[T]):
    """Waiting items of one account.

    :param finish: finish tag of the last item that was taken, in virtual time.
    """

    name: str
    items: deque[T] = field(default_factory=deque)
    finish: float = 0.0
    in_heap: bool = False


class FairQueue(Generic[T]):
    """Queue of flows that share one server in proportion to their weights.

    :param order: sort key of the items inside a flow; ``None`` for their arrival. Items
        with the same key are served as they arrived.

    .. versionadded:: 0.1
    """

    def __init__(self, order: Callable[[T], Any] | None = None) -> None:
        self._order = order
        self.virtual_time = 0.0
        self.flows: dict[str, Flow[T]] = {}
        self._heap: list[tuple[float, int, Flow[T]]] = []
        self._idle: list[tuple[float, int, Flow[T]]] = []
        self._sequence = 0
        self._item_count = 0

    def push(self, name: str, item: T, ready: bool) -> None:
        """Add ``item`` to a flow, which becomes eligible only if ``ready``."""
        flow = self.flows.get(name)
        if flow is None:
            flow = self.flows[name] = Flow(name)
        if self._order is None:
            flow.items.append(item)
        else:
            insort(flow.items, item, key=self._order)
        self._item_count += 1
        if ready:
            self.activate(name)

    def activate(self, name: str) -> None:
        """Make a flow with waiting items eligible for service."""
        flow = self.flows.get(name)
        if flow is not None and flow.items and not flow.in_heap:
            flow.in_heap = True
            start = max(self.virtual_time, flow.finish)
            heapq.heappush(self._heap, self._entry(start, flow))

    def remove(self, name: str, item: T) -> None:
        """Remove a waiting item."""
        self.flows[name].items.remove(item)
        self._item_count -= 1

    def peek(self, ready: Callable[[str], bool]) -> tuple[str, T] | None:
        """Return the next flow and item without removing the item.

        :param ready: whether the flow of this name may be served; a flow that may not
            is skipped until the next ``activate``.
        """
        while self._heap:
            flow = self._heap[0][2]
            if flow.items and ready(flow.name):
                return flow.name, flow.items[0]
            self._deactivate_first()
        return None

    def pop(self, size: float) -> T:
        """Remove and return the item that ``peek`` returned.

        :param size: cost of the item divided by the weight of its flow.
        """
        start, _, flow = self._heap[0]
        self.virtual_time = max(self.virtual_time, start)
        flow.finish = start + size
        item = flow.items.popleft()
        self._item_count -= 1
        self._deactivate_first()
        self.activate(flow.name)
        return item

    def first(self, count: int, size: Callable[[T], float]) -> list[tuple[float, T]]:
        """Return the next eligible items and their start tags, in order.

        :param count: most items to return.
        :param size: returns the cost of an item divided by the weight of its flow.
        """
        found = []
        waiting = (entry for entry in self._heap if entry[2].items)
        for start, sequence, flow in heapq.nsmallest(count, waiting):
            for item in islice(flow.items, count):
                found.append((start, sequence, item))
                start += size(item)
        # The sort is stable: items of a flow without a size stay in their order.
        found.sort(key=lambda entry: entry[:2])
        return [(start, item) for start, _, item in found[:count]]

    def take(self, name: str, item: T, size: float) -> None:
        """Remove an item out of order, and charge its flow with ``size``.

        Virtual time stays where it is, as the items before this one still wait.
        """
        flow = self.flows[name]
        flow.items.remove(item)
        self._item_count -= 1
        flow.finish = max(self.virtual_time, flow.finish) + size
        if flow.in_heap:
            self._heap = [entry for entry in self._heap if entry[2] is not flow]
            heapq.heapify(self._heap)
            flow.in_heap = False
        if flow.items:
            self.activate(name)
        else:
            heapq.heappush(self._idle, self._entry(flow.finish, flow))

    def remove_idle(self) -> None:
        """Remove the flows without waiting items whose finish tag has passed."""
        if not self._item_count:
            # A busy period has ended, so finish tags no longer matter.
            self.flows.clear()
            self._heap.clear()
            self._idle.clear()
        while self._idle and self._idle[0][0] <= self.virtual_time:
            flow = heapq.heappop(self._idle)[2]
            # A flow whose finish tag is still ahead of the virtual time is kept: a new
            # flow would start earlier, so an account could gain by letting its queue
            # run empty.
            if not flow.items and self.flows.get(flow.name) is flow:
                if flow.finish <= self.virtual_time and not flow.in_heap:
                    del self.flows[flow.name]

    def _deactivate_first(self) -> None:
        flow = heapq.heappop(self._heap)[2]
        flow.in_heap = False
        if not flow.items:
            heapq.heappush(self._idle, self._entry(flow.finish, flow))

    def _entry(self, at: float, flow: Flow[T]) -> tuple[float, int, Flow[T]]:
        self._sequence += 1
        return (at, self._sequence, flow)
