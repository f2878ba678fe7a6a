"""Helpers for asyncio transports and streams of the client and the server."""

import asyncio
import fcntl
import select
import socket
import ssl
import struct
import termios
from collections.abc import Callable

RECEIVE_BYTES = 16_384


def limit_receive_size(transport: asyncio.WriteTransport) -> None:
    """Make the transport receive at most :data:`RECEIVE_BYTES` at a time.

    The selector transport allocates its ``max_size`` of 256 KB for each receive call;
    allocations of that size go to the operating system and cost more than the call.

    .. versionadded:: 0.1
    """
    if hasattr(transport, "max_size"):
        transport.max_size = RECEIVE_BYTES


def disable_nagle(transport: asyncio.WriteTransport) -> None:
    """Set ``TCP_NODELAY``, so that small writes do not wait for acknowledgements.

    asyncio sets it only for sockets created with an explicit protocol number, which
    sockets accepted from a listening socket passed to asyncio lack.

    .. versionadded:: 0.5
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.family in (socket.AF_INET, socket.AF_INET6):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class CountingReader(asyncio.StreamReader):
    """Stream reader that counts its unread bytes.

    .. versionadded:: 0.4
    """

    _unread_bytes = 0

    def feed_data(self, data: bytes) -> None:
        """Buffer bytes received by the transport."""
        self._unread_bytes += len(data)
        super().feed_data(data)

    async def read(self, n: int = -1) -> bytes:
        """Wait until bytes are available and return at most ``n`` of them."""
        data = await super().read(n)
        self._unread_bytes -= len(data)
        return data

    @property
    def has_unread(self) -> bool:
        """Return whether received bytes have not been read."""
        return self._unread_bytes > 0


def create_server_protocol(
    accept: Callable[[CountingReader, asyncio.StreamWriter], None], limit: int
) -> asyncio.StreamReaderProtocol:
    """Return the protocol for one accepted connection.

    :param accept: called with the streams of the connection.
    :param limit: buffer size of the reader in bytes.

    .. versionadded:: 0.4
    """
    loop = asyncio.get_running_loop()
    reader = CountingReader(limit=limit, loop=loop)
    return asyncio.StreamReaderProtocol(reader, accept, loop=loop)


async def connect(
    host: str, port: int, tls: ssl.SSLContext | None, limit: int
) -> tuple[CountingReader, asyncio.StreamWriter]:
    """Open a connection, as ``asyncio.open_connection`` does.

    :param limit: buffer size of the reader in bytes.

    .. versionadded:: 0.4
    """
    loop = asyncio.get_running_loop()
    reader = CountingReader(limit=limit, loop=loop)
    protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
    transport, _ = await loop.create_connection(lambda: protocol, host, port, ssl=tls)
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)


def is_receive_buffer_empty(transport: asyncio.WriteTransport) -> bool:
    """Return whether the kernel holds no received bytes and no end of the stream.

    The event loop reads them only in its next iteration, so they may not have reached
    the stream reader. ``False`` also if the transport has no open socket.

    .. versionadded:: 0.4
    """
    sock = transport.get_extra_info("socket")
    return sock is not None and sock.fileno() >= 0 and not is_readable(sock.fileno())


def is_readable(descriptor: int) -> bool:
    """Return whether a read from or an accept on a socket would not block.

    .. versionadded:: 0.4
    """
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))


def unacknowledged_bytes(transport: asyncio.WriteTransport) -> int:
    """Return the number of written bytes that the peer's host has not confirmed.

    They are lost if the process ends: those that the transport still holds for certain,
    those in the kernel where the network of the process ends with it.

    .. versionadded:: 0.9
    """
    buffered = transport.get_write_buffer_size()
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return buffered
    try:
        # Linux counts in SIOCOUTQ, which has the number of TIOCOUTQ.
        raw = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0" * 4)
    except OSError:
        # Only the kernel of a host that has no such call is asked in vain.
        return buffered
    return buffered + struct.unpack("i", raw)[0]
