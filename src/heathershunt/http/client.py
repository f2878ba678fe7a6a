"""HTTP/1.1 client that reports how far a failed request travelled."""

import asyncio
import json
import re
import ssl
from collections.abc import AsyncIterator, Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import h11
import msgspec
from result import Err, Ok, Result

from heathershunt.http.chunked import ChunkedDecoder
from heathershunt.http.transports import (
    CountingReader,
    connect,
    is_quiet,
    limit_reads,
)
from heathershunt.verdict import Progress

READ_BYTES = 65536
IDLE_CONNECTIONS_PER_ADDRESS = 32
CONNECT_TIMEOUT_MS = 1000
REQUEST_TIMEOUT_MS = 10_000
BODILESS_STATUSES = (204, 304)
EXCHANGE_ERRORS = (OSError, TimeoutError, ValueError, h11.RemoteProtocolError)


# Connecting to any other text raises errors of many types.
ADDRESS_TEXT = re.compile(
    r"(?P<host>[0-9A-Za-z_:\[\]-]{1,63}(\.[0-9A-Za-z_-]{1,63}){0,9}):(?P<port>[0-9]{1,5})"
)
MAX_PORT = 65_535
# Values of the store have up to 1 MB; the longest replies are lists of VMs and the
# history of the bundle's root.
MAX_JSON_BYTES = 16_777_216
# Body of a reply where the caller of the client names no other limit.
MAX_BODY_BYTES = 4_194_304
# Interim answers (1xx) before the final one.
MAX_INTERIM_ANSWERS = 16

HeaderFields = Mapping[str, str] | Sequence[tuple[bytes, bytes]]


@dataclass(frozen=True)
class Address:
    """IP address and port of a listener.

    .. versionadded:: 0.1
    """

    host: str
    port: int

    @classmethod
    def from_text(cls, text: str) -> "Address":
        """Parse ``host:port``; raise ``ValueError`` if it is something else."""
        found = ADDRESS_TEXT.fullmatch(text)
        if found is None or int(found["port"]) > MAX_PORT:
            raise ValueError(f"{text!r} is not of the form host:port")
        return cls(found["host"], int(found["port"]))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True)
class TransportError:
    """A request that got no complete response.

    :param progress: ``NOT_SENT`` only if no byte was handed to a socket.
    :param detail: what failed.

    .. versionadded:: 0.1
    """

    progress: Progress
    detail: str


class ReplyTooLargeError(ConnectionError):
    """A reply that goes on beyond its bound.

    .. versionadded:: 0.4
    """


