"""Throughput over the bound of mixed engines, goodput and fairness.

The bound is computed from the specs of the engines: a stage serves at most the tokens a
second that its runners do with full batches, less the time for prompts, whose shared
prefixes count as cached. ``throughput`` is the tokens that callers received over the
bound, ``goodput`` only those of complete answers before their deadline; both count what
arrived in the window, after the pipeline has filled.

The baseline chooses runners by round robin and admits all requests.
"""

import os
import time

from measure._fleet import LAYERS, run_deployment, run_measurement
from measure._report import cpu_seconds, emit, emit_conditions, emit_percentiles
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
GENERATORS = 3
RUN_SECONDS = 8.0
WINDOW = (3.0, 8.0)
START_DELAY_SECONDS = 1.5
SMALL_ACCOUNTS = 9
DEADLINE_MS = 4000
LEVELS = (0.5, 0.9, 1.0, 1.5, 3.0)
BASELINE_LEVELS = (1.0, 1.5, 3.0)
PREFILL_TOKEN_MS = 0.05
# By kind of runner: batch limit, time of a step and of each token in it, in ms.
KINDS = {"fast": (16, 20.0, 1.0), "middle": (8, 20.0, 1.5), "slow": (4, 24.0, 2.0)}


def engine_specs() -> list[EngineSpec]:
    """Return the specs of one engine of each kind for each stage."""
    layers_per_stage = LAYERS // STAGES
    return [
        EngineSpec(
            runner=f"{kind}-s{stage}",
            model="m",
            version="v1",
            first_layer=stage * layers_per_stage,
            end_layer=(stage + 1) * layers_per_stage,
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


def capacity_bound(specs: list[EngineSpec], plan: LoadPlan) -> tuple[float, float]:
    """Return the most requests and tokens a second that the engines can serve.

    :param plan: load whose mean answer and prompt lengths the bound is computed for.
    """
    sample = list(arrivals(plan))
    tokens = sum(arrival.tokens for arrival in sample) / len(sample)
    prefill = sum(arrival.tail_words for arrival in sample) / len(sample)
    rate_by_stage: dict[int, float] = {}
    for spec in specs:
        token_ms = spec.step_ms / spec.batch_limit + spec.token_ms
        request_ms = tokens * token_ms + prefill * spec.prefill_token_ms
        rate = rate_by_stage.get(spec.first_layer, 0.0) + 1000 / request_ms
        rate_by_stage[spec.first_layer] = rate
    requests = min(rate_by_stage.values())
    return requests, requests * tokens


def make_plan(deployment: Deployment | None, rate: float, waves=STEADY) -> LoadPlan:
    """Return the plan of a load.

    :param deployment: daemons to send the load to; without them the plan only describes
        arrivals and accounts.
    :param rate: mean requests a second.
    """
    targets = ["-", "-"]
    if deployment is not None:
        targets = [str(p.callers) for p in deployment.ports_by_daemon.values()]
    return LoadPlan(
        targets,
        rate,
        RUN_SECONDS,
        SEED,
        start=time.monotonic() + START_DELAY_SECONDS,
        window=WINDOW,
        waves=waves,
        small_accounts=SMALL_ACCOUNTS,
        deadline_ms=DEADLINE_MS,
    )


def make_bundle() -> dict:
    """Return a bundle with the accounts of the load and limits that it stays below."""
    bundle = demo_bundle(1)
    bundle["accounts"] = [
        {
            "name": name,
            "token_sha256": [token_sha256(token_of(name))],
            "requests_per_second": 100_000.0,
            "concurrent": 100_000,
            # The highest priority that requests of the account may ask for.
            "priority": "urgent",
        }
        for name in account_names(make_plan(None, 1.0))
    ]
    return bundle


def emit_run(name: str, result: LoadResult, bound_tokens: float) -> None:
    """Print the figures of one load.

    :param bound_tokens: upper bound of the throughput, in tokens a second.
    """
    counts, latencies = result.counts, result.latencies
    seconds = WINDOW[1] - WINDOW[0]
    tokens = counts["window.tokens"] / seconds
    tokens_in_time = counts["window.tokens_in_time"] / seconds
    bound = f"bound {bound_tokens:.0f} tokens/s"
    emit(f"{name}.throughput", tokens / bound_tokens, "of bound", bound)
    emit(f"{name}.goodput", tokens_in_time / bound_tokens, "of bound", bound)
    for group in ("large", "small"):
        offered = counts[f"all.offered.{group}"]
        share = counts[f"all.in_time.{group}"] / max(1, offered)
        emit(f"{name}.in_time_{group}", share, "of offered")
    emit_percentiles(
        f"{name}.first_token", latencies["first_token"], percentiles=(50, 95)
    )
    emit_percentiles(f"{name}.gap", latencies["gap"], percentiles=(50, 95))
    for group in ("large", "small"):
        finish = latencies[f"finish_{group}"]
        emit_percentiles(f"{name}.finish_{group}", finish, percentiles=(50, 95))
    outcomes = result.outcomes()
    for outcome, count in sorted(outcomes.items()):
        emit(f"{name}.outcome.{outcome}", count, "requests")
    emit(f"{name}.wrong", outcomes.get("draft.wrong", 0), "answers", "0")
    emit_percentiles(f"{name}.generator_late", latencies["lateness"], percentiles=(99,))
    emit(f"{name}.generator_core_share", result.cpu_share, "cores", "1")


async def run_levels(prefix: str, module: str, runs: list[tuple]) -> None:
    """Run loads against one deployment and print their figures.

    :param module: module of the daemons.
    :param runs: tuples of name, load as a fraction of the bound, and waves.
    """
    specs = engine_specs()
    bound, bound_tokens = capacity_bound(specs, make_plan(None, 1000.0))

    def use_module(deployment: Deployment) -> None:
        deployment.daemon_module = module

    async with run_deployment(
        specs, DAEMONS, bundle=make_bundle(), before_daemons=use_module
    ) as deployment:
        daemon = deployment.processes_by_name["vm1"].process.pid
        for name, level, waves in runs:
            cpu_before = cpu_seconds(daemon)
            plan = make_plan(deployment, bound * level, waves)
            result = await run_load(plan, GENERATORS)
            emit_run(f"{prefix}.{name}", result, bound_tokens)
            share = (cpu_seconds(daemon) - cpu_before) / RUN_SECONDS
            emit(f"{prefix}.{name}.daemon_core_share", share, "cores", "1")


async def main() -> None:
    """Run all load levels, the market day, and the baseline.

    ``HEATHERSHUNT_MEASURE_LEVELS`` names the runs to do, separated by commas; the
    baseline is left out then.
    """
    emit_conditions("throughput", SEED)
    runs = [(f"at_{level}", level, STEADY) for level in LEVELS]
    runs.append(("market_day_0.9", 0.9, MARKET_DAY))
    selection = os.environ.get("HEATHERSHUNT_MEASURE_LEVELS")
    if selection:
        runs = [run for run in runs if run[0] in selection.split(",")]
    await run_levels("throughput", "heathershunt.daemon.main", runs)
    if not selection:
        baseline = [(f"at_{level}", level, STEADY) for level in BASELINE_LEVELS]
        module = "measure._round_robin_daemon"
        await run_levels("throughput.baseline", module, baseline)


if __name__ == "__main__":
    run_measurement(main())
