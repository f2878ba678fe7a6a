"""Measures how late the event loop of the soak itself runs."""

import asyncio

from soak.spans import STALL, Span, SpanLog

PERIOD_SECONDS = 0.02
# Lag from which on a time counts as one in which the soak did not run.
STALL_SECONDS = 0.03


class LagMeter:
    """Measures the lag of the event loop, and records its stalls.

    :ivar largest_ms: largest lag in milliseconds.
    :ivar log: the stalls with their loop time.
    """

    def __init__(self, spans: SpanLog) -> None:
        self._spans = spans
        self.largest_ms = 0.0
        self.log: list[str] = []

    async def run(self) -> None:
        """Measure until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + PERIOD_SECONDS
            await asyncio.sleep(PERIOD_SECONDS)
            lag = loop.time() - due
            self.largest_ms = max(self.largest_ms, lag * 1000)
            if lag > STALL_SECONDS:
                self._spans.add(Span(STALL, "", due, due + lag))
                self.log.append(f"{due:.3f} the soak stalled for {lag:.3f} s")
