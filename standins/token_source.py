"""Token source with little overhead, behind the engine protocol for all stages.

Start with ``python -m standins.token_source MODEL STAGES LAYERS GAP_MS``. It runs
no model: each token's text is the monotonic time in microseconds at which it was
written, so that a reader on the same machine can compute the latency of each token.
All stages are in one process and need no fabric.
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
class ActiveRun:
    """One started run and the stream of its tokens.

    :param head: JSON text of a token line up to the position.
    :param position: position of the next token.
    :param end: position after the last token.
    """

    stream: object
    head: bytes
    position: int
    end: int
    done: asyncio.Event


class TokenSource:
    """All stages of one model, with a fixed gap between the tokens of a run.

    :param gap_ms: gap, which takes one slot for each millisecond.
    """

    def __init__(self, model: str, stages: int, layers: int, gap_ms: int) -> None:
        self._model = model
        self._layers = layers
        self._bounds = [layers * index // stages for index in range(stages + 1)]
        self._runs_by_slot: list[list[ActiveRun]] = [[] for _ in range(gap_ms)]
        self._current_slot = 0
        self._opened_by_run: dict[str, tuple] = {}
        self._servers: list[HttpServer] = []

    async def start(self) -> list[dict]:
        """Bind one listener for each stage; return their addresses."""
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
            self._start_run(parts[2])
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

    def _start_run(self, run: str) -> None:
        body, stream, done = self._opened_by_run.pop(run)
        trace = [
            [self._runner(stage), self._bounds[stage], self._bounds[stage + 1], VERSION]
            for stage in range(len(self._bounds) - 1)
        ]
        line = {"event": "token", "epoch": body["epoch"], "trace": trace}
        head = json.dumps(line, separators=(",", ":"))[:-1].encode() + b',"position":'
        active_run = ActiveRun(stream, head, body["position"], body["max_tokens"], done)
        self._runs_by_slot[self._current_slot].append(active_run)

    async def run(self) -> None:
        """Emit tokens until cancelled; overdue slots run without a pause."""
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            due += SLOT_SECONDS
            await asyncio.sleep(max(0.0, due - loop.time()))
            due_runs = self._runs_by_slot[self._current_slot]
            self._current_slot = (self._current_slot + 1) % len(self._runs_by_slot)
            ended = [active_run for active_run in due_runs if self._emit(active_run)]
            for active_run in ended:
                due_runs.remove(active_run)

    def _emit(self, active_run: ActiveRun) -> bool:
        """Write one token; return whether the run has ended."""
        last = active_run.position + 1 >= active_run.end
        line = b'%s%d,"last":%s,"text":"%d"}\n' % (
            active_run.head,
            active_run.position,
            b"true" if last else b"false",
            time.monotonic_ns() // 1000,
        )
        active_run.position += 1
        try:
            active_run.stream.write(line)
        except ConnectionError:
            return True
        if last:
            active_run.done.set()
        return last


async def run_source(model: str, stages: int, layers: int, gap_ms: int) -> None:
    """Run a source until the process ends; print its addresses as JSON."""
    source = TokenSource(model, stages, layers, gap_ms)
    print(json.dumps({"engines": await source.start()}), flush=True)
    await source.run()


def main() -> None:
    """Run the source described on the command line."""
    model, stages, layers, gap_ms = sys.argv[1:]
    asyncio.run(run_source(model, int(stages), int(layers), int(gap_ms)))


if __name__ == "__main__":
    main()
