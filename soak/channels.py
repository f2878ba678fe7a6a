"""Connections of callers that record each request and all that comes back."""

import asyncio
from dataclasses import dataclass, field

import h11

READ_BYTES = 65_536
CONNECT_SECONDS = 1.0
# A time after which no request may still be unanswered, in any of its states.
ANSWER_LIMIT_SECONDS = 14.0


@dataclass
class Exchange:
    """One request and what its caller received; times are of the event loop.

    :param key: API key that it carries.
    :param deadline_ms: time that the caller says it will wait.
    :ivar gateway: name of the gateway.
    :ivar whole_at: time at which its last byte was written; ``None`` if it was not.
    :ivar due_from: time from which it may be served: when it was whole, or when the
        one before it on its connection ended if that was later.
    :ivar status: status of the answer; ``None`` if there was none.
    :ivar ended_at: time at which the answer or the connection ended.
    :ivar end: how: ``answer``, ``closed``, ``reset``, ``given up`` or ``malformed``.
    :ivar is_after_close: whether an answer before it on its connection said ``close``.
    :ivar previous: the request before it on its connection.
    :ivar opened_at: time at which its connection was opened.
    """

    id: str
    path: str
    key: str
    method: str
    body: bytes
    deadline_ms: int
    events: int
    is_chunked: bool = False
    gateway: str = ""
    is_half_closed: bool = False
    is_abandoned: bool = False
    is_after_close: bool = False
    previous: "Exchange | None" = None
    opened_at: float = 0.0
    whole_at: float | None = None
    due_from: float = 0.0
    status: int | None = None
    headers: dict[str, str] = field(default_factory=dict)
    answer: bytes = b""
    ended_at: float = 0.0
    end: str = ""
    detail: str = ""

    @property
    def kind(self) -> str:
        """Return the first part of the path."""
        return self.path.split("/")[1]

    def fields(self, host: str) -> list[tuple[str, str]]:
        """Return the header fields of the request."""
        body = (
            ("transfer-encoding", "chunked")
            if self.is_chunked
            else ("content-length", str(len(self.body)))
        )
        return [
            ("host", host),
            ("heathershunt-request-id", self.id),
            ("heathershunt-deadline-ms", str(self.deadline_ms)),
            ("authorization", f"Token {self.key}"),
            ("heathershunt-token-counts", f"100,{self.events * 2}"),
            body,
        ]


