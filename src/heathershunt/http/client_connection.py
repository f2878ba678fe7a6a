"""One client connection: parsed by h11, without pipelining."""

import asyncio
from collections.abc import Mapping, Sequence

import h11

from heathershunt.http.addresses import Address
from heathershunt.http.chunked import ChunkedDecoder
from heathershunt.http.heads import check_head
from heathershunt.http.transports import (
    CountingReader,
    is_receive_buffer_empty,
    limit_receive_size,
)
from heathershunt.verdict import Progress

READ_BYTES = 65536
BODILESS_STATUSES = (204, 304)
# Interim responses (1xx) accepted before the final one.
MAX_INTERIM_RESPONSES = 16

HeaderFields = Mapping[str, str] | Sequence[tuple[bytes, bytes]]


class ReplyTooLargeError(ConnectionError):
    """A response with a larger body or more interim responses than allowed.

    .. versionadded:: 0.4
    """


class ClientConnection:
    """One connection to a target.

    :ivar progress: how far the current request got.
    :ivar response: head of its response, ``None`` until it has been received.

    .. versionadded:: 0.4
    """

    def __init__(
        self, address: Address, reader: CountingReader, writer: asyncio.StreamWriter
    ) -> None:
        self.address = address
        self._reader = reader
        self._writer = writer
        limit_receive_size(writer.transport)
        self._h11 = h11.Connection(h11.CLIENT)
        self.progress = Progress.NOT_SENT
        self.response: h11.Response | None = None
        self._is_body_ended = False
        self._is_head_request = False
        self._chunked: ChunkedDecoder | None = None

    def is_usable(self) -> bool:
        """Return whether a request may be sent.

        Unsolicited bytes, such as a duplicate of the last response, would be taken for
        the next response, so a connection with unread bytes is not usable.
        """
        transport = self._writer.transport
        if self._reader.at_eof() or transport.is_closing():
            return False
        return not self._reader.has_unread and is_receive_buffer_empty(transport)

    def send_request(
        self, method: str, target: str, headers: HeaderFields, body: bytes
    ) -> None:
        """Write a whole request."""
        fields = list(headers.items()) if isinstance(headers, Mapping) else headers
        fields = [("content-length", str(len(body))), *fields]
        if not any(name in ("host", b"host") for name, _ in fields):
            fields.insert(0, ("host", str(self.address)))
        data = self._h11.send(h11.Request(method=method, target=target, headers=fields))
        if body:
            data += self._h11.send(h11.Data(data=body))
        data += self._h11.send(h11.EndOfMessage())
        self._is_head_request = method == "HEAD"
        self.progress = Progress.SENT
        # No writer.drain(): a target may respond before it has read the body.
        self._writer.write(data)

    async def _next_event(self):
        while True:
            event = self._h11.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._h11.receive_data(await self._reader.read(READ_BYTES))

    async def read_head(self) -> None:
        """Read the head of the final response and skip interim ones.

        :raises ConnectionError: if the connection ends, or there are too many interim
            responses.
        :raises h11.RemoteProtocolError: if the head is no valid answer.
        """
        interim_responses = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                check_head(event)
                self.response = event
                self._select_body_decoder()
                return
            if isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("closed before the response")
            if event is h11.PAUSED:
                raise h11.RemoteProtocolError("another protocol in place of an answer")
            interim_responses += 1
            if interim_responses > MAX_INTERIM_RESPONSES:
                raise ReplyTooLargeError("too many interim answers")

    def _select_body_decoder(self) -> None:
        """Use :class:`ChunkedDecoder` instead of h11 for a chunked body."""
        response = self.response
        coding = dict(response.headers).get(b"transfer-encoding", b"").lower()
        has_body = (
            not self._is_head_request and response.status_code not in BODILESS_STATUSES
        )
        if coding == b"chunked" and has_body and response.http_version == b"1.1":
            self._chunked = ChunkedDecoder()

    async def read_body(self) -> bytes | None:
        """Wait for body bytes and return all received ones; ``None`` at the end.

        :raises ConnectionError: if the connection ends before the body does, or the
            framing of the body is malformed.
        """
        if self._chunked is not None:
            return await self._read_chunks(self._chunked)
        return await self._read_events()

    async def _read_chunks(self, decoder: ChunkedDecoder) -> bytes | None:
        # Bytes received together with the head are still in the buffer of h11.
        body = b"" if decoder.is_started else decoder.feed(self._h11.trailing_data[0])
        while not body and not decoder.is_ended:
            data = await self._reader.read(READ_BYTES)
            if not data:
                raise ConnectionResetError("closed before the end of the response")
            body = decoder.feed(data)
        return body or None

    async def _read_events(self) -> bytes | None:
        parts: list[bytes] = []
        while not self._is_body_ended:
            event = self._next_body_event()
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._is_body_ended = True
            elif event is not h11.NEED_DATA:
                raise ConnectionResetError("closed before the end of the response")
            elif parts:
                break
            else:
                self._h11.receive_data(await self._reader.read(READ_BYTES))
        return b"".join(parts) if parts else None

    def _next_body_event(self):
        try:
            return self._h11.next_event()
        except h11.RemoteProtocolError as error:
            raise ConnectionResetError(str(error)) from None

    def prepare_reuse(self) -> bool:
        """Reset the state for the next request; return whether reuse is possible."""
        if self._writer.transport.get_write_buffer_size():
            return False
        if not self.is_usable() or not self._start_next_cycle():
            return False
        self.progress = Progress.NOT_SENT
        self.response = None
        self._is_body_ended = False
        return True

    def _start_next_cycle(self) -> bool:
        if self._chunked is not None:
            options = dict(self.response.headers).get(b"connection", b"").lower()
            if not self._chunked.is_ended or self._chunked.rest or b"close" in options:
                return False
            # h11 has not seen the end of the body, so it cannot start its next cycle.
            self._chunked = None
            self._h11 = h11.Connection(h11.CLIENT)
            return True
        if (self._h11.our_state, self._h11.their_state) != (h11.DONE, h11.DONE):
            return False
        if self._h11.trailing_data[0]:
            return False
        self._h11.start_next_cycle()
        return True

    def close(self) -> None:
        """Abort the connection."""
        # An orderly close would wait for a peer that no longer reads.
        self._writer.transport.abort()
