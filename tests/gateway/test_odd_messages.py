"""Odd messages between VMs: they cost a log line, no more."""

import math

import logbook
import msgspec
import pytest

from heathershunt.clock import ManualClock
from heathershunt.coordination import MirroredStore
from heathershunt.crashes import CrashDigest, PartGuard
from heathershunt.gateway.configurations import (
    ConfigurationInquiry,
    KnownVersions,
)
from heathershunt.gateway.news import NewsExchange
from heathershunt.http import Address, HttpClient, HttpServer, Response, correlated
from heathershunt.pipelines import (
    LoadAggregator,
    LoadExchange,
    LoadLedger,
    PeerNotes,
)
from heathershunt.ratelimits import LimitDigest, LimitGuard

NESTED = b"\x91" * 60_000
BIG = 2**64 - 1
# A deeply nested value in place of a field that a later version may add.
NESTED_FIELD = b"\x90" * 4 + NESTED


def load(rows=(), notes=(), crashes=((), ()), limits=((), ())):
    return msgspec.msgpack.encode([rows, notes, crashes, limits])


def evidence(**changes):
    row = {"account": "", "part": "p", "runner": "r", "born": 1, "sent": 1, "end": 1}
    return [*(row | changes).values(), True]


ODD_LOADS = [
    b"",
    NESTED,
    b"\x95" + NESTED_FIELD,
    b"\xc1",
    load(rows=[["r", BIG, 0, 0.0]]),
    load(rows=[["r", -1, 0, 0.0]]),
    load(rows=[["r", 1, 1, math.nan]]),
    load(rows=[["r", 1, 1, math.inf]]),
    load(rows=[["r" * 5000, 1, 1, 1.0]]),
    load(notes=[["r", BIG, 1.0, False]]),
    load(notes=[["r", 1, math.nan, False]]),
    load(notes=[["r", 1, 1e300, False]]),
    load(crashes=[[evidence(born=BIG)], []]),
    load(crashes=[[evidence(sent=BIG)], []]),
    load(crashes=[[], [["p", BIG]]]),
    load(limits=[[["t", 1, math.nan, 0]], []]),
    load(limits=[[["t", BIG, 1.0, 0]], []]),
    load(limits=[[], [["vm", math.inf, 0]]]),
]
ODD_NEWS = [
    b"",
    b"\x93\x90\x90" + NESTED,
    b"\xc1",
    msgspec.msgpack.encode([[evidence(born=BIG)], []]),
]
ODD_VIEWS = [
    b"",
    NESTED,
    b"\x95\x05\x00\x00\x90" + NESTED,
    msgspec.msgpack.encode([BIG, 0, 0, []]),
    msgspec.msgpack.encode([5, -(2**60), 0, []]),
    msgspec.msgpack.encode([5, 0, 0, [["k", BIG, b"v"]]]),
    msgspec.msgpack.encode([5, 0, 0, [["k" * 5000, 1, b"v"]]]),
]


class Vm:
    """A VM with what it exchanges, and another one that answers with odd bytes."""

    def __init__(self):
        self.clock = ManualClock()
        self.client = HttpClient()
        self.ledger = LoadLedger(self.clock)
        self.notes = PeerNotes(self.clock, list, print)
        self.guard = PartGuard(self.clock, print, lambda: 2)
        self.limits = LimitGuard(self.clock, "vm-1", lambda: ["vm-1"], {}.get, print)
        self.aggregator = LoadAggregator(
            self.clock, lambda: 1.0, self.guard, self.limits
        )
        self.body = b""
        self._server = HttpServer(correlated(self._answer))

    async def start(self):
        await self._server.start("127.0.0.1", 0)
        self.other = Address("127.0.0.1", self._server.port)
        self.exchange = LoadExchange(
            self.client,
            self.ledger,
            self.aggregator,
            "vm-1",
            lambda: [self.other],
            lambda: 1.0,
            self.notes,
            self.guard,
            self.limits,
        )

    async def _answer(self, request):
        return Response(200, {}, self.body)

    async def post(self, handler, path, body):
        """Send a message to a handler of this VM and return the status."""
        server = HttpServer(correlated(handler))
        await server.start("127.0.0.1", 0)
        address = Address("127.0.0.1", server.port)
        outcome = await self.client.exchange(
            address, "POST", path, body=body, correlated=True
        )
        await server.close()
        return outcome.unwrap()[0]

    async def stop(self):
        self.client.close()
        await self._server.close()


@pytest.fixture
async def vm():
    vm = Vm()
    await vm.start()
    yield vm
    await vm.stop()


@pytest.mark.parametrize("body", ODD_LOADS)
async def test_odd_message_of_a_load_is_refused(vm, body):
    # Guards against numbers that break sums and comparisons on all VMs of a group.
    assert await vm.post(vm.aggregator.handle, "/load/vm-2", body) == 400
    assert vm.aggregator.others("vm-1").rows == []


async def test_odd_replies_do_not_end_the_exchange_of_loads(vm):
    # Guards against a VM that sends and learns no loads any longer: the error of the
    # decoder ended the task.
    with logbook.TestHandler() as lines:
        for vm.body in ODD_LOADS * 5:
            assert not await vm.exchange.run_once()
    assert not vm.ledger.is_fresh
    assert len(lines.records) == 1
    vm.body = load(rows=[["r", 1, 1, 5.0]], notes=[["r", 0, 2.0, False]])
    assert await vm.exchange.run_once()
    assert vm.ledger.total("r", 2).kv == 5.0


async def test_odd_news_do_not_end_the_exchange_of_news(vm):
    # Guards against crash evidence that no VM learns any longer.
    for path, source, kind in (
        ("/crashes/", vm.guard, CrashDigest),
        ("/limits/", vm.limits, LimitDigest),
    ):
        news = NewsExchange(vm.client, path, source, kind, lambda: [[vm.other]])
        with logbook.TestHandler() as lines:
            for body in ODD_NEWS * 5:
                vm.body = body
                await news._send_to_first([vm.other])
                status = await vm.post(news.handle, path, body)
                assert status == 400 or body not in ODD_NEWS[:3]
        assert len(lines.records) <= 2, [r.message for r in lines.records]


@pytest.mark.parametrize("body", ODD_VIEWS)
async def test_odd_reply_of_a_mirror_is_a_failed_read(vm, body):
    # Guards against a follower that ends, or takes an old view for a current one.
    mirrored = MirroredStore(
        None, vm.client, vm.clock.now, lambda: [vm.other], lambda: 1000
    )
    vm.body = body
    assert (await mirrored.read_all("")).is_err()
    vm.clock.advance(5000)
    assert (await mirrored.watch("", 1, 0)).is_err()


class _Source:
    raw_configuration = b""

    def __init__(self):
        self.offered = []

    def versions(self):
        return KnownVersions(in_force=1)

    def offer_configuration(self, raw):
        self.offered.append(raw)


async def test_odd_configuration_of_another_vm_does_not_end_the_inquiry(vm):
    # Guards against a VM that never becomes ready.
    source = _Source()
    vm.body = NESTED
    inquiry = ConfigurationInquiry(vm.client, source, lambda: [vm.other], lambda: 1)
    await inquiry.run()
    assert inquiry.is_done
    assert source.offered == [NESTED]
