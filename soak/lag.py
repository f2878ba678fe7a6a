"""Measures how late the event loop of the soak itself runs."""

import asyncio

from soak.processor import SAMPLE_SECONDS
from soak.site import SoakSite
from soak.spans import STALL, Span

PERIOD_SECONDS = 0.02
# Lag from which on a time counts as one in which the soak did not run.
STALL_SECONDS = 0.03


class LagMeter:
    """Measures the lag of the event loop, and the waits of all processes.

    :ivar largest_ms: largest lag in milliseconds.
    :ivar log: the stalls with their loop time.
    """

    def __init__(self, site: SoakSite) -> None:
        self._site = site
        self.largest_ms = 0.0
        self.log: list[str] = []
        self._sampled_at = 0.0

    async def run(self) -> None:
        """Measure until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + PERIOD_SECONDS
            await asyncio.sleep(PERIOD_SECONDS)
            lag = loop.time() - due
            self._sample(loop.time())
            self.largest_ms = max(self.largest_ms, lag * 1000)
            if lag > STALL_SECONDS:
                self._site.spans.add(Span(STALL, "", due, due + lag))
                self.log.append(f"{due:.3f} the soak stalled for {lag:.3f} s")

    def _sample(self, now: float) -> None:
        if now < self._sampled_at + SAMPLE_SECONDS:
            return
        self._sampled_at = now
        self._site.waits.sample_self(now)
        for name, gateway in self._site.gateways.items():
            self._site.waits.sample(name, gateway.pid, now)
