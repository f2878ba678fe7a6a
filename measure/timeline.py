"""Cost of recording a timeline event as a tuple, compared with an ``Event`` object.

Run with ``python -m measure.timeline``. It prints the median and range of nanoseconds
per event over all rounds, and the bytes per event kept.
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
# Capacity of a timeline by default.
KEPT_EVENTS = 20_000


def _record_tuples() -> object:
    line = Timeline(HybridClock(SystemClock()), "vm1", 1)
    for number in range(EVENTS):
        line.record(EventKind.RETRY, "vm1.1.1", runner="m-s0-r0", attempt=number)
    return line


def _record_events() -> object:
    clock = HybridClock(SystemClock())
    entries: deque[Event] = deque(maxlen=KEPT_EVENTS)
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


def _measure_query() -> None:
    """Print how long a query of the default size blocks the event loop."""
    line = _record_tuples()
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
    """Print the costs of queries and of each way to record events."""
    _measure_query()
    for name, work in (
        ("tuples, events made on reading", _record_tuples),
        ("events made on recording", _record_events),
        ("clock tick alone", _ticks),
    ):
        times = []
        for _ in range(ROUNDS):
            start = time.perf_counter_ns()
            work()
            times.append((time.perf_counter_ns() - start) / EVENTS)
        tracemalloc.start()
        result = work()
        size = tracemalloc.get_traced_memory()[0] / KEPT_EVENTS
        tracemalloc.stop()
        del result
        print(
            f"{name}: {statistics.median(times):.0f} ns per event "
            f"({min(times):.0f} to {max(times):.0f}), {size:.0f} bytes kept per event"
        )


if __name__ == "__main__":
    main()
