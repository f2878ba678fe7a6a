"""TCP links between engine stand-ins: frames of CBOR with a length prefix."""

import asyncio
import struct
from collections.abc import Callable

import cbor2

from heathershunt.http import Address

FRAME = struct.Struct(">I")
CONNECT_SECONDS = 1.0


class Fabric:
    """Sends items to other engines and receives items from them.

    :param receive: called with each item received.

    .. versionadded:: 0.3
    """

    def __init__(self, receive: Callable[[dict], None]) -> None:
        self._receive = receive
        self._links_by_address: dict[str, tuple] = {}
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> int:
        """Listen and return the bound port."""
        self._server = await asyncio.start_server(self._serve, host, port)
        return self._server.sockets[0].getsockname()[1]

    async def send(self, address: str, items: list[dict]) -> None:
        """Send items in one frame; drop them if the engine cannot be reached."""
        data = cbor2.dumps(items)
        try:
            link = self._links_by_address.get(address)
            # An engine that restarted has closed the old link; data written to that
            # link is lost without an error.
            if link is None or link[0].at_eof() or link[1].transport.is_closing():
                target = Address.from_text(address)
                async with asyncio.timeout(CONNECT_SECONDS):
                    link = await asyncio.open_connection(target.host, target.port)
                self._links_by_address[address] = link
            link[1].write(FRAME.pack(len(data)) + data)
        except (OSError, TimeoutError):
            self._links_by_address.pop(address, None)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                (size,) = FRAME.unpack(await reader.readexactly(FRAME.size))
                for item in cbor2.loads(await reader.readexactly(size)):
                    self._receive(item)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
