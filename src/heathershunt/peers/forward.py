"""Requests that one VM forwards to another over their peer link."""

import asyncio
import itertools
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from functools import partial

import logbook
from result import Err, Ok, Result

from heathershunt.clock import Millis
from heathershunt.peers.link import LinkClosedError, PeerLink
from heathershunt.peers.mesh import PeerMesh
from heathershunt.peers.messages import (
    CHUNK_BYTES,
    Forward,
    ForwardChunk,
    ForwardEnd,
)
from heathershunt.verdict import Progress, Refusal, Verdict, not_run, verdict_for

log = logbook.Logger("heathershunt.peers")

MAX_BODY_BYTES = 1_048_576
# A reply with more unread bytes than this is cancelled: pausing reads of the link
# would delay heartbeats and every other reply on it.
MAX_UNREAD_BYTES = 1_048_576
MAX_CALLS_PER_LINK = 4096
CALL_TIMEOUT_MS = 10_000


@dataclass(eq=False)
class ForwardError(Exception):
    """A forwarded request without a complete reply.

    :param progress: ``NOT_SENT`` only if no part of the request was passed to a socket.
    :param detail: what failed.
    :param refusal: the refusal or the failure that the other VM reported.

    .. versionadded:: 0.1
    """

    progress: Progress
    detail: str
    refusal: Refusal | None = None

    @property
    def verdict(self) -> Verdict:
        """Return whether the other VM ran the request, as far as is known."""
        if self.refusal:
            return self.refusal.verdict
        return verdict_for(self.progress)


@dataclass(frozen=True)
class ForwardRequest:
    """A forwarded request as it is passed to its handler.

    :param vm: the VM that forwarded the request.
    """

    vm: str
    kind: str
    headers: Mapping[str, str]
    body: bytes


class ForwardReply:
    """Reply to a forwarded request: status, headers, and a body that is read once.

    .. versionadded:: 0.1
    """

    def __init__(self, forwarder: "Forwarder", link: PeerLink, id: int) -> None:
        self.status = 0
        self.headers: Mapping[str, str] = {}
        self.id = id
        self._forwarder = forwarder
        self._link = link
        self._chunks: list[bytes] = []
        self._unread = 0
        self._changed = asyncio.Event()
        self._end: ForwardEnd | ForwardError | None = None

    def add(self, chunk: ForwardChunk) -> None:
        """Add a received chunk; cancel the reply if too many bytes are unread."""
        if self._end is not None:
            return
        if chunk.status:
            self.status = chunk.status
            self.headers = chunk.headers
        if chunk.data:
            self._chunks.append(chunk.data)
            self._unread += len(chunk.data)
        self._changed.set()
        if self._unread > MAX_UNREAD_BYTES:
            self._chunks.clear()
            self.cancel("the reply was not read fast enough")

    def end(self, end: ForwardEnd | ForwardError) -> None:
        """Mark the reply as ended; only the first call has an effect."""
        self._end = self._end or end
        self._changed.set()

    async def wait_head(self) -> ForwardError | None:
        """Wait for the status; return an error if the reply ends without one."""
        while not self.status and self._end is None:
            await self._wait()
        if self.status:
            return None
        return self._error() or ForwardError(Progress.SENT, "a reply without a status")

    def _error(self) -> ForwardError | None:
        if isinstance(self._end, ForwardEnd):
            return _error_from_end(self._end)
        return self._end

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield body bytes as they arrive.

        :raises ForwardError: if the reply ends before it is complete.
        """
        while True:
            while self._chunks:
                data = b"".join(self._chunks)
                self._chunks.clear()
                self._unread = 0
                yield data
            if self._end is not None:
                break
            await self._wait()
        if error := self._error():
            raise error

    async def read(self) -> bytes:
        """Return the whole body; see :meth:`chunks`."""
        return b"".join([chunk async for chunk in self.chunks()])

    def cancel(self, reason: str = "cancelled") -> None:
        """End the reply with an error and cancel the request at the other VM."""
        if self._end is None:
            self.end(ForwardError(Progress.SENT, reason))
            self._forwarder.remove_reply(self._link, self.id)
            self._link.offer(ForwardEnd(self.id, "may_have_run", reply=False))

    async def _wait(self) -> None:
        self._changed.clear()
        await self._changed.wait()


class ReplyStream:
    """Sends the reply to one forwarded request.

    .. versionadded:: 0.1
    """

    def __init__(self, link: PeerLink, id: int) -> None:
        self._link = link
        self._id = id

    async def start(self, status: int, headers: Mapping[str, str]) -> None:
        """Send status and headers; call it once, before the first :meth:`write`.

        :raises LinkClosedError: if the link closes.
        """
        head = ForwardChunk(self._id, b"", status=status, headers=dict(headers))
        await self._link.send(head)

    async def write(self, data: bytes) -> None:
        """Send body bytes, waiting while the send queue of the link is full.

        :raises LinkClosedError: if the link closes.
        """
        for start in range(0, len(data), CHUNK_BYTES):
            chunk = data[start : start + CHUNK_BYTES]
            await self._link.send(ForwardChunk(self._id, chunk))


Handler = Callable[[ForwardRequest, ReplyStream], Awaitable[Refusal | None]]


@dataclass
class _InboundCall:
    """A request from a peer: the body received so far, then the handler's task."""

    request: Forward
    body: bytearray = field(default_factory=bytearray)
    task: asyncio.Task | None = None


