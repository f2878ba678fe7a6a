"""Cost of an event of the timeline, against storing built events.

Run with ``python -m measure.timeline``. It prints nanoseconds per event (the median
and the range of the rounds) and bytes per event kept.
"""

import asyncio
import hashlib
import statistics
import time
import tracemalloc
from collections import deque

from heathershunt.clock import SystemClock
from heathershunt.http import Request
from heathershunt.operators import OperatorAccess, OperatorHooks, OperatorRoutes
from heathershunt.timeline import Event, EventKind, HybridClock, Timeline

EVENTS = 100_000
ROUNDS = 7
KEPT = 20_000


def _tuples() -> object:
    line = Timeline(HybridClock(SystemClock()), "vm1", 1)
    for number in range(EVENTS):
        line.record(EventKind.RETRY, "vm1.1.1", runner="m-s0-r0", attempt=number)
    return line


def _events() -> object:
    clock = HybridClock(SystemClock())
    entries: deque[Event] = deque(maxlen=KEPT)
    for number in range(EVENTS):
        fields = {"runner": "m-s0-r0", "attempt": number}
        entries.append(
            Event(clock.tick(), "vm1", 1, EventKind.RETRY, "vm1.1.1", fields)
        )
    return entries


def _ticks() -> object:
    clock = HybridClock(SystemClock())
    for _ in range(EVENTS):
        clock.tick()
    return clock


def _read() -> None:
    """Print how long a query of the default size holds the event loop."""
    line = _tuples()
    routes = OperatorRoutes(
        OperatorAccess([hashlib.sha256(b"key").hexdigest()]),
        OperatorHooks(dict, line, *(4 * [lambda: None])),
    )
    headers = {"authorization": "Bearer key"}
    for query in ({}, {"request": "unknown"}):
        request = Request("GET", "/v1/operator/timeline", query, headers, b"")
        times = []
        for _ in range(ROUNDS):
            start = time.perf_counter_ns()
            response = asyncio.run(routes.handle(request))
            times.append((time.perf_counter_ns() - start) / 1e6)
        print(
            f"query {query}: {statistics.median(times):.1f} ms "
            f"({min(times):.1f} to {max(times):.1f}), {len(response.body)} bytes"
        )


def main() -> None:
    """Print the costs."""
    _read()
    for name, work in (
        ("tuples, events made on reading", _tuples),
        ("events made on recording", _events),
        ("clock tick alone", _ticks),
    ):
        times = []
        for _ in range(ROUNDS):
            start = time.perf_counter_ns()
            work()
            times.append((time.perf_counter_ns() - start) / EVENTS)
        tracemalloc.start()
        kept = work()
        size = tracemalloc.get_traced_memory()[0] / KEPT
        tracemalloc.stop()
        del kept
        print(
            f"{name}: {statistics.median(times):.0f} ns per event "
            f"({min(times):.0f} to {max(times):.0f}), {size:.0f} bytes kept per event"
        )


if __name__ == "__main__":
    main()
