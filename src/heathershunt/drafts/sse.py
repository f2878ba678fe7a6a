"""Answers of drafts in the OpenAI completions format, as an event stream or as JSON."""

import asyncio
import json
from typing import Any

import msgspec

from heathershunt.drafts.draft import Draft
from heathershunt.http import (
    Response,
    ResponseStream,
    StreamResponse,
    json_response,
    problem_response,
)
from heathershunt.verdict import Refusal

MAX_BACKLOG_BYTES = 131_072
encode_text = msgspec.json.Encoder().encode
# A caller that receives nothing for several of these intervals may treat the connection
# as dead and reconnect for the rest of the answer.
KEEP_ALIVE_INTERVAL_MS = 1000
KEEP_ALIVE_COMMENT = b": keep-alive\n\n"
DONE_EVENT = b"data: [DONE]\n\n"
# Part of the last event before DONE_EVENT, and of no other: texts have escaped quotes.
FINAL_MARK = b'"finish_reason":"length"'


def stream_answer(draft: Draft, after: int) -> StreamResponse:
    """Return the event stream of ``draft`` after the event id ``after``.

    The id of an event is the position of its token; -1 streams from the first one.
    """
    headers = {
        "content-type": "text/event-stream",
        "cache-control": "no-store",
        "x-request-id": draft.request_id,
    }
    return StreamResponse(
        200,
        headers,
        lambda stream: _EventWriter(draft, stream, after + 1).run(),
        draft.confirm_delivery,
    )


def json_answer(draft: Draft) -> Response:
    """Return the answer of an ended draft, or the problem document of its refusal.

    Marks the draft as delivered.
    """
    draft.confirm_delivery()
    if draft.refusal is not None:
        return problem_response(draft.refusal)
    payload = _chunk(draft, "".join(draft.tokens), "length")
    payload["usage"] = {"completion_tokens": len(draft.tokens)}
    return json_response(200, payload, {"x-request-id": draft.request_id})


def _chunk(draft: Draft, text: str, finish_reason: str | None) -> dict[str, Any]:
    choice = {"index": 0, "text": text, "finish_reason": finish_reason}
    return {
        "id": draft.request_id,
        "object": "text_completion",
        "model": draft.request.model,
        "choices": [choice],
    }


def error_event(refusal: Refusal) -> bytes:
    """Return the event that ends the stream of a draft without a complete answer."""
    return b"event: error\ndata: " + problem_response(refusal).body + b"\n\n"


class _EventWriter:
    """Writes the events of a draft to a response stream.

    Each token is written as soon as it arrives, in the callback of the draft and thus
    without a task switch. While more than ``MAX_BACKLOG_BYTES`` are queued for the
    caller, tokens are held back.

    :param position: position of the first token to write.
    """

    def __init__(self, draft: Draft, stream: ResponseStream, position: int) -> None:
        self._draft = draft
        self._stream = stream
        self._position = position
        self._wake = asyncio.Event()
        frame = json.dumps(_chunk(draft, "\0", None), separators=(",", ":"))
        head, _, tail = frame.partition(json.dumps("\0"))
        self._head = f"\ndata: {head}".encode()
        self._tail = f"{tail}\n\n".encode()

    async def run(self) -> None:
        unsubscribe = self._draft.subscribe(self._write_tokens)
        closed = asyncio.create_task(self._stream.wait_closed())
        closed.add_done_callback(lambda _: self._wake.set())
        try:
            self._write_tokens()
            while not closed.done():
                if self._draft.ended.is_set() and self._is_caught_up():
                    self._write_end()
                    return
                await self._wait()
                await self._stream.drain()
                self._write_tokens()
        finally:
            unsubscribe()
            closed.cancel()

    async def _wait(self) -> None:
        """Wait for the draft's end, a closed connection or a full backlog.

        The wait ends after ``KEEP_ALIVE_INTERVAL_MS``, with a keep-alive comment if no
        token was written meanwhile.
        """
        written = self._position
        try:
            async with asyncio.timeout(KEEP_ALIVE_INTERVAL_MS / 1000):
                await self._wake.wait()
        except TimeoutError:
            if self._position == written:
                self._stream.write(KEEP_ALIVE_COMMENT)
        self._wake.clear()

    def _is_caught_up(self) -> bool:
        return self._position >= len(self._draft.tokens)

    def _write_tokens(self) -> None:
        draft = self._draft
        if draft.ended.is_set():
            self._wake.set()
        unsent = draft.tokens[self._position :]
        if not unsent:
            return
        if self._stream.backlog() > MAX_BACKLOG_BYTES:
            self._wake.set()
            return
        head, tail = self._head, self._tail
        events = [
            b"id: %d%b%b%b" % (position, head, encode_text(text), tail)
            for position, text in enumerate(unsent, self._position)
        ]
        self._position += len(unsent)
        try:
            self._stream.write(events[0] if len(events) == 1 else b"".join(events))
        except ConnectionError:
            self._wake.set()

    def _write_end(self) -> None:
        if self._draft.refusal is not None:
            self._stream.write(error_event(self._draft.refusal))
            return
        final = json.dumps(_chunk(self._draft, "", "length"), separators=(",", ":"))
        event = f"id: {self._position}\ndata: {final}\n\n".encode()
        self._stream.write(event + DONE_EVENT)
