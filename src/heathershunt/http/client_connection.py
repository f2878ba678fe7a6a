"""One connection of the client: parsing by h11, one request after the other."""

import asyncio
from collections.abc import Mapping, Sequence

import h11

from heathershunt.http.addresses import Address
from heathershunt.http.chunked import ChunkedDecoder
from heathershunt.http.transports import (
    CountingReader,
    is_receive_buffer_empty,
    limit_receive_size,
)
from heathershunt.verdict import Progress

READ_BYTES = 65536
BODILESS_STATUSES = (204, 304)
# Interim answers (1xx) before the final one.
MAX_INTERIM_RESPONSES = 16

HeaderFields = Mapping[str, str] | Sequence[tuple[bytes, bytes]]


class ReplyTooLargeError(ConnectionError):
    """A reply that goes on beyond its bound.

    .. versionadded:: 0.4
    """


class ClientConnection:
    """One connection to a target.

    :ivar progress: how far the present request travelled.
    :ivar response: head of its response, ``None`` before it has come.

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

        Bytes that nobody asked for, such as a second copy of the last answer, would
        pass for the next answer.
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
        # A target may answer before it has read the body, so this does not wait.
        self._writer.write(data)

    async def _next_event(self):
        while True:
            event = self._h11.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._h11.receive_data(await self._reader.read(READ_BYTES))

    async def read_head(self) -> None:
        """Read the head of the response, past interim ones.

        :raises ConnectionError: if the connection ends, or there are too many of them.
        """
        interim_responses = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                self.response = event
                self._select_body_decoder()
                return
            if isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("closed before the response")
            interim_responses += 1
            if interim_responses > MAX_INTERIM_RESPONSES:
                raise ReplyTooLargeError("too many interim answers")

    def _select_body_decoder(self) -> None:
        """Take a chunked body out of the hands of h11."""
        response = self.response
        coding = dict(response.headers).get(b"transfer-encoding", b"").lower()
        has_body = (
            not self._is_head_request and response.status_code not in BODILESS_STATUSES
        )
        if coding == b"chunked" and has_body and response.http_version == b"1.1":
            self._chunked = ChunkedDecoder()

    async def read_body(self) -> bytes | None:
        """Return all body bytes that have arrived, joined; ``None`` at the end."""
        if self._chunked is not None:
            return await self._read_chunks(self._chunked)
        return await self._read_events()

    async def _read_chunks(self, decoder: ChunkedDecoder) -> bytes | None:
        # What arrived together with the head is still in the buffer of h11.
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
        """Prepare for the next request; return whether that is possible."""
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
            # h11 has not seen the end of the body, so it starts anew.
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
        # An orderly close would wait for a peer that takes no bytes any more.
        self._writer.transport.abort()
