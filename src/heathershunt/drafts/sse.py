"""Answers of drafts in the OpenAI completions format, streamed or whole."""

import asyncio
import json
from typing import Any

import msgspec

from heathershunt.drafts.journal import Draft
from heathershunt.http import (
    Response,
    ResponseStream,
    StreamResponse,
    json_response,
    problem_response,
)
from heathershunt.verdict import Refusal

PAUSE_BACKLOG_BYTES = 131_072
encode_text = msgspec.json.Encoder().encode
# A caller that gets no byte for several times as long may take the connection as
# silent and come back for the rest.
KEEP_ALIVE_MS = 1000
KEEP_ALIVE_COMMENT = b": keep-alive\n\n"
DONE_EVENT = b"data: [DONE]\n\n"


def stream_answer(draft: Draft, after: int) -> StreamResponse:
    """Stream the events of ``draft`` after the event id ``after``."""
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


def whole_answer(draft: Draft) -> Response:
    """Return the answer of an ended draft, or the problem that ended it."""
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


def _problem(refusal: Refusal) -> bytes:
    return b"event: error\ndata: " + problem_response(refusal).body + b"\n\n"


class _EventWriter:
    """Writes each token as soon as it is there, unless the caller is slow.

    Tokens are written by the callback of the draft, without a task switch.
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
        unsubscribe = self._draft.subscribe(self._push)
        closed = asyncio.create_task(self._stream.wait_closed())
        closed.add_done_callback(lambda _: self._wake.set())
        try:
            self._push()
            while not closed.done():
                if self._draft.ended.is_set() and self._is_level():
                    self._finish()
                    return
                await self._wait()
                await self._stream.drain()
                self._push()
        finally:
            unsubscribe()
            closed.cancel()

    async def _wait(self) -> None:
        """Wait until there is something to do; keep a quiet connection alive."""
        written = self._position
        try:
            async with asyncio.timeout(KEEP_ALIVE_MS / 1000):
                await self._wake.wait()
        except TimeoutError:
            if self._position == written:
                self._stream.write(KEEP_ALIVE_COMMENT)
        self._wake.clear()

    def _is_level(self) -> bool:
        return self._position >= len(self._draft.tokens)

    def _push(self) -> None:
        draft = self._draft
        if draft.ended.is_set():
            self._wake.set()
        missing = draft.tokens[self._position :]
        if not missing:
            return
        if self._stream.backlog() > PAUSE_BACKLOG_BYTES:
            self._wake.set()
            return
        head, tail = self._head, self._tail
        events = [
            b"id: %d%b%b%b" % (position, head, encode_text(text), tail)
            for position, text in enumerate(missing, self._position)
        ]
        self._position += len(missing)
        try:
            self._stream.write(events[0] if len(events) == 1 else b"".join(events))
        except ConnectionError:
            self._wake.set()

    def _finish(self) -> None:
        if self._draft.refusal is not None:
            self._stream.write(_problem(self._draft.refusal))
            return
        final = json.dumps(_chunk(self._draft, "", "length"), separators=(",", ":"))
        event = f"id: {self._position}\ndata: {final}\n\n".encode()
        self._stream.write(event + DONE_EVENT)
