"""Callers of every habit: kept, pipelined, half-closed, slow and idle connections."""

import asyncio
import itertools
import random

from soak.channels import Channel, Exchange
from soak.configurations import GUEST_KEY, HOST, LONG_IDLE_MS, SMALL_BODY_BYTES
from soak.plain_targets import FORMS
from soak.site import SoakSite

CALLERS = 14
PATHS = ("drafts", "drafts", "letters", "letters", "orders", "status")
EXTRA_PATHS = ("/extra/x", "/moved-status/x", "/moved-drafts/x", "/unknown/x")
MIN_EVENTS, MAX_EVENTS = 10, 150
DEADLINES_MS = (2500, 4000, 6000)
GUEST_SHARE = 0.15
LARGE_BODY_BYTES = 200_000
MAX_SLOW_PIECE_SECONDS = 0.25
# Fraction of the idle limit after which an idle connection is used again.
IDLE_FRACTION = 0.8
MAX_REUSES = 12


class MixedCallers:
    """Callers that send requests in every way until ``is_stopping`` is set.

    :ivar exchanges: all requests that were begun.
    :ivar channels: all connections that were opened.
    """

    def __init__(self, site: SoakSite, rng: random.Random) -> None:
        self._site = site
        self._rng = rng
        self._ids = itertools.count()
        self.exchanges: list[Exchange] = []
        self.channels: list[Channel] = []
        self.is_stopping = False

    async def run(self) -> None:
        """Send requests from ``CALLERS`` concurrent callers."""
        await asyncio.gather(*(self._one_caller() for _ in range(CALLERS)))
        for channel in self.channels:
            channel.close()

    async def _one_caller(self) -> None:
        habits = (
            self._call_once,
            self._keep,
            self._keep,
            self._pipeline,
            self._pipeline,
            self._write_slowly,
            self._half_close,
            self._leave,
            self._idle,
            self._idle,
        )
        while not self.is_stopping:
            name = self._rng.choice(list(self._site.gateways))
            channel = Channel(name, HOST)
            if await channel.open(self._site.gateways[name].ports["front"]):
                self.channels.append(channel)
                await self._rng.choice(habits)(channel)
                channel.close()
            await asyncio.sleep(self._rng.uniform(0.0, 0.1))

    def _create(self, is_large: bool = False) -> Exchange:
        rng = self._rng
        kind = rng.choice(PATHS)
        path = f"/{kind}/x"
        if kind in ("orders", "status"):
            path = f"/{kind}/{rng.choice(FORMS)}"
        if rng.random() < 0.08:
            path = rng.choice(EXTRA_PATHS)
        method = "GET" if path.startswith("/status") and not is_large else "POST"
        size = 0 if method == "GET" else rng.choice((10, 2000, SMALL_BODY_BYTES + 1))
        if is_large:
            size = LARGE_BODY_BYTES
        key = GUEST_KEY
        if rng.random() > GUEST_SHARE:
            key = rng.choice(self._site.keys)
        exchange = Exchange(
            f"m{next(self._ids)}",
            path,
            key,
            method,
            rng.randbytes(size),
            rng.choice(DEADLINES_MS),
            rng.randint(MIN_EVENTS, MAX_EVENTS),
            is_chunked=method == "POST" and rng.random() < 0.3,
        )
        self.exchanges.append(exchange)
        return exchange

    async def _send(self, channel: Channel, **options) -> None:
        exchange = self._create()
        await channel.wait(exchange, await channel.begin(exchange, **options))

    async def _call_once(self, channel: Channel) -> None:
        await self._send(channel)

    async def _keep(self, channel: Channel) -> None:
        """Use a connection until the gateway closes it."""
        for _ in range(MAX_REUSES):
            if not channel.is_open or self.is_stopping:
                return
            await self._send(channel)
            await asyncio.sleep(self._rng.choice((0.0, 0.002, 0.05, 0.3)))

    async def _pipeline(self, channel: Channel) -> None:
        """Send several requests at once, the last one at times a little later."""
        begun = []
        for _ in range(self._rng.randint(2, 4)):
            exchange = self._create()
            begun.append((exchange, await channel.begin(exchange)))
            await asyncio.sleep(self._rng.choice((0.0, 0.0, 0.02)))
        for exchange, ended in begun:
            await channel.wait(exchange, ended)

    async def _write_slowly(self, channel: Channel) -> None:
        """Send long bodies in pieces, so that changes come in the middle."""
        while channel.is_open and not self.is_stopping:
            exchange = self._create(is_large=self._rng.random() < 0.5)
            pieces = self._rng.randint(2, 6)
            pause = self._rng.uniform(0.01, MAX_SLOW_PIECE_SECONDS)
            await channel.wait(exchange, await channel.begin(exchange, pieces, pause))
            if self._rng.random() < 0.4:
                return

    async def _half_close(self, channel: Channel) -> None:
        exchange = self._create()
        ended = await channel.begin(exchange)
        await asyncio.sleep(self._rng.choice((0.0, 0.05)))
        channel.half_close()
        await channel.wait(exchange, ended)

    async def _leave(self, channel: Channel) -> None:
        exchange = self._create()
        ended = await channel.begin(exchange)
        await asyncio.sleep(self._rng.uniform(0.0, 0.3))
        if not ended.is_set():
            channel.abandon()

    async def _idle(self, channel: Channel) -> None:
        """Use a connection again shortly before, at and after its idle limit."""
        for _ in range(MAX_REUSES):
            if not channel.is_open or self.is_stopping:
                return
            await self._send(channel)
            limits = self._site.settings.limits
            limit_ms = limits.get("idle_timeout_ms", LONG_IDLE_MS)
            if limit_ms == LONG_IDLE_MS:
                limit_ms = 1000
            fraction = self._rng.choice((IDLE_FRACTION, IDLE_FRACTION, 0.98, 1.0))
            await asyncio.sleep(limit_ms / 1000 * fraction)
