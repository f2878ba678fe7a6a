"""Watch for the end of a connection while one of its requests is served."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from heathershunt.http.reading import READ_BYTES
from heathershunt.http.transports import CountingReader

# Pipelined bytes read while a request is served; beyond this, reading stops.
MAX_PIPELINED_BYTES = 262_144


@asynccontextmanager
async def watching_peer(
    reader: CountingReader,
    keep: Callable[[bytes], None],
    on_closed: Callable[[], None],
) -> AsyncIterator[None]:
    """Watch for the end of a connection while the block runs.

    :param keep: called with received bytes, which belong to pipelined requests.
    :param on_closed: called when the peer has closed the connection.

    .. versionadded:: 0.8
    """
    watcher = asyncio.create_task(_watch(reader, keep, on_closed))
    try:
        yield
    finally:
        # Only one task may read at a time: the watcher must end before the next request
        # is read.
        watcher.cancel()
        await asyncio.wait({watcher})


async def _watch(
    reader: CountingReader,
    keep: Callable[[bytes], None],
    on_closed: Callable[[], None],
) -> None:
    pipelined_bytes = 0
    while pipelined_bytes < MAX_PIPELINED_BYTES:
        try:
            data = await reader.read(READ_BYTES)
        except ConnectionError:
            data = b""
        if not data:
            on_closed()
            return
        pipelined_bytes += len(data)
        keep(data)