class ClientResponse:
    """Response head and a body that is read once.

    .. versionadded:: 0.1
    """

    def __init__(self, client: "HttpClient", connection: "_Connection") -> None:
        self._client = client
        self._connection = connection
        self._is_read = False
        self.status = connection.response.status_code
        self.headers: Mapping[str, str] = {
            name.decode("ascii"): value.decode("latin-1")
            for name, value in connection.response.headers
        }

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield body bytes as they arrive.

        :raises ConnectionError: if the connection ends before the body does.
        """
        while (data := await self.read_some()) is not None:
            yield data

    async def read_some(self) -> bytes | None:
        """Return what has arrived of the body, ``None`` at its end.

        :raises ConnectionError: if the connection ends before the body does.
        """
        data = await self._connection.read_body()
        if data is None and not self._is_read:
            self._is_read = True
            self._client.release(self._connection)
        return data

    async def read(self, limit: int = MAX_BODY_BYTES) -> bytes:
        """Return the rest of the body.

        :param limit: largest size in bytes.
        :raises ReplyTooLargeError: if the body is larger; the connection is then
            closed.
        :raises ConnectionError: if the connection ends before the body does.
        """
        pieces, size = [], 0
        async for piece in self.chunks():
            pieces.append(piece)
            size += len(piece)
            if size > limit:
                self.close()
                raise ReplyTooLargeError(f"the reply is larger than {limit} bytes")
        return b"".join(pieces)

    async def read_json(self) -> Any:
        """Return the body decoded from JSON; raise ``ValueError`` if it is not."""
        return json.loads(await self.read())

    def close(self) -> None:
        """Drop the connection, whatever is left of the body."""
        self._connection.close()

    def close_unless_read(self) -> None:
        """Drop the connection if the body was not read to its end."""
        if not self._is_read:
            self._connection.close()


class HttpClient:
    """Client with a pool of idle connections for each address.

    :param tls: context for TLS connections, or ``None`` for plain TCP.

    .. versionadded:: 0.1
    """

    def __init__(self, tls: ssl.SSLContext | None = None) -> None:
        self._tls = tls
        self._idle_by_address: dict[Address, list[_Connection]] = {}

    async def request(
        self,
        address: Address,
        method: str,
        target: str,
        *,
        headers: HeaderFields | None = None,
        body: bytes = b"",
        timeout_ms: float = REQUEST_TIMEOUT_MS,
        connect_ms: float = CONNECT_TIMEOUT_MS,
        fresh: bool = False,
        may_send: Callable[[], bool] | None = None,
    ) -> Result[ClientResponse, TransportError]:
        """Send a request and return its response head.

        :param headers: a mapping, or pairs where a name may come more than once.
        :param timeout_ms: time for the connection and the response head.
        :param connect_ms: time for a new connection.
        :param fresh: use a new connection even if an idle one is open.
        :param may_send: asked right before the first byte is written, so that a
            process that was paused while connecting sends nothing out of date.
        """
        connection = None
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                connection = await self._connect(address, fresh, connect_ms)
                if may_send is not None and not may_send():
                    raise TimeoutError("it is too late to send the request")
                connection.send_request(method, target, headers or {}, body)
                await connection.read_head()
                return Ok(ClientResponse(self, connection))
        except (OSError, TimeoutError, h11.RemoteProtocolError) as error:
            progress = Progress.NOT_SENT
            if connection is not None:
                progress = connection.progress
                connection.close()
            if isinstance(error, TimeoutError):
                self.forget(address)
            reason = str(error) or type(error).__name__
            return Err(TransportError(progress, f"{method} {address}: {reason}"))
        except BaseException:
            if connection is not None:
                connection.close()
            raise

    async def request_json(
        self, address: Address, method: str, target: str, payload: Any = None, **options
    ) -> Result[tuple[int, Any], TransportError]:
        """Send JSON and return the status and the decoded body."""
        body = b"" if payload is None else json.dumps(payload).encode()
        outcome = await self.exchange(address, method, target, body=body, **options)
        if isinstance(outcome, Err):
            return outcome
        status, raw = outcome.ok_value
        try:
            # Unlike json, msgspec refuses NaN and lone surrogates, which raise errors
            # of other types where the reply is checked.
            return Ok((status, msgspec.json.decode(raw) if raw else None))
        except (ValueError, RecursionError) as error:
            return Err(TransportError(Progress.SENT, f"{method} {address}: {error}"))

    async def exchange(
        self,
        address: Address,
        method: str,
        target: str,
        *,
        limit: int = MAX_JSON_BYTES,
        **options,
    ) -> Result[tuple[int, bytes], TransportError]:
        """Send a request and return the status and the whole body.

        :param limit: largest body in bytes.
        :param options: as for :meth:`request`; the time limit holds for the body too.
        """
        timeout_ms = options.get("timeout_ms", REQUEST_TIMEOUT_MS)
        response = None
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                outcome = await self.request(address, method, target, **options)
                if isinstance(outcome, Err):
                    return outcome
                response = outcome.ok_value
                return Ok((response.status, await response.read(limit)))
        except EXCHANGE_ERRORS as error:
            reason = str(error) or type(error).__name__
            detail = f"{method} {address}: {reason}"
            return Err(TransportError(Progress.SENT, detail))
        finally:
            if response is not None:
                response.close_unless_read()

    async def _connect(
        self, address: Address, fresh: bool, connect_ms: float = CONNECT_TIMEOUT_MS
    ) -> "_Connection":
        idle = self._idle_by_address.get(address, [])
        while idle and not fresh:
            connection = idle.pop()
            if connection.is_usable():
                return connection
            connection.close()
        async with asyncio.timeout(connect_ms / 1000):
            reader, writer = await connect(
                address.host, address.port, self._tls, READ_BYTES
            )
        return _Connection(address, reader, writer)

    def release(self, connection: "_Connection") -> None:
        """Take back a connection whose response has been read to its end."""
        idle = self._idle_by_address.setdefault(connection.address, [])
        if len(idle) < IDLE_CONNECTIONS_PER_ADDRESS and connection.reset():
            idle.append(connection)
        else:
            connection.close()

    def forget(self, address: Address) -> None:
        """Close the idle connections to an address, as they may be silent for good."""
        for connection in self._idle_by_address.pop(address, []):
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle_by_address):
            self.forget(address)


class _Connection:
    """One connection to a target."""

    def __init__(
        self, address: Address, reader: CountingReader, writer: asyncio.StreamWriter
    ) -> None:
        self.address = address
        self._reader = reader
        self._writer = writer
        limit_reads(writer.transport)
        self._h11 = h11.Connection(h11.CLIENT)
        self.progress = Progress.NOT_SENT
        self.response: h11.Response | None = None
        self._ended = False
        self._is_head = False
        self._chunked: ChunkedDecoder | None = None

    def is_usable(self) -> bool:
        """Return whether a request may be sent.

        Bytes that nobody asked for, such as a second copy of the last answer, would
        pass for the next answer.
        """
        transport = self._writer.transport
        if self._reader.at_eof() or transport.is_closing():
            return False
        return not self._reader.has_unread and is_quiet(transport)

    def send_request(
        self, method: str, target: str, headers: HeaderFields, body: bytes
    ) -> None:
        fields = list(headers.items()) if isinstance(headers, Mapping) else headers
        fields = [("content-length", str(len(body))), *fields]
        if not any(name in ("host", b"host") for name, _ in fields):
            fields.insert(0, ("host", str(self.address)))
        data = self._h11.send(h11.Request(method=method, target=target, headers=fields))
        if body:
            data += self._h11.send(h11.Data(data=body))
        data += self._h11.send(h11.EndOfMessage())
        self._is_head = method == "HEAD"
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
        interim_answers = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                self.response = event
                self._decode_chunks_here()
                return
            if isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("closed before the response")
            interim_answers += 1
            if interim_answers > MAX_INTERIM_ANSWERS:
                raise ReplyTooLargeError("too many interim answers")

    def _decode_chunks_here(self) -> None:
        """Take a chunked body out of the hands of h11."""
        response = self.response
        coding = dict(response.headers).get(b"transfer-encoding", b"").lower()
        has_body = not self._is_head and response.status_code not in BODILESS_STATUSES
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
        while not self._ended:
            event = self._next_body_event()
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._ended = True
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

    def reset(self) -> bool:
        """Prepare for the next request; return whether that is possible."""
        if self._writer.transport.get_write_buffer_size():
            return False
        if not self.is_usable() or not self._start_next_cycle():
            return False
        self.progress = Progress.NOT_SENT
        self.response = None
        self._ended = False
        return True

    def _start_next_cycle(self) -> bool:
        if self._chunked is not None:
            keep = dict(self.response.headers).get(b"connection", b"").lower()
            if not self._chunked.is_ended or self._chunked.rest or b"close" in keep:
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
        # An orderly close would wait for a peer that takes no bytes any more.
        self._writer.transport.abort()
