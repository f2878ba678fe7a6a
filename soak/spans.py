"""Times at which faults acted, by which requests are excused."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from math import inf

# Kind of the spans in which the event loop of the soak itself did not run. Its callers
# measure nothing in them, and what it stands in for does nothing.
STALL = "soak stalled"


@dataclass
class Span:
    """Time during which a fault acted, in event loop seconds.

    :param kind: kind of the fault.
    :param subject: name of the gateway, the target or the proxy; ``""`` for the store.
    """

    kind: str
    subject: str
    start: float
    end: float = inf

    def overlaps(self, start: float, end: float) -> bool:
        """Return whether the fault acted at some moment from ``start`` to ``end``."""
        return self.start <= end and start <= self.end


class SpanLog:
    """All spans of one run."""

    def __init__(self) -> None:
        self._spans: list[Span] = []

    def add(self, span: Span) -> None:
        """Record a span."""
        self._spans.append(span)

    @contextmanager
    def during(self, kind: str, subject: str = "") -> Iterator[Span]:
        """Record that a fault acts while the block runs."""
        span = Span(kind, subject, asyncio.get_running_loop().time())
        self.add(span)
        try:
            yield span
        finally:
            span.end = asyncio.get_running_loop().time()

    def mark(self, kind: str, subject: str) -> None:
        """Record a fault that acts at one moment."""
        now = asyncio.get_running_loop().time()
        self.add(Span(kind, subject, now, now))

    def find(
        self, kinds: frozenset[str], subjects: set[str], start: float, end: float
    ) -> list[Span]:
        """Return the spans of these kinds and subjects that overlap a time."""
        return [
            span
            for span in self._spans
            if span.kind in kinds
            and span.subject in subjects
            and span.overlaps(start, end)
        ]
