"""Whether what was written to a connection has reached the caller's host."""

import asyncio
from collections.abc import Callable

import logbook

from heathershunt.http.transports import unacknowledged_bytes

# Interval of the checks whether an answer has reached the caller's host.
POLL_MS = 10

log = logbook.Logger("heathershunt.http")


class Delivery:
    """Tells what of the answers on one connection is still on its way.

    :ivar is_aborted: whether the connection was aborted, so that nothing follows.

    .. versionadded:: 0.9
    """

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer
        self.is_aborted = False

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes that the caller's host has not confirmed."""
        return unacknowledged_bytes(self._writer.transport)

    @property
    def is_complete(self) -> bool:
        """Return whether the caller's host has all that was written, or is gone."""
        return self.is_aborted or not self.unsent_bytes

    async def wait(self, has_next_request: Callable[[], bool]) -> None:
        """Wait until an answer has reached the caller's host.

        :param has_next_request: returns whether the caller has closed or has sent the
            next request; it has the answer then, or gave it up.
        """
        while not self.is_complete and not has_next_request():
            await asyncio.sleep(POLL_MS / 1000)

    async def wait_written(self) -> None:
        """Wait until a closed connection has handed all bytes to the kernel."""
        try:
            await self._writer.wait_closed()
        except OSError as error:
            log.info("connection ended before all was written: {}", error)

    def half_close(self) -> None:
        """Close the sending side, unless the connection has ended already."""
        if not self._writer.can_write_eof():
            return
        try:
            self._writer.write_eof()
        except OSError as error:
            # The transport learns of a reset only with its next read or write.
            log.info("connection ended before it was half-closed: {}", error)
