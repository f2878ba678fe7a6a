"""Open-loop load generator of drafts and orders, in several processes.

``python -m standins.load SHARD SHARDS`` reads a :class:`LoadPlan` in JSON from
standard input, sends the requests of its share of the schedule at their times,
whatever the answers take, and prints one JSON object. :func:`run_load` runs all
shards and adds their results up.

``lateness`` is how long after its scheduled time a request was sent, and
``cpu_share`` the processor share of the busiest process: the generator is not the
bottleneck while the first stays far below the latencies measured and the second
below one.
"""

import asyncio
import json
import os
import sys
import time
from collections import Counter

import msgspec

from heathershunt.http import Address
from standins.caller import Caller, Transcript
from standins.latencies import Latencies
from standins.launch import ROOT
from standins.load_plan import LARGE, Arrival, LoadPlan, arrivals, token_of
from standins.oracle import expected_tokens

HISTOGRAMS = (
    "first_token",
    "gap",
    "finish_large",
    "finish_small",
    "refusal",
    "lateness",
)


class LoadShard:
    """Sends the arrivals of one process and tallies their answers."""

    def __init__(self, plan: LoadPlan) -> None:
        self._plan = plan
        self._callers: dict[str, Caller] = {}
        self.counts: Counter[str] = Counter()
        self.latencies = {name: Latencies() for name in HISTOGRAMS}

    async def run(self, shard: int, shards: int) -> None:
        """Send every ``shards``-th request of the schedule at its time."""
        async with asyncio.TaskGroup() as group:
            for arrival in arrivals(self._plan):
                if arrival.index % shards != shard:
                    continue
                due = self._plan.start + arrival.at
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                late = (time.monotonic() - due) * 1000
                self.latencies["lateness"].add(late)
                group.create_task(self._send(arrival, due))

    async def _send(self, arrival: Arrival, due: float) -> None:
        caller = self._callers.setdefault(
            arrival.account, Caller(token_of(arrival.account))
        )
        self._count(due, f"offered.{_group(arrival)}")
        if arrival.is_order:
            await self._order(caller, arrival, due)
        else:
            await self._draft(caller, arrival, due)

    async def _order(self, caller: Caller, arrival: Arrival, due: float) -> None:
        status, _, body = await caller.call(
            Address.from_text(arrival.target),
            "POST",
            "/v1/services/orders/orders",
            f"order {arrival.index}".encode(),
            **{"idempotency-key": f"{self._plan.seed}-{arrival.index}"},
        )
        if status == 200:
            self._count(time.monotonic(), "order.ran")
            return
        problem = json.loads(body) if status and body.startswith(b"{") else {}
        verdict = problem.get("verdict", "broken")
        self._count(time.monotonic(), f"order.{verdict}.{status}")

    async def _draft(self, caller: Caller, arrival: Arrival, due: float) -> None:
        last = due

        def note(transcript: Transcript) -> None:
            nonlocal last, seen
            now = time.monotonic()
            fresh = len(transcript.tokens) - seen
            if fresh <= 0:
                return
            name = "gap" if seen else "first_token"
            self.latencies[name].add((now - last) * 1000)
            seen, last = len(transcript.tokens), now
            self._count(now, "tokens", fresh)

        seen = 0
        got = await caller.draft(
            Address.from_text(arrival.target),
            arrival.prompt,
            arrival.tokens,
            model=self._plan.model,
            headers={
                "x-deadline-ms": str(self._plan.deadline_ms),
                "x-priority": arrival.priority,
            },
            on_token=note,
        )
        self._settle(arrival, got, due)

    def _settle(self, arrival: Arrival, got: Transcript, due: float) -> None:
        """Tally the outcome of a draft; a wrong text is never counted as whole."""
        now = time.monotonic()
        taken = (now - due) * 1000
        if got.problem is not None:
            self.latencies["refusal"].add(taken)
            self._count(now, f"draft.{got.problem.get('verdict')}.{got.status}")
            return
        plan = self._plan
        expected = expected_tokens(
            plan.model, plan.version, plan.layers, arrival.prompt, arrival.tokens
        )
        if not got.is_whole:
            self._count(now, "draft.broken")
        elif got.tokens != expected:
            self._count(now, "draft.wrong")
        else:
            group = _group(arrival)
            self.latencies[f"finish_{group}"].add(taken)
            self._count(now, "draft.whole")
            if taken <= plan.deadline_ms:
                self._count(now, "draft.in_time")
                self._count(now, f"in_time.{group}")
                self._count(now, "tokens_in_time", arrival.tokens)

    def _count(self, at: float, name: str, by: int = 1) -> None:
        """Count in total and, if ``at`` lies in the window, for the window."""
        self.counts[f"all.{name}"] += by
        first, last = self._plan.window
        if first <= at - self._plan.start < last:
            self.counts[f"window.{name}"] += by

    def result(self) -> dict:
        """Return counts, encoded histograms and the processor time used."""
        encoded = {n: h.encode().decode() for n, h in self.latencies.items()}
        return {
            "counts": self.counts,
            "histograms": encoded,
            "cpu_seconds": time.process_time(),
        }


class LoadResult:
    """Sum of the results of all shards."""

    def __init__(self, results: list[dict], seconds: float) -> None:
        self.counts: Counter[str] = Counter()
        self.latencies = {name: Latencies() for name in HISTOGRAMS}
        for result in results:
            self.counts.update(result["counts"])
            for name, encoded in result["histograms"].items():
                self.latencies[name].add_encoded(encoded.encode())
        self.cpu_share = max(r["cpu_seconds"] for r in results) / seconds

    def outcomes(self) -> dict[str, int]:
        """Return the counts of all requests by outcome."""
        prefixes = ("all.draft.", "all.order.")
        return {k[4:]: v for k, v in self.counts.items() if k.startswith(prefixes)}


def _group(arrival: Arrival) -> str:
    return "large" if arrival.account == LARGE else "small"


async def run_load(plan: LoadPlan, shards: int) -> LoadResult:
    """Run a load with ``shards`` processes."""
    processes = []
    for shard in range(shards):
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "standins.load", str(shard), str(shards)),
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": "src:."},
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        process.stdin.write(msgspec.json.encode(plan) + b"\n")
        processes.append(process)
    started = time.monotonic()
    try:
        outputs = await asyncio.gather(*(p.communicate() for p in processes))
    finally:
        for process in processes:
            if process.returncode is None:
                process.terminate()
    seconds = max(time.monotonic() - started, plan.seconds)
    return LoadResult([json.loads(output) for output, _ in outputs], seconds)


async def run_shard(shard: int, shards: int) -> None:
    """Run one shard of the plan on standard input."""
    plan = msgspec.json.decode(sys.stdin.buffer.readline(), type=LoadPlan)
    load = LoadShard(plan)
    await load.run(shard, shards)
    print(json.dumps(load.result()), flush=True)


def main() -> None:
    """Run the shard named on the command line."""
    asyncio.run(run_shard(int(sys.argv[1]), int(sys.argv[2])))


if __name__ == "__main__":
    main()
