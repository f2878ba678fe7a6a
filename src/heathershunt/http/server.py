"""HTTP/1.1 server with limits on requests and connections; a task per connection."""

import asyncio
import socket
import ssl
from collections.abc import Callable
from functools import partial

import logbook

from heathershunt.http.connection import Connection, Handler
from heathershunt.http.cuts import CutHandler, log_cut
from heathershunt.http.messages import Request
from heathershunt.http.reading import READ_BYTES
from heathershunt.http.requests import HttpLimits
from heathershunt.http.transports import (
    create_server_protocol,
    disable_nagle,
    is_readable,
)
from heathershunt.verdict import Refusal

log = logbook.Logger("heathershunt.http")

# Connections that the kernel queues until the listener accepts them.
LISTEN_BACKLOG = 1024
# Time for which a connection beyond the limit may still send.
OVERLOAD_LINGER_MS = 200


class HttpServer:
    """Listener that passes complete requests to a handler.

    :param handler: coroutine function that returns the response to a request.
    :param limits: limits on requests and connections.
    :param cancels_handlers: cancel the handler of a request, and its stream, as soon as
        the caller has closed the connection; or whether to do so for a request, as the
        watch of a connection costs more than a short handler.
    :param on_cut: called for each request whose connection closes before the end of
        its answer.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        handler: Handler,
        limits: HttpLimits | None = None,
        *,
        cancels_handlers: bool | Callable[[Request], bool] = False,
        on_cut: CutHandler = log_cut,
    ) -> None:
        self._on_cut = on_cut
        self._handler = handler
        self.limits = limits or HttpLimits()
        self._cancels_handler: Callable[[Request], bool] = (
            cancels_handlers
            if callable(cancels_handlers)
            else lambda request: cancels_handlers
        )
        self._server: asyncio.Server | None = None
        self._listen_socket: socket.socket | None = None
        self._tls: ssl.SSLContext | None = None
        self._connections: set[Connection] = set()
        self._draining = False
        self._tasks: set[asyncio.Task] = set()
        self._pending_accepts: set[asyncio.Task] = set()

    @property
    def port(self) -> int:
        """Return the bound TCP port."""
        return self._server.sockets[0].getsockname()[1]

    async def start(
        self, host: str, port: int, tls: ssl.SSLContext | None = None
    ) -> None:
        """Bind the listening socket and start accepting connections.

        :param port: TCP port; 0 lets the kernel choose, see :attr:`port`.
        :raises OSError: if the socket cannot be bound.
        """
        self._tls = tls
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._listen_socket = socket.create_server(
            (host, port), family=family, backlog=LISTEN_BACKLOG
        )
        self._listen_socket.setblocking(False)
        self._server = await asyncio.get_running_loop().create_server(
            self._create_protocol,
            sock=self._listen_socket,
            ssl=tls,
            backlog=LISTEN_BACKLOG,
        )

    def _create_protocol(self) -> asyncio.StreamReaderProtocol:
        return create_server_protocol(self._accept, READ_BYTES)

    def _accept(self, reader, writer) -> None:
        """Serve a connection in its own task.

        If this were a coroutine function, asyncio would create the task and report it
        as failed when the shutdown of the process cancels it.
        """
        disable_nagle(writer.transport)
        task = asyncio.create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader, writer) -> None:
        connection = Connection(
            reader,
            writer,
            self._handler,
            lambda: self.limits,
            self._cancels_handler,
            self._on_cut,
        )
        if len(self._connections) >= self.limits.connections:
            await connection.reject(
                503,
                "The listener has reached its connection limit.",
                OVERLOAD_LINGER_MS,
            )
            return
        self._connections.add(connection)
        try:
            await connection.serve(lambda: self._draining)
            await connection.delivery.wait_written()
        finally:
            self._connections.discard(connection)

    @property
    def active_requests(self) -> int:
        """Return the number of requests being served."""
        return sum(connection.is_busy for connection in self._connections)

    @property
    def pending_connections(self) -> int:
        """Return the number of connections that may still need the process in a drain.

        These have a request that is being served or was partly received, or an answer
        that has not reached the caller's host, or are new and may still send their
        first request.
        """
        connections = sum(item.is_pending for item in self._connections)
        return connections + len(self._pending_accepts)

    def drain(self) -> None:
        """Close idle connections now and busy ones after their response.

        To be called again until no connection is pending: one whose answer had not
        reached its caller is idle later. The listening socket stays open, so that late
        callers get a response.
        """
        self._draining = True
        for connection in list(self._connections):
            connection.close_if_idle()

    def stop_accepting(self) -> None:
        """Close the listening socket; open connections stay open.

        Closing it resets the connections in its backlog, so they are accepted first.
        """
        while is_readable(self._listen_socket.fileno()):
            try:
                sock, _ = self._listen_socket.accept()
            except OSError as error:
                log.warning("cannot accept a connection from the backlog: {}", error)
                break
            self._accept_socket(sock)
        self._server.close()

    def _accept_socket(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        accepting = loop.create_task(
            loop.connect_accepted_socket(self._create_protocol, sock, ssl=self._tls)
        )
        self._pending_accepts.add(accepting)
        accepting.add_done_callback(partial(self._on_accepted, sock))

    def _on_accepted(self, sock: socket.socket, accepting: asyncio.Task) -> None:
        self._pending_accepts.discard(accepting)
        if not accepting.cancelled() and accepting.exception() is not None:
            log.warning(
                "cannot serve a connection from the backlog: {}", accepting.exception()
            )
            sock.close()

    async def close(self) -> None:
        """Close the listening socket and abort the open connections."""
        self.close_now()

    def close_now(self, refusal: Refusal | None = None) -> None:
        """Do the same as :meth:`close`, without a coroutine.

        :param refusal: answer to the requests whose answer has not begun; without one,
            their connections close.
        """
        if self._server is None:
            return
        self._server.close()
        for connection in list(self._connections):
            if refusal is None:
                connection.abort()
            else:
                connection.refuse_and_close(refusal)