class Channel:
    """One connection to a gateway, for requests one after the other or pipelined.

    :param host: value of the ``Host`` header field.
    :ivar is_open: whether the gateway has not closed it, nor said that it will.
    :ivar stray: bytes that came while no request was waiting for an answer.
    """

    def __init__(self, gateway: str, host: str) -> None:
        self.gateway = gateway
        self.is_open = False
        self.stray = b""
        self._host = host
        self._last: Exchange | None = None
        self._waiting: list[tuple[Exchange, h11.Connection, asyncio.Event]] = []
        self._said_close = False
        self._last_end = 0.0
        self._opened_at = 0.0
        self._reading: asyncio.Task | None = None

    async def open(self, port: int) -> bool:
        """Connect; return whether that succeeded."""
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                self._reader, self._writer = await asyncio.open_connection(
                    "127.0.0.1", port
                )
        except (OSError, TimeoutError):
            return False
        self.is_open = True
        self._opened_at = asyncio.get_running_loop().time()
        self._reading = asyncio.create_task(self._read())
        return True

    async def begin(
        self, exchange: Exchange, pieces: int = 1, pause_seconds: float = 0.0
    ) -> asyncio.Event:
        """Write a request, its body in pieces; return the event of its end."""
        connection = h11.Connection(h11.CLIENT)
        ended = asyncio.Event()
        exchange.gateway = self.gateway
        exchange.opened_at = self._opened_at
        exchange.is_after_close = self._said_close
        exchange.previous, self._last = self._last, exchange
        self._waiting.append((exchange, connection, ended))
        if self._reading.done():
            self._end_all("closed", "it was closed before the request")
            return ended
        request = h11.Request(
            method=exchange.method,
            target=exchange.path,
            headers=exchange.fields(self._host),
        )
        data = connection.send(request)
        step = max(1, -(-len(exchange.body) // pieces))
        for start in range(0, len(exchange.body), step):
            part = exchange.body[start : start + step]
            data += connection.send(h11.Data(data=part))
            if start + step < len(exchange.body):
                self._writer.write(data)
                data = b""
                await asyncio.sleep(pause_seconds)
            if ended.is_set():
                return ended
        self._writer.write(data + connection.send(h11.EndOfMessage()))
        if not ended.is_set():
            exchange.whole_at = asyncio.get_running_loop().time()
            exchange.due_from = max(exchange.whole_at, self._last_end)
        return ended

    async def wait(self, exchange: Exchange, ended: asyncio.Event) -> None:
        """Wait until a request has ended; give it up after a limit."""
        try:
            async with asyncio.timeout(ANSWER_LIMIT_SECONDS):
                await ended.wait()
        except TimeoutError:
            self._end_all("given up", "no end")
            self.close()

    def half_close(self) -> None:
        """Close the caller's side."""
        for exchange, _, _ in self._waiting:
            exchange.is_half_closed = True
        try:
            self._writer.write_eof()
        except OSError:
            # The gateway has reset the connection, which its reader reports.
            pass

    def abandon(self) -> None:
        """Close the connection though requests are waiting."""
        for exchange, _, _ in self._waiting:
            exchange.is_abandoned = True
        self._end_all("given up", "the caller left")
        self.close()

    def close(self) -> None:
        """Close the connection."""
        self.is_open = False
        if self._reading is not None:
            self._reading.cancel()
            self._writer.close()

    async def _read(self) -> None:
        try:
            while data := await self._reader.read(READ_BYTES):
                self._receive(data)
        except (OSError, asyncio.IncompleteReadError) as error:
            self._end_all("reset", repr(error))
        except h11.RemoteProtocolError as error:
            self._end_all("malformed", f"{error} in {data[:200]!r}")
        else:
            self._end_all("closed", "")
        self.is_open = False

    def _receive(self, data: bytes) -> None:
        while data:
            if not self._waiting:
                self.stray += data
                return
            data = self._receive_answer(data)

    def _receive_answer(self, data: bytes) -> bytes:
        """Pass bytes to the first waiting request; return those after its answer."""
        exchange, connection, ended = self._waiting[0]
        connection.receive_data(data)
        while True:
            event = connection.next_event()
            if isinstance(event, h11.Response):
                exchange.status = event.status_code
                exchange.headers = {
                    name.decode(): value.decode("latin-1")
                    for name, value in event.headers
                }
                self._check_framing(exchange)
            elif isinstance(event, h11.Data):
                exchange.answer += event.data
            elif isinstance(event, h11.EndOfMessage):
                self._waiting.pop(0)
                self._end(exchange, ended, "answer", "")
                return connection.trailing_data[0]
            else:
                return b""

    def _check_framing(self, exchange: Exchange) -> None:
        if exchange.headers.get("connection", "").lower() == "close":
            self._said_close = True
            self.is_open = False
            for waiting, _, _ in self._waiting[1:]:
                waiting.is_after_close = True
        names = {"content-length", "transfer-encoding"}
        if not names & exchange.headers.keys():
            raise h11.RemoteProtocolError("an answer without a length or chunks")

    def _end(self, exchange: Exchange, ended, end: str, detail: str) -> None:
        exchange.ended_at = self._last_end = asyncio.get_running_loop().time()
        exchange.end, exchange.detail = end, detail
        if self._waiting and self._waiting[0][0].whole_at is not None:
            self._waiting[0][0].due_from = max(
                self._waiting[0][0].whole_at, self._last_end
            )
        ended.set()

    def _end_all(self, end: str, detail: str) -> None:
        while self._waiting:
            exchange, _, ended = self._waiting.pop(0)
            self._end(exchange, ended, end, detail)
