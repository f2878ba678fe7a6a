"""HTTP/1.1 client that reports how far a failed request got."""

import asyncio
import errno
import json
import ssl
from collections.abc import AsyncIterator, Callable, Mapping
from dataclasses import dataclass
from typing import Any

import h11
import msgspec
from result import Err, Ok, Result

from heathershunt.http.addresses import Address
from heathershunt.http.client_connection import (
    READ_BYTES,
    ClientConnection,
    HeaderFields,
    ReplyTooLargeError,
)
from heathershunt.http.correlation import (
    CORRELATION_HEADER,
    WrongAnswerError,
    next_correlation_id,
)
from heathershunt.http.transports import connect
from heathershunt.verdict import Progress

MAX_IDLE_CONNECTIONS_PER_ADDRESS = 32
CONNECT_TIMEOUT_MS = 1000
REQUEST_TIMEOUT_MS = 10_000
# A connection that was not established for this long hangs, whatever ended the wait. A
# lost packet costs a second, and sound links need a few milliseconds.
HANG_MS = 90
# Errors that show a fault of the way to an address. Others, such as too many open
# files, are faults of this process.
UNREACHABLE_ERRORS = frozenset(
    {errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ETIMEDOUT, errno.EHOSTDOWN}
)
EXCHANGE_ERRORS = (OSError, TimeoutError, ValueError, h11.RemoteProtocolError)


# Values of the store have up to 1 MB; the longest replies are VM lists and the history
# of the bundle's root.
MAX_JSON_BYTES = 16_777_216
# Default limit of a response body.
MAX_BODY_BYTES = 4_194_304


@dataclass(frozen=True)
class TransportError:
    """A request that got no complete response.

    :param progress: ``NOT_SENT`` only if no byte was written to a socket.
    :param detail: method, address and cause of the failure.
    :param is_refused: the address refused the connection, so no process listens there.

    .. versionadded:: 0.1
    """

    progress: Progress
    detail: str
    is_refused: bool = False


class ClientResponse:
    """Response head, and a body that can be read once.

    :ivar fields: all header fields in the received order, including repeated ones, with
        names in lower case.
    :ivar headers: the same by name; of repeated ones, the last.

    .. versionadded:: 0.1
    """

    def __init__(self, client: "HttpClient", connection: ClientConnection) -> None:
        self._client = client
        self._connection = connection
        self._is_read = False
        self.status = connection.response.status_code
        self.fields = tuple(
            (name.decode("ascii"), value.decode("latin-1"))
            for name, value in connection.response.headers
        )
        self.headers: Mapping[str, str] = dict(self.fields)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield body bytes as they arrive.

        :raises ConnectionError: if the connection ends before the body does.
        """
        while (data := await self.read_some()) is not None:
            yield data

    async def read_some(self) -> bytes | None:
        """Return the next received bytes of the body, ``None`` at its end.

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
        """Return the body decoded from JSON; raise ``ValueError`` if malformed."""
        return json.loads(await self.read())

    def close(self) -> None:
        """Abort the connection, even if the body has not been read to its end."""
        self._connection.close()

    def close_unless_read(self) -> None:
        """Abort the connection if the body was not read to its end."""
        if not self._is_read:
            self._connection.close()


