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
PROTOCOL_FAULTS = (
    CloseCode.PROTOCOL_ERROR,
    CloseCode.INVALID_DATA,
    CloseCode.MESSAGE_TOO_BIG,
)


class LinkClosedError(ConnectionError):
    """The link ended before a message could be queued.

    .. versionadded:: 0.1
    """


class PeerLink:
    """Link to one VM.

    :param socket: open WebSocket connection on which both hellos were exchanged.
    :param hello: what the other side said of itself.
    :param dialled: this side opened the connection.

    .. versionadded:: 0.1
    """

    def __init__(self, socket, hello: Hello, dialled: bool, clock: Clock) -> None:
        self.vm = hello.vm
        self.incarnation = hello.incarnation
        self.hello = hello
        self.dialled = dialled
        self.heard_at: Millis = clock.now()
        self.used_at: Millis | None = None
        self.active_calls = 0
        self.peer_keeps = True
        self.unwanted_since: Millis | None = None
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
        self._filled = asyncio.Event()
        self._drained = asyncio.Event()

    @property
    def queued_bytes(self) -> int:
        """Return the bytes that wait to be handed to the socket."""
        return self._queued_bytes

    def offer(
        self, message: Message, may_hand: Callable[[], bool] | None = None
    ) -> bool:
        """Queue a message; return ``False`` if the queue is full or the link closed.

        :param may_hand: called just before the message would be handed to the
            socket; the message is dropped if it returns ``False``.
        """
        return self.offer_encoded(encode_message(message), may_hand)

    def offer_encoded(
        self, data: bytes, may_hand: Callable[[], bool] | None = None
    ) -> bool:
        """Queue the bytes of a message; see :meth:`offer`."""
        if self.closed or self._queued_bytes + len(data) > MAX_QUEUE_BYTES:
            return False
        if not self._queued_bytes:
            self._progress_at = self._clock.now()
        self._queue.append((data, may_hand))
        self._queued_bytes += len(data)
        self._filled.set()
        return True

    async def send(
        self, message: Message, may_hand: Callable[[], bool] | None = None
    ) -> None:
        """Queue a message, waiting for space.

        :raises LinkClosedError: if the link closes first.
        """
        data = encode_message(message)
        while not self.offer_encoded(data, may_hand):
            if self.closed:
                raise LinkClosedError(f"the link to {self.vm} is closed")
            self._drained.clear()
            await self._drained.wait()

    def silent_ms(self, now: Millis) -> int:
        """Return for how long nothing was heard or, with a backlog, nothing sent."""
        silent = now - self.heard_at
        if self._queued_bytes:
            silent = max(silent, now - self._progress_at)
        return silent

    async def run(self, dispatch: Callable[["PeerLink", Message], None]) -> str:
        """Send and receive until the link ends; return the reason."""
        writer = asyncio.create_task(self._write())
        try:
            while True:
                data = await self._socket.recv()
                self.heard_at = self._clock.now()
                self.received_messages += 1
                self.received_bytes += len(data)
                if isinstance(data, str):
                    raise MessageError("a text message")
                dispatch(self, decode_message(data))
        except ConnectionClosed as error:
            if error.sent is not None and error.sent.code in PROTOCOL_FAULTS:
                log.warning("closing the link to {}: {}", self.vm, error)
            return f"connection closed: {error}"
        except MessageError as error:
            log.warning("closing the link to {}: bad message: {}", self.vm, error)
            return f"bad message: {error}"
        finally:
            self.cut()
            writer.cancel()

    async def _write(self) -> None:
        try:
            while True:
                while self._queue:
                    data, may_hand = self._queue.popleft()
                    if may_hand is None or may_hand():
                        self.sent_messages += 1
                        self.sent_bytes += len(data)
                        await self._socket.send(data)
                    self._queued_bytes -= len(data)
                    self._progress_at = self._clock.now()
                    self._drained.set()
                self._filled.clear()
                await self._filled.wait()
        except ConnectionClosed:
            self.cut()

    async def finish(self, limit_ms: int) -> None:
        """Close the link after its queue was sent, within ``limit_ms``."""
        try:
            async with asyncio.timeout(limit_ms / 1000):
                while self._queued_bytes and not self.closed:
                    self._drained.clear()
                    await self._drained.wait()
                if not self.closed:
                    await self._socket.close()
        except TimeoutError:
            pass
        self.cut()

    def cut(self) -> None:
        """End the link at once, without waiting for the other side."""
        if self.closed:
            return
        self.closed = True
        self._queue.clear()
        self._queued_bytes = 0
        self._drained.set()
        self._socket.transport.abort()