@dataclass
class _SendState:
    """Whether a request was passed to a socket, and whether it still may be.

    A request that timed out or was cancelled in the send queue must not be sent
    later, because it was already reported to its caller as not run.
    """

    allowed: bool = True
    progress: Progress = Progress.NOT_SENT

    def begin(self) -> bool:
        if self.allowed:
            self.progress = Progress.SENT
        return self.allowed


class Forwarder:
    """Forwards requests to other VMs and runs those that they forward.

    :param address_of: returns the peer address of a VM, to dial it if no link is
        open; ``None`` if the address is unknown.

    .. versionadded:: 0.1
    """

    def __init__(
        self, mesh: PeerMesh, address_of: Callable[[str], str | None] | None = None
    ) -> None:
        self._mesh = mesh
        self._address_of = address_of or (lambda vm: None)
        self._handlers_by_kind: dict[str, Handler] = {}
        self._ids = itertools.count(1)
        self._replies_by_link: dict[PeerLink, dict[int, ForwardReply]] = {}
        self._inbound_by_link: dict[PeerLink, dict[int, _InboundCall]] = {}
        mesh.on(Forward, self._on_forward)
        mesh.on(ForwardChunk, self._on_chunk)
        mesh.on(ForwardEnd, self._on_end)
        mesh.on_down(self._on_down)

    def add_handler(self, kind: str, handler: Handler) -> None:
        """Register ``handler`` for requests of ``kind``.

        The handler returns ``None`` after a complete reply and a refusal otherwise.
        If it raises, the verdict is ``may_have_run``. It is cancelled when the
        requesting VM cancels the request or the link breaks; work that must not be
        interrupted has to run in a task of its own.
        """
        self._handlers_by_kind[kind] = handler

    async def call(
        self,
        vm: str,
        kind: str,
        *,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
        incarnation: int | None = None,
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> Result[ForwardReply, ForwardError]:
        """Forward a request to ``vm``; return its reply once the status is known.

        :param incarnation: the only incarnation of ``vm`` that may run the request;
            by default any.
        :param timeout_ms: longest time until the status, including the time to dial
            and to send the request.
        """
        if len(body) > MAX_BODY_BYTES:
            return Err(ForwardError(Progress.NOT_SENT, "the body is too large"))
        send_state = _SendState()
        reply = None
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                link = await self._mesh.link_to(vm, self._address_of(vm))
                if link is None:
                    return Err(ForwardError(Progress.NOT_SENT, f"no link to {vm}"))
                if incarnation not in (None, link.incarnation):
                    return Err(ForwardError(Progress.NOT_SENT, f"{vm} has restarted"))
                reply = self._open_reply(link)
                await self._send(link, reply.id, kind, headers or {}, body, send_state)
                error = await reply.wait_head()
        except (LinkClosedError, TimeoutError) as failure:
            error = ForwardError(Progress.SENT, str(failure) or f"{vm}: no reply")
        except BaseException:
            send_state.allowed = False
            if reply:
                reply.cancel()
            raise
        if error is None:
            return Ok(reply)
        send_state.allowed = False
        if reply:
            reply.cancel()
        if error.refusal is None:
            error = ForwardError(send_state.progress, error.detail)
        return Err(error)

    def _open_reply(self, link: PeerLink) -> ForwardReply:
        reply = ForwardReply(self, link, next(self._ids))
        self._replies_by_link.setdefault(link, {})[reply.id] = reply
        link.active_calls += 1
        return reply

    async def _send(self, link, id, kind, headers, body, send_state) -> None:
        first = Forward(id, kind, dict(headers), body[:CHUNK_BYTES], len(body))
        await link.send(first, send_state.begin)
        for start in range(CHUNK_BYTES, len(body), CHUNK_BYTES):
            chunk = body[start : start + CHUNK_BYTES]
            await link.send(ForwardChunk(id, chunk, reply=False))

    def remove_reply(self, link: PeerLink, id: int) -> ForwardReply | None:
        """Remove the reply of a request that this VM forwarded, and return it."""
        reply = self._replies_by_link.get(link, {}).pop(id, None)
        if reply is not None:
            link.active_calls -= 1
        return reply

    def _on_forward(self, link: PeerLink, message: Forward) -> None:
        calls = self._inbound_by_link.setdefault(link, {})
        if message.kind not in self._handlers_by_kind or message.id in calls:
            refusal = not_run(501, "Not supported", f"no handler of {message.kind!r}")
            link.offer(_end_message(message.id, refusal))
        elif len(calls) >= MAX_CALLS_PER_LINK or message.size > MAX_BODY_BYTES:
            refusal = not_run(503, "Overloaded", "too many or too large requests")
            link.offer(_end_message(message.id, refusal))
        else:
            calls[message.id] = _InboundCall(message)
            link.active_calls += 1
            self._append_body(link, message.id, message.body)

    def _append_body(self, link: PeerLink, id: int, data: bytes) -> None:
        call = self._inbound_by_link.get(link, {}).get(id)
        if call is None or call.task is not None:
            return
        call.body += data
        if len(call.body) >= call.request.size:
            call.task = asyncio.create_task(self._run(link, call))
            call.task.add_done_callback(partial(self._remove_inbound, link, id))

    async def _run(self, link: PeerLink, call: _InboundCall) -> None:
        sent = call.request
        body = bytes(call.body)
        request = ForwardRequest(link.vm, sent.kind, sent.headers, body)
        handler = self._handlers_by_kind[sent.kind]
        try:
            refusal = await handler(request, ReplyStream(link, sent.id))
            await link.send(_end_message(sent.id, refusal))
        except LinkClosedError:
            pass
        except Exception:
            log.exception("handler of a {} request from {} failed", sent.kind, link.vm)
            end = ForwardEnd(sent.id, "may_have_run", status=500, title="Failed")
            link.offer(end)

    def _remove_inbound(self, link: PeerLink, id: int, _task: asyncio.Task) -> None:
        if self._inbound_by_link.get(link, {}).pop(id, None):
            link.active_calls -= 1

    def _on_chunk(self, link: PeerLink, message: ForwardChunk) -> None:
        if not message.reply:
            self._append_body(link, message.id, message.data)
        elif reply := self._replies_by_link.get(link, {}).get(message.id):
            reply.add(message)

    def _on_end(self, link: PeerLink, message: ForwardEnd) -> None:
        if message.reply:
            if reply := self.remove_reply(link, message.id):
                reply.end(message)
            return
        call = self._inbound_by_link.get(link, {}).get(message.id)
        if call is not None and call.task is not None:
            call.task.cancel()
        elif call is not None:
            self._remove_inbound(link, message.id, None)

    def _on_down(self, link: PeerLink) -> None:
        for reply in self._replies_by_link.pop(link, {}).values():
            reply.end(ForwardError(Progress.SENT, f"the link to {link.vm} broke"))
        for call in self._inbound_by_link.pop(link, {}).values():
            if call.task is not None:
                call.task.cancel()


def _end_message(id: int, refusal: Refusal | None) -> ForwardEnd:
    if refusal is None:
        return ForwardEnd(id)
    return ForwardEnd(
        id,
        refusal.verdict.value,
        True,
        refusal.status,
        refusal.title,
        refusal.detail,
        refusal.retry_after,
        refusal.address,
    )


def _error_from_end(end: ForwardEnd) -> ForwardError | None:
    if not end.status and end.verdict == Verdict.RAN.value:
        return None
    known = {verdict.value: verdict for verdict in Verdict}
    verdict = known.get(end.verdict, Verdict.MAY_HAVE_RUN)
    after = None if end.retry_after is None else Millis(end.retry_after)
    refusal = Refusal(
        end.status or 502, end.title, end.detail, verdict, after, end.address
    )
    return ForwardError(Progress.SENT, end.detail or end.title, refusal)
