"""Stand-in for model engines, each of which holds a range of layers.

Start with ``python -m standins.engine SPECS.json``; the file holds a list of engine
specifications. The process prints one JSON line with the bound addresses.
"""

import asyncio
import json
import os
import sys
import time
from collections import OrderedDict
from dataclasses import asdict, replace

import msgspec
from result import Err

from heathershunt.http import (
    Address,
    HttpClient,
    HttpLimits,
    HttpServer,
    Request,
    Response,
    StreamResponse,
    json_response,
)
from standins import oracle
from standins.engine_fabric import Fabric
from standins.engine_prefixes import PrefixCache
from standins.engine_reports import LoadReports
from standins.engine_state import EngineSpec, Run, Work
from standins.engine_steps import StepQueue
from standins.engine_stream import stream_lines
from standins.engine_weights import WeightLoader

HOST = "127.0.0.1"
PROGRESS_SECONDS = 1.0
ENDED_RUNS_KEPT = 2048


class Engine:
    """One engine: HTTP listener for the router, fabric listener for other stages."""

    def __init__(self, spec: EngineSpec) -> None:
        self.spec = spec
        self.incarnation = time.time_ns() // 1_000_000
        self.fence = 0
        self.leaving = False
        self.runs_asked = 0
        self._weights = WeightLoader(self._set_spec)
        self.ledger: list[dict] = []
        self.orders: list[dict] = []
        self._runs_by_id: dict[str, Run] = {}
        self._kv_positions_by_run: OrderedDict[str, int] = OrderedDict()
        self._epoch_by_run: OrderedDict[str, int] = OrderedDict()
        self._step_queue = StepQueue(spec, self._cost_ms, self._finish_step)
        self._fabric = Fabric(self._receive)
        self._prefixes = PrefixCache()
        self._reports = LoadReports(self._load_report)
        self._running = 0
        self._kv_client = HttpClient()
        self.http = HttpServer(self.handle, HttpLimits(idle_ms=600_000))
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> dict:
        """Bind both listeners and return the runner's name and addresses."""
        await self.http.start(HOST, self.spec.port)
        port = await self._fabric.start(HOST, self.spec.fabric_port)
        fabric = self.spec.advertised_fabric or f"{HOST}:{port}"
        self.spec = replace(self.spec, advertised_fabric=fabric)
        self._tasks = [
            asyncio.create_task(self._step_queue.run()),
            asyncio.create_task(self._reports.run()),
        ]
        return {
            "runner": self.spec.runner,
            "address": f"{HOST}:{self.http.port}",
            "fabric": f"{HOST}:{port}",
        }

    # Requests of the router

    async def handle(self, request: Request) -> Response | StreamResponse:
        """Answer one request of the engine protocol, with 400 if it is malformed."""
        parts = request.path.strip("/").split("/")
        key = (request.method, parts[1] if len(parts) > 1 else "", len(parts))
        try:
            if key == ("GET", "status", 2):
                return json_response(200, self._status())
            if key == ("GET", "events", 2):
                after = int(request.query.get("after", "0"))
                lag_ms = self.spec.report_lag_ms
                return json_response(200, self._prefixes.events(after, lag_ms))
            if key == ("GET", "ledger", 2):
                return json_response(200, {"runs": self.ledger, "orders": self.orders})
            if key == ("POST", "runs", 2):
                return self._open_run(json.loads(request.body))
            if key == ("POST", "runs", 4):
                return self._start_run(parts[2], json.loads(request.body))
            if key == ("GET", "runs", 3):
                return self._probe_run(parts[2])
            if key == ("DELETE", "runs", 3):
                return self._cancel_run(parts[2], int(request.query.get("epoch", "0")))
            if key == ("GET", "kv", 3):
                return self._export_kv(parts[2])
            if key == ("POST", "orders", 2):
                return self._handle_order(json.loads(request.body))
            if key == ("POST", "leave", 2):
                self.leaving = True
                return json_response(200, {})
        except (KeyError, ValueError, TypeError) as error:
            return json_response(400, {"error": str(error)})
        return json_response(404, {"error": "no such path"})

    def _status(self) -> dict:
        spec = self._weights.ordered or self.spec
        return spec.status_fields() | {
            "incarnation": self.incarnation,
            "fence": self.fence,
            "leaving": self.leaving,
            "runs_asked": self.runs_asked,
            "role": "loading" if self._weights.ordered else spec.role,
            "load": self._reports.published(spec.report_lag_ms) or self._load_report(),
        }

    def _load_report(self) -> dict:
        spec = self.spec
        free = spec.kv_token_limit - sum(self._kv_positions_by_run.values())
        return {
            "running": len(self._runs_by_id),
            "queued": len(self._step_queue),
            "batch_limit": spec.batch_limit,
            "step_ms": spec.step_ms,
            "token_ms": spec.token_ms,
            "prefill_token_ms": spec.prefill_token_ms,
            "kv_free_tokens": max(0, free),
            "at_ms": time.time_ns() // 1_000_000,
        }

    def _open_run(self, body: dict) -> Response | StreamResponse:
        self.runs_asked += 1
        run_id, epoch = body["run"], int(body["epoch"])
        if epoch <= self._epoch_by_run.get(run_id, 0):
            return json_response(409, {"error": "an epoch as high was opened already"})
        spec = self.spec
        if spec.pause_s is not None:
            headers = {"retry-after": str(spec.pause_s)}
            return json_response(503, {"error": "full"}, headers)
        if self.leaving or self._weights.ordered:
            return json_response(503, {"error": "leaving or loading"})
        if (body["model"], body["version"]) != (spec.model, spec.version):
            return json_response(409, {"error": "another model version is loaded"})
        if body["adapter"] and body["adapter"] not in spec.adapters:
            return json_response(409, {"error": "the adapter is not loaded"})
        old = self._runs_by_id.pop(run_id, None)
        if old is not None:
            self._end_run(old, "superseded")
        run = Run.from_body(body)
        run.kv_positions = self._cached_positions(run)
        self._runs_by_id[run_id] = run
        self._epoch_by_run[run_id] = epoch
        while len(self._epoch_by_run) > ENDED_RUNS_KEPT:
            self._epoch_by_run.popitem(last=False)
        headers = {"content-type": "application/x-ndjson"}
        if spec.rate_limit is not None:
            headers["rate-limit"] = str(spec.rate_limit)
        if spec.says_leaving:
            headers["leaving"] = "1"
        return StreamResponse(
            200, headers, lambda stream: self._stream_run(run, stream)
        )

    def _cached_positions(self, run: Run) -> int:
        held = max(
            self._kv_positions_by_run.get(run.run, 0),
            self._prefixes.cached_positions(run.prompt),
        )
        return min(held, run.prompt_positions + run.position)

    async def _stream_run(self, run: Run, stream) -> None:
        spec = self.spec
        if run.import_from:
            await self._import_kv(run)
        opened = {
            "event": "opened",
            "runner": spec.runner,
            "first_layer": spec.first_layer,
            "end_layer": spec.end_layer,
            "version": spec.version,
            "kv_positions": run.kv_positions,
        }
        try:
            await stream_lines(run, opened, stream)
        finally:
            if self._runs_by_id.get(run.run) is run:
                self._end_run(run, "closed")

    def _start_run(self, run_id: str, body: dict) -> Response:
        run = self._runs_by_id.get(run_id)
        if run is None or run.epoch != int(body["epoch"]):
            return json_response(409, {"error": "no such run and epoch"})
        if run.started:
            return json_response(200, {})
        run.started = True
        held = [int(value) for value in body["kv_positions"]]
        recompute = tuple(min(held[index:]) for index in range(len(held)))
        self._enqueue_token(run, recompute)
        return json_response(200, {})

    def _probe_run(self, run_id: str) -> Response:
        run = self._runs_by_id.get(run_id)
        if run is None:
            return json_response(404, {"error": "no such run"})
        return json_response(200, {"epoch": run.epoch, "position": run.finished})

    def _cancel_run(self, run_id: str, epoch: int) -> Response:
        self._epoch_by_run[run_id] = max(epoch, self._epoch_by_run.get(run_id, 0))
        run = self._runs_by_id.get(run_id)
        if run is not None and run.epoch <= epoch:
            self._end_run(run, "cancelled")
        return json_response(200, {})

    async def _import_kv(self, run: Run) -> None:
        """Copy the KV cache that another runner still holds for the run."""
        source = Address.from_text(run.import_from)
        outcome = await self._kv_client.request_json(source, "GET", f"/v1/kv/{run.run}")
        if isinstance(outcome, Err) or run.started:
            return
        held = min(
            outcome.ok_value[1]["positions"], run.prompt_positions + run.position
        )
        if held > run.kv_positions:
            run.kv_positions = self._kv_positions_by_run[run.run] = held

    def _export_kv(self, run_id: str) -> Response:
        return json_response(
            200, {"positions": self._kv_positions_by_run.get(run_id, 0)}
        )

    def _handle_order(self, body: dict) -> Response:
        fence = int(body["fence"])
        if self.spec.checks_fence and fence < self.fence:
            self.orders.append({**body, "done": False})
            return json_response(409, {"error": "old fencing token"})
        self.fence = fence
        self.orders.append({**body, "done": True})
        ordered = self.spec.with_order(body)
        if ordered.loaded != (self._weights.ordered or self.spec).loaded:
            self._start_load(ordered)
        elif self._weights.ordered is None:
            self.spec = ordered
        return json_response(200, {})

    def _start_load(self, ordered: EngineSpec) -> None:
        """End all runs and load the ordered layers; no run is accepted meanwhile."""
        for run in list(self._runs_by_id.values()):
            self._end_run(run, "reloaded")
        self._weights.start(ordered)

    def _set_spec(self, loaded: EngineSpec) -> None:
        self.spec = loaded

    # Steps

    def _enqueue_token(self, run: Run, recompute_from: tuple[int, ...]) -> None:
        value = oracle.embed(run.prompt, run.seed, run.tokens)
        self._step_queue.put(
            Work(
                run.run,
                run.epoch,
                run.position,
                value,
                (),
                recompute_from,
                run.priority,
            )
        )

    async def _finish_step(self, batch: list[Work]) -> None:
        frames_by_address: dict[str, list] = {}
        for work in batch:
            self._finish_work(work, frames_by_address)
        for address, items in frames_by_address.items():
            await self._fabric.send(address, items)

    def _cost_ms(self, work: Work) -> float:
        run = self._runs_by_id.get(work.run)
        if run is None or run.epoch != work.epoch:
            return 0.0
        recompute = run.prompt_positions + work.position
        missing = max(0, recompute - work.recompute_from[run.stage])
        return self.spec.token_ms + missing * self.spec.prefill_token_ms

    def _finish_work(self, work: Work, frames_by_address: dict[str, list]) -> None:
        run = self._runs_by_id.get(work.run)
        if run is None or run.epoch != work.epoch:
            return
        spec = self.spec
        salt = oracle.version_salt(spec.model, spec.version, run.adapter)
        value = oracle.run_layers(work.value, salt, spec.first_layer, spec.end_layer)
        stop = run.prompt_positions + work.position + 1
        recomputed = max(0, stop - 1 - work.recompute_from[run.stage])
        self._kv_positions_by_run[run.run] = stop
        run.position = run.finished = work.position
        entry = [spec.runner, spec.first_layer, spec.end_layer, spec.version]
        if spec.keep_ledger:
            self.ledger.append(
                {
                    "run": run.run,
                    "prompt": run.prompt,
                    "epoch": run.epoch,
                    "position": work.position,
                    "stage": run.stage,
                    "layers": [spec.first_layer, spec.end_layer],
                    "version": spec.version,
                    "recomputed": recomputed,
                }
            )
        work = replace(work, value=value, trace=(*work.trace, entry))
        if run.is_last:
            self._emit_token(run, work, frames_by_address)
        else:
            now = time.monotonic()
            if now - run.last_progress >= PROGRESS_SECONDS:
                run.last_progress = now
                run.outbox.put_nowait({"event": "progress", "position": work.position})
            address = run.chain[run.stage + 1]["fabric"]
            frames_by_address.setdefault(address, []).append(asdict(work))

    def _emit_token(self, run: Run, work: Work, frames_by_address: dict) -> None:
        if self.spec.deadly_word and self.spec.deadly_word in run.prompt:
            os._exit(1)
        text = oracle.decode(work.value)
        last = work.position + 1 >= run.max_tokens
        run.outbox.put_nowait(
            {
                "event": "token",
                "epoch": run.epoch,
                "position": work.position,
                "text": text,
                "trace": list(work.trace),
                "last": last,
            }
        )
        if last:
            self._prefixes.add(run.prompt, self.spec.prefix_limit)
            self._end_run(run, "done")
            return
        address = run.chain[0]["fabric"]
        message = {
            "run": run.run,
            "epoch": run.epoch,
            "next": work.position + 1,
            "text": text,
        }
        if len(run.chain) == 1:
            self._receive(message)
        else:
            frames_by_address.setdefault(address, []).append(message)

    def _end_run(self, run: Run, reason: str) -> None:
        self._runs_by_id.pop(run.run, None)
        run.outbox.put_nowait({"event": "end", "reason": reason})
        self._kv_positions_by_run.pop(run.run, None) if reason == "done" else None
        while len(self._kv_positions_by_run) > ENDED_RUNS_KEPT:
            self._kv_positions_by_run.popitem(last=False)

    # Items received from other stages

    def _receive(self, item: dict) -> None:
        run = self._runs_by_id.get(item["run"])
        if run is None or run.epoch != item["epoch"]:
            return
        if "next" in item:
            run.tokens.append(item["text"])
            run.position = item["next"]
            held = run.prompt_positions + item["next"]
            self._enqueue_token(run, (held,) * len(run.chain))
            return
        trace = tuple(item["trace"])
        held = tuple(item["recompute_from"])
        self._step_queue.put(Work(**{**item, "trace": trace, "recompute_from": held}))


async def run_engines(specs: list[EngineSpec]) -> None:
    """Run engines until the process ends; print their addresses as JSON."""
    engines = [Engine(spec) for spec in specs]
    addresses = [await engine.start() for engine in engines]
    print(json.dumps({"engines": addresses}), flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Run the engines of the specification file named on the command line."""
    with open(sys.argv[1], encoding="utf-8") as file:
        specs = msgspec.convert(json.load(file), list[EngineSpec])
    asyncio.run(run_engines(specs))


if __name__ == "__main__":
    main()
