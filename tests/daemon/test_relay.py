"""Drafts that another VM relays, while links to the VM that runs them break."""

import asyncio
import json

import pytest

from heathershunt.clock import Millis, SystemClock
from heathershunt.daemon.relay import RESUME_KIND, DraftRelay
from heathershunt.drafts.draft import Draft, DraftRequest
from heathershunt.drafts.sse import DONE_EVENT, stream_answer
from heathershunt.http import StreamResponse
from tests.nodes import until

COUNT = 12
REQUEST = DraftRequest("parish", "m", "v1", "", 12, "p", COUNT, 0, 1, Millis(0))


class RecordingStream:
    """Stream of a caller that stays connected."""

    def __init__(self):
        self.data = b""

    def write(self, data):
        self.data += data

    def backlog(self):
        return 0

    async def drain(self):
        pass

    async def wait_closed(self):
        await asyncio.Event().wait()

    @property
    def ids(self):
        lines = self.data.decode().split("\n")
        return [int(line[4:]) for line in lines if line.startswith("id: ")]


class Owner:
    """The VM that runs a draft, and cuts the link once it has sent some bytes.

    :param cuts: bytes of the answer that are sent before each of the cuts.
    """

    def __init__(self, node, cuts):
        self.node = node
        self.cuts = list(cuts)
        self.draft = Draft("a.1.1", REQUEST, Millis(0))
        for position in range(COUNT):
            self.draft.accept(position, f"t{position}", position == COUNT - 1)
        node.forwarder.add_handler(RESUME_KIND, self.answer)

    async def answer(self, request, reply):
        recorded = RecordingStream()
        await stream_answer(self.draft, int(request.headers["after"])).run(recorded)
        await reply.start(200, {})
        if not self.cuts:
            await reply.write(recorded.data)
            return
        await reply.write(recorded.data[: self.cuts.pop(0)])
        link = self.node.mesh.links_by_vm["b"]
        await until(lambda: not link.queued_bytes)
        await asyncio.sleep(0.05)
        link.abort()


@pytest.fixture
async def pair(start_node):
    first = await start_node("a")
    second = await start_node("b", first.address)
    await until(lambda: "a" in second.mesh.links_by_vm and second.state_of("a"))
    return first, second


async def relay(node):
    answer = await DraftRelay(
        node.forwarder, SystemClock(), "a.1.1", -1, "parish"
    ).answer()
    assert isinstance(answer, StreamResponse)
    stream = RecordingStream()
    async with asyncio.timeout(10):
        await answer.run(stream)
    return stream


# Guards against relayed answers that end with the link between two VMs, while the draft
# goes on: the caller had neither the end of its answer nor a refusal.
@pytest.mark.parametrize("cuts", [[1], [150, 200], [10**6], [-len(DONE_EVENT)]])
async def test_relayed_answer_goes_on_after_its_link_broke(pair, cuts):
    Owner(pair[0], cuts)
    stream = await relay(pair[1])
    assert stream.ids == list(range(COUNT + 1))
    assert stream.data.endswith(DONE_EVENT)
    assert stream.data.count(DONE_EVENT) == 1


# Guards against relayed answers that break off without a word when the VM that runs the
# draft has ended.
async def test_relayed_answer_ends_with_a_refusal_if_its_vm_is_gone(pair):
    owner, node = pair
    draft_vm = Owner(owner, [300, 300])
    relaying = asyncio.create_task(relay(node))
    await until(lambda: len(draft_vm.cuts) < 2)
    await owner.stop()
    stream = await relaying
    event = stream.data.split(b"\n\n")[-2]
    assert event.startswith(b"event: error\ndata: ")
    problem = json.loads(event.partition(b"data: ")[2])
    assert (problem["status"], problem["verdict"]) == (410, "may_have_run")
    assert stream.ids == list(range(len(stream.ids)))
