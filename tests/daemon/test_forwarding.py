"""Keyed calls that are forwarded to another VM while the link to it breaks."""

import asyncio
from types import SimpleNamespace

import cbor2
import pytest

from heathershunt.clock import SystemClock
from heathershunt.daemon.forwarding import CALL_KIND, PeerRequests
from heathershunt.http import Response
from heathershunt.verdict import Progress
from tests.nodes import until
from tests.services.doubles import service_call


class Owner:
    """The VM of a key: it runs a call once, and cuts the link under some requests.

    :param cuts: requests under which the link is cut before their answer.
    """

    def __init__(self, node, cuts):
        self.node = node
        self.cuts = cuts
        self.requests = []
        node.forwarder.add_handler(CALL_KIND, self.answer)

    async def answer(self, request, reply):
        self.requests.append(cbor2.loads(request.body)["key"])
        await asyncio.sleep(0.05)
        if len(self.requests) <= self.cuts:
            self.node.mesh.links_by_vm["b"].abort()
            await asyncio.Event().wait()
        await reply.start(200, {})
        await reply.write(b"order 1")


@pytest.fixture
async def pair(start_node):
    first = await start_node("a")
    second = await start_node("b", first.address)
    await until(lambda: "a" in second.mesh.links_by_vm and second.state_of("a"))
    return first, second


def forward(node, incarnation=1, timeout_ms=5000):
    fleet = SimpleNamespace(forwarder=node.forwarder)
    daemon = SimpleNamespace(fleet=fleet, clock=SystemClock())
    requests = PeerRequests(daemon)
    return requests.call("a", incarnation, service_call(), "key-1", timeout_ms)


# Guards against callers that are told that the VM of their key is gone, because the
# link to it broke once, while their call goes on there.
@pytest.mark.parametrize("cuts", [0, 1, 2])
async def test_forwarded_call_is_answered_after_its_link_broke(pair, cuts):
    owner = Owner(pair[0], cuts)
    outcome = await forward(pair[1])
    assert outcome.ok_value == Response(200, {}, b"order 1")
    assert owner.requests == ["key-1"] * (cuts + 1)


async def test_call_whose_vm_is_gone_may_have_run(pair):
    """The first request was sent, so later ones that are not change nothing."""
    owner = Owner(pair[0], 100)
    calling = asyncio.create_task(forward(pair[1]))
    await until(lambda: owner.requests)
    await pair[0].stop()
    async with asyncio.timeout(3):
        assert (await calling).err_value is Progress.SENT


async def test_call_of_another_incarnation_is_not_sent(pair):
    Owner(pair[0], 0)
    assert (await forward(pair[1], incarnation=2)).err_value is Progress.NOT_SENT
