"""One accepted HTTP/1.1 connection: parsed by h11, one request at a time."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import AbstractAsyncContextManager, nullcontext
from http import HTTPStatus

import h11
import logbook

from heathershunt.http.cuts import (
    AnswerError,
    AnswerWatch,
    CutCause,
    CutHandler,
    log_cut,
)
from heathershunt.http.delivery import Delivery
from heathershunt.http.heads import build_head
from heathershunt.http.messages import (
    Request,
    Response,
    StreamResponse,
    problem_response,
)
from heathershunt.http.peer_watch import watching_peer
from heathershunt.http.reading import READ_BYTES, RequestReader
from heathershunt.http.requests import HttpLimits, RequestRejectedError
from heathershunt.http.transports import (
    CountingReader,
    is_receive_buffer_empty,
    limit_receive_size,
)
from heathershunt.verdict import Refusal, may_have_run, not_run

log = logbook.Logger("heathershunt.http")

WRITE_HIGH_WATER_BYTES = 262_144
LINGER_MS = 2000
# A drain waits for a connection without requests until this long after it was opened,
# as its first request may still arrive.
FIRST_REQUEST_TIMEOUT_MS = 300

FAILED = may_have_run(500, "Internal error", "The router failed to answer the request.")

Handler = Callable[[Request], Awaitable[Response | StreamResponse]]


class _Stream:
    """Writes the body of one streamed response."""

    def __init__(self, connection: "Connection") -> None:
        self._connection = connection

    def write(self, data: bytes) -> None:
        self._connection.send_body(data)

    def backlog(self) -> int:
        return self._connection.writer.transport.get_write_buffer_size()

    async def drain(self) -> None:
        await self._connection.writer.drain()

    async def wait_closed(self) -> None:
        await self._connection.wait_closed()


class Connection:
    """One accepted connection.

    :ivar delivery: what of its answers is still on its way.
    """

    def __init__(
        self,
        reader: CountingReader,
        writer: asyncio.StreamWriter,
        handler: Handler,
        limits: Callable[[], HttpLimits],
        cancels_handler: Callable[[Request], bool] = lambda request: False,
        on_cut: CutHandler = log_cut,
    ) -> None:
        self.reader = reader
        self.writer = writer
        self._handler = handler
        self._may_cancel = cancels_handler
        self._cancels_handler = False
        self._answer = AnswerWatch(on_cut)
        self._task: asyncio.Task | None = None
        self.is_busy = False
        self._has_served = False
        self._opened_at = asyncio.get_running_loop().time()
        self._on_confirmed: Callable[[], None] | None = None
        self._closed = asyncio.Event()
        self.delivery = Delivery(writer)
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits().header_bytes
        )
        self._requests = RequestReader(
            self._h11, reader, limits, self._send_continue, writer.transport
        )
        limit_receive_size(writer.transport)
        writer.transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)

    @property
    def is_pending(self) -> bool:
        """Return whether the connection may still need a response in a drain.

        It does while a request is served, bytes of the next one have been received, or
        an answer has not reached the caller's host. A new connection also does for
        :data:`FIRST_REQUEST_TIMEOUT_MS`, in which its first request may arrive.
        """
        if self.is_busy or self._has_next_request() or not self.delivery.is_complete:
            return True
        age = asyncio.get_running_loop().time() - self._opened_at
        return not self._has_served and age < FIRST_REQUEST_TIMEOUT_MS / 1000

    def _has_next_request(self) -> bool:
        """Return whether bytes of the next request have been received."""
        if self.reader.has_unread or self._requests.has_buffered:
            return True
        if self._h11.their_state is h11.SEND_BODY:
            return True
        return not is_receive_buffer_empty(self.writer.transport)

    async def serve(self, draining: Callable[[], bool]) -> None:
        """Serve requests one at a time until the connection ends."""
        self._task = asyncio.current_task()
        try:
            while await self._serve_one(draining):
                self._h11.start_next_cycle()
        except asyncio.CancelledError:
            # The watcher cancels the handler if the caller closes the connection.
            if not self._closed.is_set():
                self._answer.cut(CutCause.STOPPED)
                raise
            self.abort(CutCause.CALLER_CLOSED)
        except RequestRejectedError as error:
            await self.reject(error.status, error.detail)
        except AnswerError as error:
            self.abort(error.cause, str(error))
        except h11.LocalProtocolError as error:
            self.abort(CutCause.INVALID_ANSWER, str(error))
        except (ConnectionError, TimeoutError) as error:
            self.abort(CutCause.CALLER_CLOSED, str(error))
        finally:
            if self._has_unread_request():
                self._answer.cut_unread()
            self._closed.set()
            self.writer.close()

    def _has_unread_request(self) -> bool:
        """Return whether bytes of a request were received and not read."""
        if self.reader.at_eof() or self._closed.is_set():
            return False
        return self.reader.has_unread or self._requests.has_buffered

    async def _serve_one(self, draining: Callable[[], bool]) -> bool:
        request = await self._read_request(draining)
        if request is None:
            return False
        self._answer.on_request(request)
        self.is_busy = True
        self._cancels_handler = self._may_cancel(request)
        async with self._watching_peer() if self._cancels_handler else nullcontext():
            response = await self._run_handler(request)
            await self._respond(response, self._closes_after(draining))
        self.is_busy = False
        self._on_confirmed = getattr(response, "on_confirmed", None)
        self._has_served = True
        done = self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE
        if done and (not draining() or self._has_next_request()):
            return True
        await self._linger()
        if draining():
            await self.delivery.wait(self._has_next_request)
        return False

    def _closes_after(self, draining: Callable[[], bool]) -> bool:
        """Return whether the connection closes after the response to come."""
        # Pipelined requests are answered before the connection is closed.
        return draining() and not self._has_next_request()

    async def _linger(self) -> None:
        """Half-close and wait for the caller to close, which confirms the response."""
        if not self._on_confirmed:
            return
        if not self.writer.can_write_eof():
            self._confirm()
            return
        self.delivery.half_close()
        if await self._read_end(LINGER_MS):
            self._confirm()

    async def _read_end(self, limit_ms: int) -> bool:
        """Discard what the caller sends; return whether it closed in time."""
        try:
            async with asyncio.timeout(limit_ms / 1000):
                while await self.reader.read(READ_BYTES):
                    pass
        except (TimeoutError, ConnectionError):
            return False
        return True

    def _confirm(self) -> None:
        if self._on_confirmed:
            self._on_confirmed()
        self._on_confirmed = None

    async def _read_request(self, draining: Callable[[], bool]) -> Request | None:
        if not self._requests.has_buffered:
            # A new connection gets a response to its first request even in a drain, so
            # that a late caller receives the address to send the request to instead.
            if draining() and self._has_served and not self._has_next_request():
                return None
            first = await self._requests.wait_first_bytes()
            if first is None:
                return None
            self._confirm()
            if not first:
                return None
        return await self._requests.read()

    def _send_continue(self) -> None:
        self.send(h11.InformationalResponse(status_code=100, headers=[]))

    async def _run_handler(self, request: Request) -> Response | StreamResponse:
        """Return the handler's response, or an error response if it fails."""
        try:
            return await self._handler(request)
        except asyncio.CancelledError:
            # A handler that awaits a task which something else cancels raises this too,
            # without a cancellation of its own.
            if self._is_cancelled():
                raise
            log.exception("handler cancelled: {} {}", request.method, request.path)
        except AnswerError:
            raise
        except Exception:
            log.exception("handler failed: {} {}", request.method, request.path)
        return problem_response(FAILED)

    def _is_cancelled(self) -> bool:
        """Return whether the task of the connection itself was cancelled."""
        return self._task is not None and self._task.cancelling() > 0

    async def _respond(self, response: Response | StreamResponse, closes: bool) -> None:
        """Write a response.

        :param closes: whether the connection closes after it.
        """
        try:
            head = build_head(response, closes)
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            log.error("answer cannot be written as HTTP/1.1: {}", error)
            _release(response)
            response = problem_response(FAILED)
            head = build_head(response, closes)
        try:
            self.send(head)
            self._answer.on_answer()
            await self._write_body(response)
        finally:
            _release(response)
        self.send(h11.EndOfMessage())
        await self.writer.drain()
        self._answer.on_end()

    async def _write_body(self, response: Response | StreamResponse) -> None:
        if isinstance(response, StreamResponse):
            await self._run_stream(response)
        elif response.body:
            self.send(h11.Data(data=response.body))

    async def _run_stream(self, response: StreamResponse) -> None:
        try:
            if self._cancels_handler:
                await response.run(_Stream(self))
                return
            async with self._watching_peer():
                await response.run(_Stream(self))
        except asyncio.CancelledError:
            if self._is_cancelled():
                raise
            log.exception("streamed response cancelled")
            detail = "a task of the streamed response was cancelled"
            raise AnswerError(CutCause.STREAM_FAILED, detail) from None
        except ConnectionError as error:
            if self._is_caller_gone():
                raise
            raise AnswerError(CutCause.STREAM_FAILED, str(error)) from None
        except Exception:
            log.exception("streamed response failed")
            detail = "the streamed response failed"
            raise AnswerError(CutCause.STREAM_FAILED, detail) from None

    def _watching_peer(self) -> AbstractAsyncContextManager[None]:
        return watching_peer(self.reader, self._h11.receive_data, self._on_peer_closed)

    def _on_peer_closed(self) -> None:
        self._closed.set()
        if self._cancels_handler and self._task is not None:
            self._task.cancel()

    def send_body(self, data: bytes) -> None:
        """Write body bytes of a streamed response as one chunk.

        The chunk is framed here rather than by h11, whose state machine costs more
        than the rest of a relayed token. The head and the end of the body still pass
        through h11, which keeps no state of an open chunk between two events.
        """
        if not self._requests.allows_chunks:
            self.send(h11.Data(data=data))
        elif data:
            self._require_open()
            self.writer.write(b"%x\r\n%b\r\n" % (len(data), data))

    def _is_caller_gone(self) -> bool:
        return self._closed.is_set() or self.writer.transport.is_closing()

    def _require_open(self) -> None:
        if self._is_caller_gone():
            raise ConnectionResetError("the caller closed the connection")

    def send(self, event) -> None:
        """Write one h11 event; raise ``ConnectionError`` if already closed."""
        self._require_open()
        self.writer.write(self._h11.send(event))

    async def wait_closed(self) -> None:
        """Wait until the peer has closed the connection."""
        await self._closed.wait()

    async def reject(
        self, status: int, detail: str, linger_ms: int = LINGER_MS
    ) -> None:
        """Respond with a problem document and close the connection.

        A connection that is closed with unread bytes is reset, which may take the
        response away before the caller has read it. So what the caller still sends is
        read and discarded for a while.

        :param linger_ms: longest time for that.
        """
        refusal = not_run(status, HTTPStatus(status).phrase, detail)
        try:
            if self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                await self._respond(problem_response(refusal), closes=True)
                self.delivery.half_close()
                await self._read_end(linger_ms)
        except (ConnectionError, h11.LocalProtocolError) as error:
            log.info("refusal {} not delivered: {}", status, error)
        self.writer.close()

    def close_if_idle(self) -> None:
        """Close the connection in a drain, unless it may still need a response.

        A connection that has served no request stays open for its first one.

        If the last response awaits confirmation, the connection is only half-closed:
        the pending read then detects that the caller closes, which confirms it.
        """
        if self.is_pending or not self._has_served:
            return
        if self._h11.their_state is not h11.IDLE:
            return
        if self._on_confirmed and self.writer.can_write_eof():
            self.delivery.half_close()
        else:
            self.writer.close()

    def refuse_and_close(self, refusal: Refusal) -> None:
        """Answer a request whose answer has not begun, and close the connection."""
        if not self._answer.is_owed or self._answer.has_begun:
            self.abort()
            return
        response = problem_response(refusal)
        try:
            self.send(build_head(response, closes=True))
            self.send(h11.Data(data=response.body))
            self.send(h11.EndOfMessage())
        except (ConnectionError, h11.LocalProtocolError) as error:
            self.abort(CutCause.STOPPED, str(error))
            return
        self._answer.on_end()
        self._closed.set()
        self.writer.close()

    def abort(self, cause: CutCause = CutCause.STOPPED, detail: str = "") -> None:
        """Abort the connection.

        :param cause: cause to report if an answer is owed.
        """
        if self._answer.is_owed:
            self._answer.cut(cause, detail)
        elif cause is CutCause.STOPPED and not self.delivery.is_complete:
            self._answer.cut_undelivered(self.delivery.unsent_bytes)
        self.delivery.is_aborted = True
        self._closed.set()
        self.writer.transport.abort()


def _release(response: Response | StreamResponse) -> None:
    """Tell the source of a streamed response that it is no longer needed."""
    if isinstance(response, StreamResponse) and response.on_closed is not None:
        response.on_closed()
