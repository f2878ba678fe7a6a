"""Throughput over the bound of mixed engines, goodput and fairness.

The bound follows from the figures of the engines that run: a stage serves no more
tokens a second than its runners do with full batches, less the time for prompts,
whose shared prefixes are taken as cached. ``throughput`` is tokens that reached
callers over the bound, ``goodput`` the same for answers whole and in time; both count
only what arrived in the window, after the pipeline has filled.

The baseline chooses runners by round robin and admits everything.
"""

import os
import time

from measure._fleet import LAYERS, deployment_of, run_measurement
from measure._report import cpu_seconds, emit, emit_centiles, emit_conditions
from standins.bundles import token_sha256
from standins.demo import demo_bundle
from standins.engine_state import EngineSpec
from standins.launch import Deployment
from standins.load import LoadResult, run_load
from standins.load_plan import (
    MARKET_DAY,
    STEADY,
    LoadPlan,
    account_names,
    arrivals,
    token_of,
)

SEED = 4_711
STAGES = 3
DAEMONS = 2
SHARDS = 3
SECONDS = 8.0
WINDOW = (3.0, 8.0)
LEAD_SECONDS = 1.5
SMALL_ACCOUNTS = 9
DEADLINE_MS = 4000
LEVELS = (0.5, 0.9, 1.0, 1.5, 3.0)
BASELINE_LEVELS = (1.0, 1.5, 3.0)
PREFILL_TOKEN_MS = 0.05
# kind: batch limit, step in ms, time for each token of a step in ms
KINDS = {"fast": (16, 20.0, 1.0), "middle": (8, 20.0, 1.5), "slow": (4, 24.0, 2.0)}


def fleet() -> list[EngineSpec]:
    """Return one runner of each kind for each stage."""
    cut = LAYERS // STAGES
    return [
        EngineSpec(
            runner=f"{kind}-s{stage}",
            model="m",
            version="v1",
            first_layer=stage * cut,
            end_layer=(stage + 1) * cut,
            layers=LAYERS,
            domain="abc"[index],
            kind=kind,
            batch_limit=batch,
            step_ms=step_ms,
            token_ms=token_ms,
            prefill_token_ms=PREFILL_TOKEN_MS,
            keep_ledger=False,
        )
        for stage in range(STAGES)
        for index, (kind, (batch, step_ms, token_ms)) in enumerate(KINDS.items())
    ]


def bound_of(specs: list[EngineSpec], plan: LoadPlan) -> tuple[float, float]:
    """Return the requests and the tokens a second that the engines allow."""
    drawn = list(arrivals(plan))
    tokens = sum(arrival.tokens for arrival in drawn) / len(drawn)
    prefill = sum(arrival.tail_words for arrival in drawn) / len(drawn)
    by_stage: dict[int, float] = {}
    for spec in specs:
        token_ms = spec.step_ms / spec.batch_limit + spec.token_ms
        request_ms = tokens * token_ms + prefill * spec.prefill_token_ms
        rate = by_stage.get(spec.first_layer, 0.0) + 1000 / request_ms
        by_stage[spec.first_layer] = rate
    requests = min(by_stage.values())
    return requests, requests * tokens


def plan_of(deployment: Deployment | None, rate: float, waves=STEADY) -> LoadPlan:
    """Return the load at a mean rate."""
    targets = ["-", "-"]
    if deployment is not None:
        targets = [str(p.callers) for p in deployment.ports_by_daemon.values()]
    return LoadPlan(
        targets,
        rate,
        SECONDS,
        SEED,
        start=time.monotonic() + LEAD_SECONDS,
        window=WINDOW,
        waves=waves,
        small_accounts=SMALL_ACCOUNTS,
        deadline_ms=DEADLINE_MS,
    )


def bundle() -> dict:
    """Return a bundle with the accounts of the load."""
    raw = demo_bundle(1)
    raw["accounts"] = [
        {
            "name": name,
            "token_sha256": [token_sha256(token_of(name))],
            "requests_per_second": 100_000.0,
            "concurrent": 100_000,
            # Requests may ask for this priority or a lower one.
            "priority": "urgent",
        }
        for name in account_names(plan_of(None, 1.0))
    ]
    return raw


def emit_run(name: str, result: LoadResult, bound_tokens: float) -> None:
    """Print the figures of one load."""
    counts, latencies = result.counts, result.latencies
    seconds = WINDOW[1] - WINDOW[0]
    tokens = counts["window.tokens"] / seconds
    good = counts["window.tokens_in_time"] / seconds
    bound = f"bound {bound_tokens:.0f} tokens/s"
    emit(f"{name}.throughput", tokens / bound_tokens, "of bound", bound)
    emit(f"{name}.goodput", good / bound_tokens, "of bound", bound)
    for group in ("large", "small"):
        offered = counts[f"all.offered.{group}"]
        share = counts[f"all.in_time.{group}"] / max(1, offered)
        emit(f"{name}.in_time_{group}", share, "of offered")
    emit_centiles(f"{name}.first_token", latencies["first_token"], centiles=(50, 95))
    emit_centiles(f"{name}.gap", latencies["gap"], centiles=(50, 95))
    for group in ("large", "small"):
        finish = latencies[f"finish_{group}"]
        emit_centiles(f"{name}.finish_{group}", finish, centiles=(50, 95))
    outcomes = result.outcomes()
    for outcome, count in sorted(outcomes.items()):
        emit(f"{name}.outcome.{outcome}", count, "requests")
    emit(f"{name}.wrong", outcomes.get("draft.wrong", 0), "answers", "0")
    emit_centiles(f"{name}.generator_late", latencies["lateness"], centiles=(99,))
    emit(f"{name}.generator_core_share", result.cpu_share, "cores", "1")


async def run_levels(prefix: str, module: str, runs: list[tuple]) -> None:
    """Run loads ``(name, level, waves)`` against one fleet of daemons."""
    specs = fleet()
    bound, bound_tokens = bound_of(specs, plan_of(None, 1000.0))

    def use_module(deployment: Deployment) -> None:
        deployment.daemon_module = module

    async with deployment_of(
        specs, DAEMONS, bundle=bundle(), before_daemons=use_module
    ) as deployment:
        daemon = deployment.processes_by_name["vm1"].process.pid
        for name, level, waves in runs:
            used = cpu_seconds(daemon)
            plan = plan_of(deployment, bound * level, waves)
            result = await run_load(plan, SHARDS)
            emit_run(f"{prefix}.{name}", result, bound_tokens)
            share = (cpu_seconds(daemon) - used) / SECONDS
            emit(f"{prefix}.{name}.daemon_core_share", share, "cores", "1")


async def main() -> None:
    """Run all levels, the market day, and the baseline."""
    emit_conditions("throughput", SEED)
    runs = [(f"at_{level}", level, STEADY) for level in LEVELS]
    runs.append(("market_day_0.9", 0.9, MARKET_DAY))
    chosen = os.environ.get("HEATHERSHUNT_MEASURE_LEVELS")
    if chosen:
        runs = [run for run in runs if run[0] in chosen.split(",")]
    await run_levels("throughput", "heathershunt.daemon.main", runs)
    if not chosen:
        baseline = [(f"at_{level}", level, STEADY) for level in BASELINE_LEVELS]
        module = "measure._round_robin_daemon"
        await run_levels("throughput.baseline", module, baseline)


if __name__ == "__main__":
    run_measurement(main())
