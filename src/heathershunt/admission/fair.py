"""Start-time fair queueing (Goyal, Vin and Cheng, 1996) over flows of tickets.

A flow's next ticket starts at the larger of the system's virtual time and the end of
the flow's previous ticket; the flow with the earliest start goes next. A flow that
was idle gets no credit for the past, and what it does not use goes to the others.
"""

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

T = TypeVar("T")


@dataclass(eq=False, slots=True)
class Flow(Generic[T]):
    """Waiting items of one account, and its place in virtual time."""

    name: str
    items: deque[T] = field(default_factory=deque)
    finish: float = 0.0
    in_heap: bool = False


class FairQueue(Generic[T]):
    """Flows that share one server in proportion to their weights.

    .. versionadded:: 0.1
    """

    def __init__(self) -> None:
        self.virtual = 0.0
        self.flows: dict[str, Flow[T]] = {}
        self._heap: list[tuple[float, int, Flow[T]]] = []
        self._idle: list[tuple[float, int, Flow[T]]] = []
        self._count = 0
        self._items = 0

    def push(self, name: str, item: T, ready: bool) -> None:
        """Add ``item`` to a flow, which may compete only if ``ready``."""
        flow = self.flows.get(name)
        if flow is None:
            flow = self.flows[name] = Flow(name)
        flow.items.append(item)
        self._items += 1
        if ready:
            self.wake(name)

    def wake(self, name: str) -> None:
        """Let a flow with waiting items compete."""
        flow = self.flows.get(name)
        if flow is not None and flow.items and not flow.in_heap:
            flow.in_heap = True
            start = max(self.virtual, flow.finish)
            heapq.heappush(self._heap, self._entry(start, flow))

    def remove(self, name: str, item: T) -> None:
        """Remove a waiting item."""
        self.flows[name].items.remove(item)
        self._items -= 1

    def first(self, ready: Callable[[str], bool]) -> tuple[str, T] | None:
        """Return the next flow and item without taking it.

        :param ready: flows for which it is false are set aside until ``wake``.
        """
        while self._heap:
            flow = self._heap[0][2]
            if flow.items and ready(flow.name):
                return flow.name, flow.items[0]
            self._leave_heap()
        return None

    def take(self, size: float) -> T:
        """Take the item that ``first`` returned; ``size`` is cost over weight."""
        start, _, flow = self._heap[0]
        self.virtual = max(self.virtual, start)
        flow.finish = start + size
        item = flow.items.popleft()
        self._items -= 1
        self._leave_heap()
        self.wake(flow.name)
        return item

    def forget_idle(self) -> None:
        """Drop the flows that have nothing waiting and no debt."""
        if not self._items:
            # The end of a busy period settles all debts.
            self.flows.clear()
            self._heap.clear()
            self._idle.clear()
        while self._idle and self._idle[0][0] <= self.virtual:
            flow = heapq.heappop(self._idle)[2]
            # A flow whose end is still ahead keeps its place, or it could gain by
            # letting its queue run empty.
            if not flow.items and self.flows.get(flow.name) is flow:
                if flow.finish <= self.virtual and not flow.in_heap:
                    del self.flows[flow.name]

    def _leave_heap(self) -> None:
        flow = heapq.heappop(self._heap)[2]
        flow.in_heap = False
        if not flow.items:
            heapq.heappush(self._idle, self._entry(flow.finish, flow))

    def _entry(self, at: float, flow: Flow[T]) -> tuple[float, int, Flow[T]]:
        self._count += 1
        return (at, self._count, flow)
