"""How soon VMs tell each other what is new, and how often at most."""

import asyncio

import msgspec
import pytest

from heathershunt.gateway.news import (
    ROUND_PERIOD_MS,
    ROUNDS_PER_PERIOD,
    NewsExchange,
)
from heathershunt.http import Address, HttpClient, HttpServer, Response, correlated

PATH = "/news/"


class Source:
    """What a VM knows: a number."""

    def __init__(self):
        self.known = 0
        self.on_news = lambda: None

    def digest(self):
        return self.known

    def merge(self, digest):
        self.known = max(self.known, digest)

    def learn(self):
        self.known += 1
        self.on_news()


@pytest.fixture
async def peer():
    """Return the numbers that another VM has been told, and its address."""
    told = []

    async def handle(request):
        told.append(msgspec.msgpack.decode(request.body))
        return Response(200, {}, msgspec.msgpack.encode(told[-1]))

    server = HttpServer(correlated(handle))
    await server.start("127.0.0.1", 0)
    yield told, Address("127.0.0.1", server.port)
    await server.close()


@pytest.fixture
async def source(peer):
    """Return a source whose news the peer is told."""
    source, http = Source(), HttpClient()
    exchange = NewsExchange(http, PATH, source, int, lambda: [[peer[1]]])
    task = asyncio.create_task(exchange.run())
    yield source
    task.cancel()
    http.close()


# Guards against VMs that learn of a second crash, which blocks a request, only after
# the pause that follows the news of the first one.
async def test_second_news_is_told_at_once(peer, source):
    told, _ = peer
    for number in (1, 2):
        source.learn()
        await asyncio.sleep(ROUND_PERIOD_MS / 5 / 1000)
        assert told[-1:] == [number]


# Guards against messages that grow with the number of crashes.
async def test_rounds_are_bounded_and_the_last_news_is_told(peer, source):
    told, _ = peer
    seconds = 1.0
    for _ in range(100):
        source.learn()
        await asyncio.sleep(seconds / 100)
    await asyncio.sleep(2 * ROUND_PERIOD_MS / 1000)
    assert told[-1] == 100
    periods = seconds * 1000 / ROUND_PERIOD_MS + 2
    assert len(told) <= ROUNDS_PER_PERIOD * periods
