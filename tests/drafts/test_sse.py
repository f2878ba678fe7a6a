import asyncio

from heathershunt.clock import Millis
from heathershunt.drafts import sse
from heathershunt.drafts.draft import Draft, DraftRequest
from heathershunt.verdict import not_run

REQUEST = DraftRequest("parish", "m", "v1", "", 12, "prompt", 3, 0, 1, Millis(0))


class Sink:
    """Response stream that keeps what is written."""

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


def stream(draft, after=-1):
    sink = Sink()
    response = sse.stream_answer(draft, after)
    return sink, asyncio.create_task(response.run(sink))


async def test_quiet_stream_is_kept_alive(monkeypatch):
    """A caller must be able to tell a slow answer from a silent connection."""
    monkeypatch.setattr(sse, "KEEP_ALIVE_INTERVAL_MS", 5)
    draft = Draft("vm1.1.1", REQUEST, Millis(0))
    sink, task = stream(draft)
    while sse.KEEP_ALIVE_COMMENT not in sink.data:
        await asyncio.sleep(0.005)
    task.cancel()


async def test_events_after_the_last_id_are_repeated_once():
    """A resumed stream must neither lose nor repeat a token."""
    draft = Draft("vm1.1.1", REQUEST, Millis(0))
    for position, text in enumerate(("a", "b", "c")):
        draft.accept(position, text, position == 2)
    sink, task = stream(draft, after=0)
    await task
    events = [event for event in sink.data.split(b"\n\n") if event]
    assert [event.split(b"\n")[0] for event in events] == [
        b"id: 1",
        b"id: 2",
        b"id: 3",
        b"data: [DONE]",
    ]


async def test_refused_draft_never_looks_whole():
    """The end of the stream is explicit; a problem must not be followed by it."""
    draft = Draft("vm1.1.1", REQUEST, Millis(0))
    draft.accept(0, "a", False)
    sink, task = stream(draft)
    draft.refuse(not_run(503, "No runners", "none"))
    await task
    assert b"event: error" in sink.data
    assert b"[DONE]" not in sink.data


async def test_token_out_of_order_is_not_accepted():
    """Late output of an old epoch repeats positions or skips some."""
    draft = Draft("vm1.1.1", REQUEST, Millis(0))
    assert draft.accept(0, "a", False)
    assert not draft.accept(0, "a", False)
    assert not draft.accept(2, "c", False)
    assert draft.tokens == ["a"]
