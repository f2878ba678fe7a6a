"""Loading of the layers that an order names, from the weight store."""

import asyncio
from collections.abc import Callable

from heathershunt.http import Address, HttpClient
from standins.engine_state import EngineSpec

LOAD_TIMEOUT_MS = 600_000
LOAD_RETRY_SECONDS = 0.2


class WeightLoader:
    """Loads the layers of one engine stand-in; a new order replaces the load.

    :param on_loaded: called with the specification whose layers are loaded.
    :ivar ordered: specification that is being loaded; ``None`` if none is.
    """

    def __init__(self, on_loaded: Callable[[EngineSpec], None]) -> None:
        self._on_loaded = on_loaded
        self._client = HttpClient()
        self._task: asyncio.Task | None = None
        self.ordered: EngineSpec | None = None

    def start(self, ordered: EngineSpec) -> None:
        """Load the ordered layers; without a weight store this takes no time."""
        if self._task is not None:
            self._task.cancel()
        if not ordered.weights:
            self._on_loaded(ordered)
            return
        self.ordered = ordered
        self._task = asyncio.create_task(self._read(ordered))

    async def _read(self, ordered: EngineSpec) -> None:
        layers = ordered.end_layer - ordered.first_layer
        address = Address.from_text(ordered.weights)
        target = f"/v1/weights?layers={layers}"
        while (
            await self._client.request_json(
                address, "GET", target, timeout_ms=LOAD_TIMEOUT_MS
            )
        ).is_err():
            await asyncio.sleep(LOAD_RETRY_SECONDS)
        self.ordered = None
        self._on_loaded(ordered)
