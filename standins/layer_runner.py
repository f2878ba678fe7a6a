"""Stand-in of runners that hold ranges of layers, and of plain services."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from heathershunt.http import (
    HttpServer,
    Request,
    Response,
    ResponseStream,
    StreamResponse,
)
from standins.metadata_store import MetadataStoreStandIn

EVENT_MS = 5
STALL_MS = 1500
JSON_TYPE = {"content-type": "application/json"}


@dataclass
class Run:
    """One run of a request.

    :ivar events: ids of the events that were made.
    :ivar chains: chain of each event, as sent or as replaced.
    """

    request_id: str
    runner: str
    headers: dict[str, str]
    body: bytes
    target: str
    events: list[int] = field(default_factory=list)
    chains: list[str] = field(default_factory=list)


class TargetStandIn:
    """A target that registers itself; plain or with layers.

    :param fleet: all targets by address, as chains name them.
    :param kind: accelerator of a runner, ``None`` for a plain service.
    :ivar is_dark: accept connections but answer nothing.
    :ivar read_ms: time before the first event, in which the prompt is read.
    :ivar answer: makes the answer to a plain call.
    :ivar stalls_after: event after which streams make no further one.
    :ivar trickle: bytes that a stalled stream sends again and again.
    """

    def __init__(
        self,
        target_id: str,
        service: str,
        domain: str,
        store: MetadataStoreStandIn,
        fleet: dict[str, "TargetStandIn"],
        kind: str | None = None,
    ) -> None:
        self.id = target_id
        self.service = service
        self.domain = domain
        self.kind = kind
        self.layers: tuple[int, int] | None = None
        self.is_dark = False
        self.read_ms = 0
        self.is_draining = False
        self.orders = 0
        self.order_bodies: list[dict] = []
        self.runs: list[Run] = []
        self.address = ""
        self.answer: Callable[[Request], Response] | None = None
        self.stalls_after: int | None = None
        self.trickle = b""
        self._store = store
        self._fleet = fleet
        self._chain_by_request: dict[str, str] = {}
        self._server = HttpServer(self._handle, cancels_handlers=True)

    async def start(self) -> None:
        """Listen and register."""
        await self._server.start("127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.port}"
        self._fleet[self.address] = self
        self.register()

    async def stop(self) -> None:
        """Die: connections break and nothing listens any more; the entry stays."""
        self.is_dark = True
        await self._server.close()

    def register(self) -> None:
        """Write the entry."""
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.domain,
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.is_draining else "ready",
            "sequence": 1,
            "cold_remaining_ms": 0,
            "born": 1000,
        }
        if self.kind is not None:
            entry |= {"stage": "both", "models": [], "kind": self.kind}
            entry["layers"] = self._layers()
        self._store.put(f"servers/{self.id}", entry)

    def _layers(self) -> dict[str, int] | None:
        if self.layers is None:
            return None
        return {"from": self.layers[0], "to": self.layers[1], "version": 1}

    async def _handle(self, request: Request) -> Response | StreamResponse:
        if self.is_dark:
            await asyncio.sleep(3600)
        if request.path == "/report":
            return self._report()
        expected = request.headers.get("heathershunt-expect-instance")
        if expected is not None and expected != self.id:
            return Response(421, {"heathershunt-instance-id": self.id})
        if request.path == "/order":
            return self._order(msgspec.json.decode(request.body))
        if self.kind is None:
            return self._call(request)
        return await self._stream(request)

    def _report(self) -> Response:
        report = {
            "busy": False,
            "sequence": self.orders,
            "queued": 0,
            "running": 0,
            "kv_used": 0,
            "kv_total": 100_000,
            "born": 1000,
            "pace": 1.0,
            "stalled": [],
            "layers": self._layers(),
        }
        return Response(200, JSON_TYPE, msgspec.json.encode(report))

    def _order(self, body: dict) -> Response:
        self.order_bodies.append(body)
        if body["operation"] == "repath":
            if body["id"] not in self._chain_by_request:
                return Response(404)
            faulty = self._missing(body["path"])
            if faulty is not None:
                named = msgspec.json.encode({"address": faulty})
                return Response(409, JSON_TYPE, named)
            self._chain_by_request[body["id"]] = body["path"]
            return Response(200)
        if body.get("expected", self.orders) != self.orders:
            return Response(409)
        self.orders += 1
        self.layers = (body["from"], body["to"])
        self.register()
        return Response(202)

    def _call(self, request: Request) -> Response:
        if self.answer is not None:
            response = self.answer(request)
            if "heathershunt-not-executed" in response.headers:
                return response
        else:
            response = Response(200, {}, b"done")
        self._note(request)
        headers = {
            "heathershunt-request-id": request.headers["heathershunt-request-id"],
            "heathershunt-response-signature": f"receipt-{self.id}",
        }
        return Response(response.status, headers | response.headers, response.body)

    def _note(self, request: Request) -> Run:
        request_id = request.headers["heathershunt-request-id"]
        headers = dict(request.headers)
        run = Run(request_id, self.id, headers, request.body, request.target)
        self.runs.append(run)
        return run

    async def _stream(self, request: Request) -> Response | StreamResponse:
        request_id = request.headers["heathershunt-request-id"]
        chain = request.headers["heathershunt-hop-count"]
        faulty = self._missing(chain)
        if faulty is not None:
            headers = {"heathershunt-not-executed": "1", "at-server": faulty}
            return Response(503, headers)
        run = self._note(request)
        self._chain_by_request[request_id] = chain
        last = int(request.headers["heathershunt-token-counts"].split(",")[1]) // 2
        first = int(request.headers.get("last-event-id", "0")) + 1
        await asyncio.sleep(self.read_ms / 1000)
        await self._wait_for_chain(request_id)

        async def write(sink: ResponseStream) -> None:
            for number in range(first, last + 1):
                await self._wait_for_chain(request_id)
                run.events.append(number)
                run.chains.append(self._chain_by_request[request_id])
                sink.write(b"id: %d\ndata: event %d\n\n" % (number, number))
                await asyncio.sleep(EVENT_MS / 1000)
                while number == self.stalls_after:
                    sink.write(self.trickle)
                    await asyncio.sleep(EVENT_MS / 1000)

        headers = {
            "content-type": "text/event-stream",
            "heathershunt-request-id": request_id,
            "heathershunt-response-signature": f"receipt-{self.id}",
        }
        return StreamResponse(200, headers, write)

    def _missing(self, chain: str) -> str | None:
        """Return the address of the first runner that does not do its part."""
        for part in chain.split(","):
            address, _, layers = part.partition("=")
            first, _, end = layers.partition("-")
            runner = self._fleet.get(address)
            if runner is None or runner.is_dark or runner.layers is None:
                return address
            if not runner.layers[0] <= int(first) < int(end) <= runner.layers[1]:
                return address
        return None

    async def _wait_for_chain(self, request_id: str) -> None:
        """Stall while a runner of the chain is dead; break off after some time."""
        loop = asyncio.get_running_loop()
        until = loop.time() + STALL_MS / 1000
        while self._missing(self._chain_by_request[request_id]) is not None:
            if loop.time() > until:
                raise ConnectionError("a runner of the chain is gone")
            await asyncio.sleep(EVENT_MS / 1000)
