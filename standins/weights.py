"""Stand-in for the weight store, which serves layers at a limited rate in FIFO order.

Start with ``python -m standins.weights LAYERS_PER_SECOND``. ``GET
/v1/weights?layers=N`` answers when N layers have been read; ``GET /v1/counts`` returns
the layers read and the longest queue in layers.
"""

import asyncio
import json
import sys

from heathershunt.http import HttpServer, Request, Response, json_response

HOST = "127.0.0.1"


class WeightStore:
    """Serves reads of layers one after the other.

    :param rate: layers a second over all readers.
    :ivar longest_queue: longest queue so far, in layers.
    """

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._free_at = 0.0
        self.layers = 0
        self.longest_queue = 0.0
        self.http = HttpServer(self.handle)

    async def handle(self, request: Request) -> Response:
        """Answer one request; a read is answered when its layers are due."""
        if request.path == "/v1/counts":
            counts = {"layers": self.layers, "longest_queue": self.longest_queue}
            return json_response(200, counts)
        layers = int(request.query["layers"])
        now = asyncio.get_running_loop().time()
        self._free_at = max(now, self._free_at) + layers / self._rate
        self.layers += layers
        queue = (self._free_at - now) * self._rate
        self.longest_queue = max(self.longest_queue, queue)
        await asyncio.sleep(self._free_at - now)
        return json_response(200, {"layers": layers})


async def run_weights(rate: float) -> None:
    """Run the weight store until the process ends; print its address as JSON."""
    weights = WeightStore(rate)
    await weights.http.start(HOST, 0)
    print(json.dumps({"address": f"{HOST}:{weights.http.port}"}), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(run_weights(float(sys.argv[1])))
