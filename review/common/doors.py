"""Further addresses of the store, at which it may turn single machines away."""

from heathershunt.http import HttpServer, Request, Response
from standins.metadata_store import MetadataStoreStandIn


class StoreDoor:
    """An address of the store for one machine.

    :ivar is_closed: whether the store turns the machine away with 503.
    :ivar watches: watches of the machine that the store has received.
    """

    def __init__(self, store: MetadataStoreStandIn) -> None:
        self._store = store
        self._server = HttpServer(self._handle)
        self.is_closed = False
        self.watches = 0

    async def start(self) -> str:
        """Listen on a free port and return the address."""
        await self._server.start("127.0.0.1", 0)
        return f"127.0.0.1:{self._server.port}"

    async def _handle(self, request: Request) -> Response:
        if self.is_closed:
            return self._turned_away()
        self.watches += request.path == "/kv-watch"
        response = await self._store._handle(request)
        # What was waiting as the store began to turn the machine away is cut.
        return self._turned_away() if self.is_closed else response

    def _turned_away(self) -> Response:
        return Response(503, {"store-era": str(self._store.era)})