class HttpClient:
    """Client with a pool of idle connections for each address.

    :param tls: context for TLS connections, or ``None`` for plain TCP.
    :ivar on_connection: called with the address of each request or check on a new
        connection, and whether the connection was established.

    .. versionadded:: 0.1
    """

    def __init__(self, tls: ssl.SSLContext | None = None) -> None:
        self._tls = tls
        self.on_connection: Callable[[Address, bool], None] = (
            lambda address, is_established: None
        )
        self._idle_by_address: dict[Address, list[ClientConnection]] = {}

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
        """Send a request and return the response once its head has been received.

        :param headers: a mapping, or pairs of which several may have the same name.
        :param timeout_ms: time limit for connecting and receiving the response head.
        :param connect_ms: time limit for opening a new connection.
        :param fresh: use a new connection even if an idle one is open.
        :param may_send: called right before the first byte is written; if it returns
            ``False``, nothing is sent. Prevents a process that was paused while
            connecting from sending an outdated request.
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
                self.close_idle(address)
            reason = str(error) or type(error).__name__
            is_refused = isinstance(error, ConnectionRefusedError)
            detail = f"{method} {address}: {reason}"
            return Err(TransportError(progress, detail, is_refused))
        except BaseException:
            if connection is not None:
                connection.close()
            raise

    async def request_json(
        self, address: Address, method: str, target: str, payload: Any = None, **options
    ) -> Result[tuple[int, Any], TransportError]:
        """Send JSON and return the status and the decoded body, ``None`` if empty.

        :param options: as for :meth:`exchange`.
        """
        body = b"" if payload is None else json.dumps(payload).encode()
        outcome = await self.exchange(address, method, target, body=body, **options)
        if isinstance(outcome, Err):
            return outcome
        status, raw = outcome.ok_value
        try:
            # Unlike json, msgspec rejects NaN and lone surrogates, which would raise
            # errors of other types where the response is validated.
            return Ok((status, msgspec.json.decode(raw) if raw else None))
        except (ValueError, RecursionError) as error:
            return Err(TransportError(Progress.SENT, f"{method} {address}: {error}"))

    async def exchange(
        self,
        address: Address,
        method: str,
        target: str,
        *,
        headers: HeaderFields | None = None,
        limit: int = MAX_JSON_BYTES,
        correlated: bool = False,
        on_head: Callable[[ClientResponse], None] | None = None,
        **options,
    ) -> Result[tuple[int, bytes], TransportError]:
        """Send a request and return the status and the whole body.

        :param limit: largest body in bytes.
        :param correlated: reject a response that does not repeat the id of this
            request. Only for servers of this project whose handlers are wrapped by
            :func:`~heathershunt.http.correlation.correlated`.
        :param on_head: called with the response before its body is read.
        :param options: as for :meth:`request`; the time limit includes the body.
        """
        timeout_ms = options.get("timeout_ms", REQUEST_TIMEOUT_MS)
        correlation_id = next_correlation_id() if correlated else None
        if correlation_id is not None:
            headers = {**dict(headers or {}), CORRELATION_HEADER: correlation_id}
        response = None
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                outcome = await self.request(
                    address, method, target, headers=headers, **options
                )
                if isinstance(outcome, Err):
                    return outcome
                response = outcome.ok_value
                if correlation_id not in (
                    None,
                    response.headers.get(CORRELATION_HEADER),
                ):
                    raise WrongAnswerError("the answer is to another request")
                if on_head is not None:
                    on_head(response)
                return Ok((response.status, await response.read(limit)))
        except EXCHANGE_ERRORS as error:
            reason = str(error) or type(error).__name__
            detail = f"{method} {address}: {reason}"
            return Err(TransportError(Progress.SENT, detail))
        finally:
            if response is not None:
                response.close_unless_read()

    async def accepts(self, address: Address, connect_ms: float) -> bool | None:
        """Return whether a process accepts connections at an address.

        :return: ``False`` if a connection is refused; ``None`` if that is not known.
        """
        try:
            connection = await self._connect(address, True, connect_ms)
        except ConnectionRefusedError:
            return False
        except (OSError, TimeoutError):
            return None
        connection.close()
        return True

    async def _connect(
        self, address: Address, fresh: bool, connect_ms: float
    ) -> ClientConnection:
        """Return a connection, and report how the attempt to open a new one ended."""
        if not fresh:
            return await self._acquire(address, fresh, connect_ms)
        now = asyncio.get_running_loop().time
        started = now()
        try:
            connection = await self._acquire(address, fresh, connect_ms)
        except BaseException as error:
            waited_ms = (now() - started) * 1000
            if _shows_fault(error, waited_ms):
                self.on_connection(address, False)
            raise
        self.on_connection(address, True)
        return connection

    async def _acquire(
        self, address: Address, fresh: bool, connect_ms: float = CONNECT_TIMEOUT_MS
    ) -> ClientConnection:
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
        return ClientConnection(address, reader, writer)

    def release(self, connection: ClientConnection) -> None:
        """Return a connection to the pool after its response has been read."""
        idle = self._idle_by_address.setdefault(connection.address, [])
        if len(idle) < MAX_IDLE_CONNECTIONS_PER_ADDRESS and connection.prepare_reuse():
            idle.append(connection)
        else:
            connection.close()

    def close_idle(self, address: Address) -> None:
        """Close the idle connections to an address, which may no longer respond."""
        for connection in self._idle_by_address.pop(address, []):
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle_by_address):
            self.close_idle(address)


def _shows_fault(error: BaseException, waited_ms: float) -> bool:
    """Return whether an attempt to connect shows a fault of the way to the address.

    :param waited_ms: duration of the attempt in milliseconds.
    """
    if isinstance(error, ConnectionError):
        return True
    if isinstance(error, OSError) and error.errno in UNREACHABLE_ERRORS:
        return True
    is_ended = isinstance(error, (TimeoutError, asyncio.CancelledError))
    return is_ended and waited_ms >= HANG_MS
