"""Open-loop load generator that sends drafts and orders from several processes.

``python -m standins.load SHARD SHARDS`` reads a :class:`LoadPlan` in JSON from
standard input, sends the requests of its share of the schedule at their times,
without waiting for answers, and prints one JSON object. :func:`run_load` runs all
shards and adds up their results.

``lateness`` is the time from the scheduled to the actual sending of a request, and
``cpu_share`` the processor share of the busiest process, 1 for a whole core. The
generator is not the bottleneck while ``lateness`` stays far below the latencies
measured and ``cpu_share`` below 1.
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
    """Sends the requests of one process and counts their outcomes."""

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
                late_ms = (time.monotonic() - due) * 1000
                self.latencies["lateness"].add(late_ms)
                group.create_task(self._send(arrival, due))

    async def _send(self, arrival: Arrival, due: float) -> None:
        caller = self._callers.setdefault(
            arrival.account, Caller(token_of(arrival.account))
        )
        self._count(due, f"offered.{_account_group(arrival)}")
        if arrival.is_order:
            await self._send_order(caller, arrival, due)
        else:
            await self._send_draft(caller, arrival, due)

    async def _send_order(self, caller: Caller, arrival: Arrival, due: float) -> None:
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

    async def _send_draft(self, caller: Caller, arrival: Arrival, due: float) -> None:
        last = due

        def record_tokens(transcript: Transcript) -> None:
            nonlocal last, seen
            now = time.monotonic()
            new_tokens = len(transcript.tokens) - seen
            if new_tokens <= 0:
                return
            name = "gap" if seen else "first_token"
            self.latencies[name].add((now - last) * 1000)
            seen, last = len(transcript.tokens), now
            self._count(now, "tokens", new_tokens)

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
            on_token=record_tokens,
        )
        self._record_outcome(arrival, got, due)

    def _record_outcome(self, arrival: Arrival, got: Transcript, due: float) -> None:
        """Count the outcome of a draft; one with a wrong text counts as wrong."""
        now = time.monotonic()
        elapsed_ms = (now - due) * 1000
        if got.problem is not None:
            self.latencies["refusal"].add(elapsed_ms)
            self._count(now, f"draft.{got.problem.get('verdict')}.{got.status}")
            return
        plan = self._plan
        expected = expected_tokens(
            plan.model, plan.version, plan.layers, arrival.prompt, arrival.tokens
        )
        if not got.is_complete:
            self._count(now, "draft.broken")
        elif got.tokens != expected:
            self._count(now, "draft.wrong")
        else:
            group = _account_group(arrival)
            self.latencies[f"finish_{group}"].add(elapsed_ms)
            self._count(now, "draft.whole")
            if elapsed_ms <= plan.deadline_ms:
                self._count(now, "draft.in_time")
                self._count(now, f"in_time.{group}")
                self._count(now, "tokens_in_time", arrival.tokens)

    def _count(self, at: float, name: str, by: int = 1) -> None:
        """Add to the total and, if ``at`` is in the window, to that of the window.

        :param at: monotonic time in seconds.
        """
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
    """Sum of the results of all shards.

    :param results: the JSON objects of the shards.
    :param seconds: duration of the load.
    """

    def __init__(self, results: list[dict], seconds: float) -> None:
        self.counts: Counter[str] = Counter()
        self.latencies = {name: Latencies() for name in HISTOGRAMS}
        for result in results:
            self.counts.update(result["counts"])
            for name, encoded in result["histograms"].items():
                self.latencies[name].add_encoded(encoded.encode())
        self.cpu_share = max(r["cpu_seconds"] for r in results) / seconds

    def outcomes(self) -> dict[str, int]:
        """Return the numbers of drafts and orders by outcome, for the whole load."""
        prefixes = ("all.draft.", "all.order.")
        return {k[4:]: v for k, v in self.counts.items() if k.startswith(prefixes)}


def _account_group(arrival: Arrival) -> str:
    return "large" if arrival.account == LARGE else "small"


async def run_load(plan: LoadPlan, shards: int) -> LoadResult:
    """Run a load with ``shards`` processes and return the sum of their results."""
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
