"""Streamed answer that another VM relays."""

from heathershunt.forwarding.choice import HopChooser
from heathershunt.http import ClientResponse, ResponseStream

BACKLOG_BYTES = 65_536


class HopStream:
    """Passes the body of a streamed answer on as it arrives.

    :param vm: name of the VM that relays it.

    .. versionadded:: 0.10
    """

    def __init__(self, chooser: HopChooser, vm: str, response: ClientResponse) -> None:
        self._chooser = chooser
        self._vm = vm
        self._response = response
        self._is_closed = False
        chooser.start(vm)

    async def run(self, sink: ResponseStream) -> None:
        """Write the body until it ends.

        :raises ConnectionError: if the hop breaks before that.
        """
        while (data := await self._response.read_some()) is not None:
            sink.write(data)
            if sink.backlog() > BACKLOG_BYTES:
                await sink.drain()

    def close(self) -> None:
        """Close the hop, which cancels the request at the other VM."""
        if self._is_closed:
            return
        self._is_closed = True
        self._chooser.end(self._vm)
        self._response.close()
