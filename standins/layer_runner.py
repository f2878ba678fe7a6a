"""Stand-in for runners that hold ranges of layers, and for plain services."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace

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
# Time between the report that a target leaves and its end.
LEAVE_MS = 200
JSON_TYPE = {"content-type": "application/json"}


@dataclass
class Run:
    """One request that a target ran.

    :ivar events: ids of the events sent.
    :ivar chains: chain that was in use for each event.
    """

    request_id: str
    runner: str
    headers: dict[str, str]
    body: bytes
    target: str
    events: list[int] = field(default_factory=list)
    chains: list[str] = field(default_factory=list)


class TargetStandIn:
    """Target that registers itself in the store: a runner or a plain service.

    :param targets_by_address: all targets by the address that chains contain.
    :param kind: accelerator of a runner, ``None`` for a plain service.
    :ivar layers: first and end layer of a runner, ``None`` while it holds none.
    :ivar is_unresponsive: accept connections but do not answer.
    :ivar read_ms: delay before the first event, the time to process the prompt.
    :ivar orders: number of orders carried out.
    :ivar answer: returns the response to a plain call, ``None`` for a default one.
    :ivar stalls_after: id of the event after which streams send no further one.
    :ivar deadly_part: id of a part of a prompt; the runner crashes when it begins to
        write an answer on it. ``None`` without one.
    :ivar deadly_body: body of a request; the target crashes when it begins to run one
        with it. ``None`` without one.
    :ivar crashes_after: events of a stream that the runner sends before it crashes.
    :ivar leaves_first: whether the target reports that it leaves before it crashes.
    :ivar limit_per_s: requests a second that the target names in its answers; ``None``
        for no limit.
    :ivar born: wall time in milliseconds at which the process started.
    :ivar says_leaving: whether the target says in its answers that it leaves.
    :ivar pause_s: the target turns requests away and asks for a pause of so many
        seconds, as it writes it; ``None`` for no pause.
    :ivar received: time of arrival and id of each request.
    :ivar arrivals: times at which requests other than reports and orders arrived, in
        seconds of the event loop.
    :ivar trickle: bytes that a stalled stream sends every ``EVENT_MS``.
    :ivar silent_until: event loop time in seconds until which the target neither
        answers nor goes on with what it runs; it loses nothing.
    """

    def __init__(
        self,
        target_id: str,
        service: str,
        domain: str,
        store: MetadataStoreStandIn,
        targets_by_address: dict[str, "TargetStandIn"],
        kind: str | None = None,
    ) -> None:
        self.id = target_id
        self.service = service
        self.domain = domain
        self.kind = kind
        self.layers: tuple[int, int] | None = None
        self.is_unresponsive = False
        self.read_ms = 0
        self.is_draining = False
        self.orders = 0
        self.order_bodies: list[dict] = []
        self.runs: list[Run] = []
        self.address = ""
        self.answer: Callable[[Request], Response] | None = None
        self.stalls_after: int | None = None
        self.trickle = b""
        self.deadly_part: str | None = None
        self.deadly_body: bytes | None = None
        self.crashes_after = 0
        self.leaves_first = False
        self.limit_per_s: float | None = None
        self.silent_until = 0.0
        self.heartbeats = 1
        self.born = 1000
        self.says_leaving = False
        self.pause_s: float | str | None = None
        self.received: list[tuple[float, str]] = []
        self.arrivals: list[float] = []
        self._store = store
        self._targets_by_address = targets_by_address
        self._chain_by_request: dict[str, str] = {}
        self._stream_epoch = 0
        self._server = HttpServer(self._handle, cancels_handlers=True)

    async def start(self) -> None:
        """Listen on a free port and register."""
        await self._server.start("127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.port}"
        self._targets_by_address[self.address] = self
        self.register()

    async def stop(self) -> None:
        """Stop as in a crash: connections break, and the entry stays in the store."""
        self.is_unresponsive = True
        await self._server.close()

    def fall_silent(self, seconds: float) -> None:
        """Do nothing for some seconds, then go on with everything."""
        self.silent_until = asyncio.get_running_loop().time() + seconds

    async def wait_out_silence(self) -> None:
        """Wait until the target is no longer silent."""
        while asyncio.get_running_loop().time() < self.silent_until:
            await asyncio.sleep(EVENT_MS / 1000)

    def register(self) -> None:
        """Write the current entry of the target to the store."""
        self.heartbeats += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.domain,
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.is_draining else "ready",
            "sequence": self.heartbeats,
            "cold_remaining_ms": 0,
            "born": self.born,
        }
        if self.kind is not None:
            entry |= {"stage": "both", "models": [], "kind": self.kind}
            entry["layers"] = self._layers()
        self._store.put(f"servers/{self.id}", entry)

    def _layers(self) -> dict[str, int] | None:
        if self.layers is None:
            return None
        return {"from": self.layers[0], "to": self.layers[1], "version": 1}

    def stop_streams(self) -> None:
        """Break off the streams that run now; the target goes on."""
        self._stream_epoch += 1

    async def _handle(self, request: Request) -> Response | StreamResponse:
        if self.is_unresponsive:
            await asyncio.sleep(3600)
        await self.wait_out_silence()
        response = await self._answer(request)
        await self.wait_out_silence()
        headers = dict(response.headers)
        request_id = request.headers.get("heathershunt-request-id")
        if request_id is not None and isinstance(response, Response):
            headers = {"heathershunt-request-id": request_id} | headers
        if self.limit_per_s is not None:
            headers["server-limit"] = str(self.limit_per_s)
        if self.says_leaving:
            headers["server-leaving"] = "1"
        return replace(response, headers=headers)

    async def _answer(self, request: Request) -> Response | StreamResponse:
        if request.path == "/report":
            return self._report()
        expected = request.headers.get("heathershunt-expect-instance")
        if expected is not None and expected != self.id:
            return Response(421, {"heathershunt-instance-id": self.id})
        if request.path == "/order":
            return self._handle_order(msgspec.json.decode(request.body))
        now = asyncio.get_running_loop().time()
        self.arrivals.append(now)
        self.received.append((now, request.headers["heathershunt-request-id"]))
        if self.pause_s is not None:
            headers = {"heathershunt-not-executed": "1"}
            return Response(503, headers | {"retry-after": str(self.pause_s)})
        if self.kind is None:
            if request.body == self.deadly_body:
                await self._crash_at_call()
            return self._handle_call(request)
        return await self._stream(request)

    def _report(self) -> Response:
        report = {
            "busy": False,
            "sequence": self.orders,
            "queued": 0,
            "running": 0,
            "kv_used": 0,
            "kv_total": 100_000,
            "born": self.born,
            "pace": 1.0,
            "stalled": [],
            "layers": self._layers(),
        }
        return Response(200, JSON_TYPE, msgspec.json.encode(report))

    def _handle_order(self, body: dict) -> Response:
        self.order_bodies.append(body)
        if body["operation"] == "repath":
            if body["id"] not in self._chain_by_request:
                return Response(404)
            faulty = self._first_faulty(body["path"])
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

    def _handle_call(self, request: Request) -> Response:
        if self.answer is not None:
            response = self.answer(request)
            if "heathershunt-not-executed" in response.headers:
                return response
        else:
            response = Response(200, {}, b"done")
        self._record_run(request)
        headers = {
            "heathershunt-request-id": request.headers["heathershunt-request-id"],
            "heathershunt-response-signature": f"receipt-{self.id}",
        }
        return Response(response.status, headers | response.headers, response.body)

    def _record_run(self, request: Request) -> Run:
        request_id = request.headers["heathershunt-request-id"]
        headers = dict(request.headers)
        run = Run(request_id, self.id, headers, request.body, request.target)
        self.runs.append(run)
        return run

    async def _stream(self, request: Request) -> Response | StreamResponse:
        request_id = request.headers["heathershunt-request-id"]
        chain = request.headers["heathershunt-hop-count"]
        faulty = self._first_faulty(chain)
        if faulty is not None:
            headers = {"heathershunt-not-executed": "1", "at-server": faulty}
            return Response(503, headers)
        run = self._record_run(request)
        self._chain_by_request[request_id] = chain
        last = int(request.headers["heathershunt-token-counts"].split(",")[1]) // 2
        first = int(request.headers.get("last-event-id", "0")) + 1
        await asyncio.sleep(self.read_ms / 1000)
        await self._wait_for_chain(request_id)
        await self._wait_out_silence_of_chain(request_id)

        async def write(sink: ResponseStream) -> None:
            is_deadly = self._is_deadly(request)
            if is_deadly and not self.crashes_after:
                await self._crash(sink)
            epoch = self._stream_epoch
            for number in range(first, last + 1):
                if epoch != self._stream_epoch:
                    raise ConnectionError("the stream is broken off")
                await self._wait_for_chain(request_id)
                await self._wait_out_silence_of_chain(request_id)
                run.events.append(number)
                run.chains.append(self._chain_by_request[request_id])
                sink.write(b"id: %d\ndata: event %d\n\n" % (number, number))
                await asyncio.sleep(EVENT_MS / 1000)
                if is_deadly and number - first + 1 == self.crashes_after:
                    await self._crash(sink)
                while number == self.stalls_after:
                    sink.write(self.trickle)
                    await asyncio.sleep(EVENT_MS / 1000)

        headers = {
            "content-type": "text/event-stream",
            "heathershunt-request-id": request_id,
            "heathershunt-response-signature": f"receipt-{self.id}",
        }
        return StreamResponse(200, headers, write)

    def _is_deadly(self, request: Request) -> bool:
        if request.body == self.deadly_body:
            return True
        parts = request.headers.get("heathershunt-prompt-prefix", "")
        ids = [entry.partition(":")[0] for entry in parts.split(",")]
        return self.deadly_part in ids

    async def _crash_at_call(self) -> None:
        """End as a process does that dies, without a byte of an answer."""
        if self.leaves_first:
            self.is_draining = True
            self.register()
            await asyncio.sleep(LEAVE_MS / 1000)
        await self.stop()
        await asyncio.sleep(3600)

    async def _crash(self, sink: ResponseStream) -> None:
        """Send the head of the reply and end as a process does that dies."""
        sink.write(b"")
        await sink.drain()
        await self.stop()

    async def _wait_out_silence_of_chain(self, request_id: str) -> None:
        """Wait until no runner of the chain in use is silent."""
        while (silent := self._first_silent(request_id)) is not None:
            await silent.wait_out_silence()

    def _first_silent(self, request_id: str) -> "TargetStandIn | None":
        now = asyncio.get_running_loop().time()
        for part in self._chain_by_request[request_id].split(","):
            runner = self._targets_by_address.get(part.partition("=")[0])
            if runner is not None and now < runner.silent_until:
                return runner
        return None

    def _first_faulty(self, chain: str) -> str | None:
        """Return the address of the first runner that cannot run its layers."""
        for part in chain.split(","):
            address, _, layers = part.partition("=")
            first, _, end = layers.partition("-")
            runner = self._targets_by_address.get(address)
            if runner is None or runner.is_unresponsive or runner.layers is None:
                return address
            if not runner.layers[0] <= int(first) < int(end) <= runner.layers[1]:
                return address
        return None

    async def _wait_for_chain(self, request_id: str) -> None:
        """Wait while a runner of the chain is faulty.

        :raises ConnectionError: after ``STALL_MS``.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + STALL_MS / 1000
        while self._first_faulty(self._chain_by_request[request_id]) is not None:
            if loop.time() > deadline:
                raise ConnectionError("a runner of the chain stays faulty")
            await asyncio.sleep(EVENT_MS / 1000)
