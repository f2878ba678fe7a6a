import asyncio

from heathershunt.clock import Millis
from heathershunt.drafts import sse
from heathershunt.drafts.draft import Draft, DraftRequest
from heathershunt.verdict import not_run

REQUEST = DraftRequest("parish", "m", "v1", "", 12, "prompt", 3, 0, 1, Millis(0))


class RecordingStream:
    """Response stream that records what is written."""

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


def start_stream(draft, after=-1):
    recording = RecordingStream()
    response = sse.stream_answer(draft, after)
    return recording, asyncio.create_task(response.run(recording))


async def test_idle_stream_gets_keep_alive_comments(monkeypatch):
    """A caller must be able to tell a slow answer from a dead connection."""
    monkeypatch.setattr(sse, "KEEP_ALIVE_INTERVAL_MS", 5)
    draft = Draft("vm1.1.1", REQUEST, Millis(0))
    recording, task = start_stream(draft)
    while sse.KEEP_ALIVE_COMMENT not in recording.data:
        await asyncio.sleep(0.005)
    task.cancel()


async def test_resumed_stream_sends_each_later_event_once():
    """A resumed stream must neither lose nor repeat a token after the last event id."""
    draft = Draft("vm1.1.1", REQUEST, Millis(0))
    for position, text in enumerate(("a", "b", "c")):
        draft.accept(position, text, position == 2)
    recording, task = start_stream(draft, after=0)
    await task
    events = [event for event in recording.data.split(b"\n\n") if event]
    assert [event.split(b"\n")[0] for event in events] == [
        b"id: 1",
        b"id: 2",
        b"id: 3",
        b"data: [DONE]",
    ]


async def test_refused_draft_never_looks_complete():
    """``[DONE]`` marks a complete answer and must not follow an error event."""
    draft = Draft("vm1.1.1", REQUEST, Millis(0))
    draft.accept(0, "a", False)
    recording, task = start_stream(draft)
    draft.refuse(not_run(503, "No runners", "none"))
    await task
    assert b"event: error" in recording.data
    assert b"[DONE]" not in recording.data


async def test_token_out_of_order_is_rejected():
    """Late output of an old epoch can repeat or skip positions."""
    draft = Draft("vm1.1.1", REQUEST, Millis(0))
    assert draft.accept(0, "a", False)
    assert not draft.accept(0, "a", False)
    assert not draft.accept(2, "c", False)
    assert draft.tokens == ["a"]
