"""Cost of the path through one daemon: tokens per core, and added latency.

450 streams with 34 ms between tokens pass through one daemon process. Token sources and
readers are separate processes; their processor shares are printed to show that they are
not the bottleneck. The latency of a token is the time from its write at the source to
its read at the reader, through the daemon and over a direct connection.
"""

import asyncio
import json
import sys
import time

from measure._fleet import run_measurement
from measure._report import cpu_seconds, emit, emit_conditions
from standins.demo import demo_bundle
from standins.latencies import Latencies
from standins.launch import ROOT, Deployment

NEEDED_TOKENS_PER_SECOND = 13_334
STREAMS = 450
SOURCES = 3
GAP_MS = 34
STAGES = 3
LAYERS = 12
TOKENS = 520
# 37 new drafts a second; the design scale gives a node 33 requests a second.
RAMP_SECONDS = 12.0
SETTLE_SECONDS = 0.5
WINDOW_SECONDS = 5.0
START_DELAY_SECONDS = 1.0
PROMPT = " ".join(f"word{index}" for index in range(60))


async def start_sources(deployment: Deployment) -> None:
    """Start one token source for each model and add its stages to the VM list."""
    for index in range(SOURCES):
        model = f"m{index}"
        arguments = [model, str(STAGES), str(LAYERS), str(GAP_MS)]
        process = await deployment.spawn_ready(
            f"source{index}", "standins.token_source", *arguments
        )
        for engine in process.info["engines"]:
            vm = {"vm": engine["runner"], "domain": "a", "state": "live"}
            vm |= {"role": "runner", "address": engine["address"]}
            deployment.vms.append(vm)


def reader_targets(deployment: Deployment, index: int, direct: bool) -> list:
    """Return the addresses that a reader connects to, as in ``Plan.targets``."""
    if not direct:
        address = deployment.ports_by_daemon["vm1"].callers
        return [(address.host, address.port)]
    engines = deployment.processes_by_name[f"source{index}"].info["engines"]
    pairs = (engines[-1]["address"], engines[0]["address"])
    return [(host, int(port)) for host, port in (p.split(":") for p in pairs)]


async def read_streams(deployment: Deployment, direct: bool) -> tuple[list, float]:
    """Run one reader for each source.

    :return: the results of the readers, and the processor seconds that the daemon and
        then each source used in the window.
    """
    start = time.monotonic() + START_DELAY_SECONDS
    window_start = start + RAMP_SECONDS + SETTLE_SECONDS
    window = (window_start, window_start + WINDOW_SECONDS)
    readers = []
    for index in range(SOURCES):
        reader = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "measure._relay_reader"),
            cwd=ROOT,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        plan = {"targets": reader_targets(deployment, index, direct), "direct": direct}
        plan |= {"model": f"m{index}", "streams": STREAMS // SOURCES}
        plan |= {"tokens": TOKENS, "prompt": PROMPT, "start": start}
        plan |= {"ramp": RAMP_SECONDS, "window": window, "name": f"direct{index}"}
        reader.stdin.write(json.dumps(plan).encode() + b"\n")
        readers.append(reader)
    names = ["vm1"] + [f"source{index}" for index in range(SOURCES)]
    pids = [deployment.processes_by_name[name].process.pid for name in names]
    await asyncio.sleep(window[0] - time.monotonic())
    before = [cpu_seconds(pid) for pid in pids]
    await asyncio.sleep(window[1] - time.monotonic())
    cpu_used = [cpu_seconds(pid) - cpu for pid, cpu in zip(pids, before, strict=True)]
    results = []
    for reader in readers:
        output, _ = await reader.communicate()
        results.append(json.loads(output))
    return results, cpu_used


def merge(results: list[dict], key: str) -> Latencies:
    """Return the histogram of all readers under ``key``."""
    latencies = Latencies()
    for result in results:
        latencies.add_encoded(result[key].encode())
    return latencies


def emit_added(name: str, routed: list[dict], direct: list[dict], key: str) -> None:
    """Print the percentiles of direct streams and what the daemon adds to each."""
    routed_latencies, direct_latencies = merge(routed, key), merge(direct, key)
    for percent in (50, 95, 99):
        direct_ms = direct_latencies.centile(percent)
        emit(f"{name}.direct.p{percent}", direct_ms, "ms")
        emit(
            f"{name}.added.p{percent}",
            routed_latencies.centile(percent) - direct_ms,
            "ms",
            f"direct {direct_ms:.2f} ms",
        )


def emit_figures(routed: list, direct: list, cpu_used: list[float]) -> None:
    """Print all figures of one run."""
    tokens = sum(result["in_window"] for result in routed)
    complete = sum(result["whole"] for result in routed)
    bound = f"{NEEDED_TOKENS_PER_SECOND} tokens/s needed"
    emit("relay.offered", STREAMS * 1000 / GAP_MS, "tokens/s")
    emit("relay.relayed", tokens / WINDOW_SECONDS, "tokens/s", bound)
    emit("relay.tokens_per_core_second", tokens / cpu_used[0], "tokens/s", bound)
    emit("relay.cpu_per_token", cpu_used[0] / tokens * 1e6, "us", "75 us for one core")
    emit("relay.daemon_core_share", cpu_used[0] / WINDOW_SECONDS, "cores", "1")
    emit("relay.source_core_share", max(cpu_used[1:]) / WINDOW_SECONDS, "cores", "1")
    busiest = max(result["cpu_seconds"] for result in routed)
    span = RAMP_SECONDS + TOKENS * GAP_MS / 1000
    emit("relay.reader_core_share", busiest / span, "cores", "1")
    emit("relay.not_whole", STREAMS - complete, "answers", "0")
    emit_added("relay.token", routed, direct, "latency")
    emit_added("relay.first_token", routed, direct, "first")


async def main() -> None:
    """Measure streams through the daemon, then direct ones."""
    emit_conditions("relay", 0)
    bundle = demo_bundle(1)
    for account in bundle["accounts"]:
        # Raise the account limits, so that they do not limit the load.
        account |= {"concurrent": 10_000, "requests_per_second": 10_000}
    bundle["priorities"] = [{"name": "normal", "rank": 1, "deadline_ms": 600_000}]
    bundle["models"] = [
        {"name": f"m{index}", "layers": LAYERS, "version": "v1"}
        for index in range(SOURCES)
    ]
    deployment = Deployment()
    try:
        await deployment.start_platform()
        await start_sources(deployment)
        await deployment.publish_vms()
        await deployment.start_daemons(1)
        await deployment.roll(bundle)
        await deployment.wait_ready()
        await deployment.wait_runners(SOURCES * STAGES)
        routed, cpu_used = await read_streams(deployment, False)
        direct, _ = await read_streams(deployment, True)
    finally:
        await deployment.stop()
    emit_figures(routed, direct, cpu_used)


if __name__ == "__main__":
    run_measurement(main())
