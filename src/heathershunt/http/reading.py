"""Reading of requests from one accepted connection."""

import asyncio
from collections.abc import Callable

import h11

from heathershunt.http.messages import Request
from heathershunt.http.requests import (
    HttpLimits,
    RequestRejectedError,
    build_request,
)
from heathershunt.http.transports import CountingReader, is_receive_buffer_empty

READ_BYTES = 65536


class RequestReader:
    """Reads the requests of one connection, within the limits in force.

    :param h11_connection: parser of the connection, also used to write.
    :param limits: returns the current limits, which may change at any time.
    :param send_continue: called when the caller waits for an interim response before it
        sends the body.
    :ivar allows_chunks: whether the answer to the last request may be sent in chunks.

    .. versionadded:: 0.8
    """

    def __init__(
        self,
        h11_connection: h11.Connection,
        reader: CountingReader,
        limits: Callable[[], HttpLimits],
        send_continue: Callable[[], None],
        transport: asyncio.WriteTransport,
    ) -> None:
        self._h11 = h11_connection
        self._reader = reader
        self._get_limits = limits
        self._send_continue = send_continue
        self._transport = transport
        peer = transport.get_extra_info("peername")
        self._peer = peer[0] if peer else ""
        self.allows_chunks = False

    @property
    def _limits(self) -> HttpLimits:
        return self._get_limits()

    @property
    def has_buffered(self) -> bool:
        """Return whether bytes of the next request are in the parser."""
        return bool(self._h11.trailing_data[0])

    async def wait_first_bytes(self) -> bytes | None:
        """Wait for the next request to begin.

        A limit that becomes longer applies at once, a shorter one from the next wait
        on, as callers may still rely on the longer one.

        :return: its first bytes; ``b""`` if the caller closed the connection, ``None``
            if the idle limit has passed.
        """
        started = asyncio.get_running_loop().time()
        while True:
            data = await self._read_until(started + self._limits.idle_ms / 1000)
            if data:
                self._h11.receive_data(data)
            if data is not None or self._is_past(started):
                return data

    def _is_past(self, started: float) -> bool:
        """Return whether the idle limit in force now has passed."""
        now = asyncio.get_running_loop().time()
        return now >= started + self._limits.idle_ms / 1000

    async def _read_until(self, end: float) -> bytes | None:
        """Return received bytes; ``None`` if there are none at a loop time."""
        try:
            async with asyncio.timeout_at(end):
                return await self._reader.read(READ_BYTES)
        except TimeoutError:
            if self._has_nothing():
                return None
        # The limit passed in the iteration of the event loop in which bytes arrived.
        try:
            async with asyncio.timeout(self._limits.head_ms / 1000):
                return await self._reader.read(READ_BYTES)
        except TimeoutError:
            return None

    def _has_nothing(self) -> bool:
        return not self._reader.has_unread and is_receive_buffer_empty(self._transport)

    async def read(self) -> Request | None:
        """Return the next request; ``None`` if the connection ends before it begins.

        :raises RequestRejectedError: if the request is malformed or exceeds a limit.
        """
        limits = self._limits
        try:
            async with (
                asyncio.timeout(limits.request_ms / 1000),
                asyncio.timeout(limits.head_ms / 1000) as head_timeout,
            ):
                return await self._parse(head_timeout)
        except TimeoutError:
            raise RequestRejectedError(408, "The request took too long.") from None
        except h11.RemoteProtocolError as error:
            status = getattr(error, "error_status_hint", 400) or 400
            raise RequestRejectedError(
                status, f"The request is not valid HTTP/1.1: {error}."
            ) from None

    async def _parse(self, head_timeout: asyncio.Timeout) -> Request | None:
        head: h11.Request | None = None
        parts: list[bytes] = []
        size = 0
        while True:
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                if self._h11.they_are_waiting_for_100_continue:
                    self._send_continue()
                self._h11.receive_data(await self._reader.read(READ_BYTES))
            elif isinstance(event, h11.Request):
                head = event
                head_timeout.reschedule(None)
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > self._limits.body_bytes:
                    limit = self._limits.body_bytes
                    raise RequestRejectedError(
                        413, f"The request body is larger than {limit} bytes."
                    )
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return self._build(head, b"".join(parts))
            else:
                return None

    def _build(self, head: h11.Request, body: bytes) -> Request:
        # h11 sends no chunks to HTTP/1.0 clients and no body in response to HEAD.
        self.allows_chunks = head.http_version == b"1.1" and head.method != b"HEAD"
        return build_request(head, body, self._peer)
