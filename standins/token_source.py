"""Cheap source of tokens that speaks the engine protocol for all stages of a model.

Start with ``python -m standins.token_source MODEL STAGES LAYERS GAP_MS``. It computes
nothing: each token's text is the monotonic time in microseconds at which it was
written, so that a reader on the same machine can tell the latency of each token. All
stages live in one process and need no fabric.
"""

import asyncio
import json
import sys
import time
from dataclasses import dataclass

from heathershunt.http import (
    HttpServer,
    Request,
    Response,
    StreamResponse,
    json_response as reply,
)

HOST = "127.0.0.1"
VERSION = "v1"
SLOT_SECONDS = 0.001


@dataclass
class Emission:
    """One started run: where its tokens go and how far it is."""

    stream: object
    head: bytes
    position: int
    end: int
    done: asyncio.Event


class TokenSource:
    """All stages of one model, with tokens at a fixed gap."""

    def __init__(self, model: str, stages: int, layers: int, gap_ms: int) -> None:
        self._model = model
        self._layers = layers
        self._bounds = [layers * index // stages for index in range(stages + 1)]
        self._slots: list[list[Emission]] = [[] for _ in range(gap_ms)]
        self._slot = 0
        self._opened_by_run: dict[str, tuple] = {}
        self._servers: list[HttpServer] = []

    async def start(self) -> list[dict]:
        """Bind one listener a stage; return their addresses."""
        addresses = []
        for stage in range(len(self._bounds) - 1):
            server = HttpServer(lambda request, s=stage: self._handle(request, s))
            await server.start(HOST, 0)
            self._servers.append(server)
            address = f"{HOST}:{server.port}"
            addresses.append({"runner": self._runner(stage), "address": address})
        return addresses

    def _runner(self, stage: int) -> str:
        return f"{self._model}-s{stage}"

    async def _handle(self, request: Request, stage: int) -> Response | StreamResponse:
        parts = request.path.strip("/").split("/")
        if request.path == "/v1/status":
            return reply(200, self._status(stage))
        if request.method == "POST" and len(parts) == 2:
            body = json.loads(request.body)
            headers = {"content-type": "application/x-ndjson"}
            return StreamResponse(
                200, headers, lambda stream: self._stream(body, stage, stream)
            )
        if request.method == "POST":
            self._begin(parts[2])
            return reply(200, {})
        if request.method == "GET":
            return reply(200, {"epoch": 1, "position": 0})
        return reply(200, {})

    def _status(self, stage: int) -> dict:
        load = {"running": 0, "queued": 0, "batch_limit": 1000, "step_ms": 1.0}
        load |= {"token_ms": 0.0, "prefill_token_ms": 0.0, "kv_free_tokens": 10**6}
        load["at_ms"] = time.time_ns() // 1_000_000
        report = {"runner": self._runner(stage), "incarnation": 1, "kind": "source"}
        report |= {"fence": 0, "checks_fence": True, "leaving": False, "domain": "a"}
        report |= {"vm": self._runner(stage), "model": self._model, "adapters": []}
        report |= {"version": VERSION, "role": "drafting", "fabric": f"{HOST}:1"}
        report |= {"first_layer": self._bounds[stage], "load": load}
        return report | {"end_layer": self._bounds[stage + 1]}

    async def _stream(self, body: dict, stage: int, stream) -> None:
        opened = {"event": "opened", "runner": self._runner(stage), "version": VERSION}
        opened |= {"first_layer": self._bounds[stage], "kv_positions": 0}
        opened["end_layer"] = self._bounds[stage + 1]
        stream.write(json.dumps(opened).encode() + b"\n")
        done = asyncio.Event()
        if stage == len(self._bounds) - 2:
            self._opened_by_run[body["run"]] = (body, stream, done)
        closed = asyncio.create_task(stream.wait_closed())
        ended = asyncio.create_task(done.wait())
        await asyncio.wait({closed, ended}, return_when="FIRST_COMPLETED")
        if ended.done():
            stream.write(b'{"event":"end","reason":"done"}\n')
        closed.cancel()
        ended.cancel()

    def _begin(self, run: str) -> None:
        body, stream, done = self._opened_by_run.pop(run)
        trace = [
            [self._runner(stage), self._bounds[stage], self._bounds[stage + 1], VERSION]
            for stage in range(len(self._bounds) - 1)
        ]
        line = {"event": "token", "epoch": body["epoch"], "trace": trace}
        head = json.dumps(line, separators=(",", ":"))[:-1].encode() + b',"position":'
        emission = Emission(stream, head, body["position"], body["max_tokens"], done)
        self._slots[self._slot].append(emission)

    async def run(self) -> None:
        """Emit tokens until cancelled; late slots are made up for."""
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            due += SLOT_SECONDS
            await asyncio.sleep(max(0.0, due - loop.time()))
            slot = self._slots[self._slot]
            self._slot = (self._slot + 1) % len(self._slots)
            ended = [emission for emission in slot if self._emit(emission)]
            for emission in ended:
                slot.remove(emission)

    def _emit(self, emission: Emission) -> bool:
        """Write one token; return whether the run has ended."""
        last = emission.position + 1 >= emission.end
        line = b'%s%d,"last":%s,"text":"%d"}\n' % (
            emission.head,
            emission.position,
            b"true" if last else b"false",
            time.monotonic_ns() // 1000,
        )
        emission.position += 1
        try:
            emission.stream.write(line)
        except ConnectionError:
            return True
        if last:
            emission.done.set()
        return last


async def run_source(model: str, stages: int, layers: int, gap_ms: int) -> None:
    """Run a source until the process is ended."""
    source = TokenSource(model, stages, layers, gap_ms)
    print(json.dumps({"engines": await source.start()}), flush=True)
    await source.run()


def main() -> None:
    """Run the source described on the command line."""
    model, stages, layers, gap_ms = sys.argv[1:]
    asyncio.run(run_source(model, int(stages), int(layers), int(gap_ms)))


if __name__ == "__main__":
    main()
