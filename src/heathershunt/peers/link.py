"""One WebSocket link to another daemon, with a bounded send queue."""

import asyncio
from collections import deque
from collections.abc import Callable

import logbook
from websockets.exceptions import ConnectionClosed
from websockets.frames import CloseCode

from heathershunt.clock import Clock, Millis
from heathershunt.peers.messages import (
    Hello,
    Message,
    MessageError,
    decode_message,
    encode_message,
)

log = logbook.Logger("heathershunt.peers")

MAX_QUEUE_BYTES = 1_048_576
PROTOCOL_ERROR_CODES = (
    CloseCode.PROTOCOL_ERROR,
    CloseCode.INVALID_DATA,
    CloseCode.MESSAGE_TOO_BIG,
)


class LinkClosedError(ConnectionError):
    """The link closed before a message could be queued.

    .. versionadded:: 0.1
    """


class PeerLink:
    """Link to one VM.

    :param socket: open WebSocket connection on which both hellos were exchanged.
    :param hello: the hello message of the other side.
    :param dialled: this side opened the connection.
    :ivar used_at: last time that this VM requested the link from the mesh.
    :ivar active_calls: forwarded requests in progress, in both directions.
    :ivar needed_by_peer: the peer's last heartbeat requested to keep the link.
    :ivar unneeded_since: time since when neither side needs the link.

    .. versionadded:: 0.1
    """

    def __init__(self, socket, hello: Hello, dialled: bool, clock: Clock) -> None:
        self.vm = hello.vm
        self.incarnation = hello.incarnation
        self.hello = hello
        self.dialled = dialled
        self.received_at: Millis = clock.now()
        self.used_at: Millis | None = None
        self.active_calls = 0
        self.needed_by_peer = True
        self.unneeded_since: Millis | None = None
        self.closed = False
        self.sent_bytes = 0
        self.received_bytes = 0
        self.sent_messages = 0
        self.received_messages = 0
        self._socket = socket
        self._clock = clock
        self._queue: deque[tuple[bytes, Callable[[], bool] | None]] = deque()
        self._queued_bytes = 0
        self._progress_at: Millis = clock.now()
        self._not_empty = asyncio.Event()
        self._space_freed = asyncio.Event()

    @property
    def queued_bytes(self) -> int:
        """Return the size of the queued messages that were not sent yet."""
        return self._queued_bytes

    def offer(
        self, message: Message, may_send: Callable[[], bool] | None = None
    ) -> bool:
        """Queue a message; return ``False`` if the queue is full or the link is closed.

        :param may_send: called just before the message is passed to the socket; the
            message is dropped if ``may_send`` returns ``False``.
        """
        return self.offer_encoded(encode_message(message), may_send)

    def offer_encoded(
        self, data: bytes, may_send: Callable[[], bool] | None = None
    ) -> bool:
        """Queue an encoded message; see :meth:`offer`."""
        if self.closed or self._queued_bytes + len(data) > MAX_QUEUE_BYTES:
            return False
        if not self._queued_bytes:
            self._progress_at = self._clock.now()
        self._queue.append((data, may_send))
        self._queued_bytes += len(data)
        self._not_empty.set()
        return True

    async def send(
        self, message: Message, may_send: Callable[[], bool] | None = None
    ) -> None:
        """Queue a message, waiting while the queue is full.

        :raises LinkClosedError: if the link closes first.
        """
        data = encode_message(message)
        while not self.offer_encoded(data, may_send):
            if self.closed:
                raise LinkClosedError(f"the link to {self.vm} is closed")
            self._space_freed.clear()
            await self._space_freed.wait()

    def silent_ms(self, now: Millis) -> int:
        """Return how long nothing was received or, with a queue, nothing was sent."""
        silent = now - self.received_at
        if self._queued_bytes:
            silent = max(silent, now - self._progress_at)
        return silent

    async def run(self, dispatch: Callable[["PeerLink", Message], None]) -> str:
        """Send and receive until the link closes; return why it closed.

        A message that can't be decoded closes the link.
        """
        writer = asyncio.create_task(self._write())
        try:
            while True:
                data = await self._socket.recv()
                self.received_at = self._clock.now()
                self.received_messages += 1
                self.received_bytes += len(data)
                if isinstance(data, str):
                    raise MessageError("text frame instead of a binary frame")
                dispatch(self, decode_message(data))
        except ConnectionClosed as error:
            if error.sent is not None and error.sent.code in PROTOCOL_ERROR_CODES:
                log.warning("closing the link to {}: {}", self.vm, error)
            return f"connection closed: {error}"
        except MessageError as error:
            log.warning("closing the link to {}: bad message: {}", self.vm, error)
            return f"bad message: {error}"
        finally:
            self.abort()
            writer.cancel()

    async def _write(self) -> None:
        try:
            while True:
                while self._queue:
                    data, may_send = self._queue.popleft()
                    if may_send is None or may_send():
                        self.sent_messages += 1
                        self.sent_bytes += len(data)
                        await self._socket.send(data)
                    self._queued_bytes -= len(data)
                    self._progress_at = self._clock.now()
                    self._space_freed.set()
                self._not_empty.clear()
                await self._not_empty.wait()
        except ConnectionClosed:
            self.abort()

    async def drain_and_close(self, timeout_ms: int) -> None:
        """Send what is queued, then close the link; abort it after ``timeout_ms``."""
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                while self._queued_bytes and not self.closed:
                    self._space_freed.clear()
                    await self._space_freed.wait()
                if not self.closed:
                    await self._socket.close()
        except TimeoutError:
            pass
        self.abort()

    def abort(self) -> None:
        """Close the link at once and drop its queue, without a closing handshake."""
        if self.closed:
            return
        self.closed = True
        self._queue.clear()
        self._queued_bytes = 0
        self._space_freed.set()
        self._socket.transport.abort()
