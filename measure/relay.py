"""Cost of the path through one daemon: tokens per core, and added latency.

About 450 streams with 34 ms between tokens pass through one daemon process. Token
sources and readers are processes of their own; their processor shares are printed
to show that they are not the bottleneck. Latencies compare the time that a token was
written at the source with the time that the reader got it, through the daemon and
over a direct connection.
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
LEAD_SECONDS = 1.0
PROMPT = " ".join(f"word{index}" for index in range(60))


async def start_sources(deployment: Deployment) -> None:
    """Start one token source for each model and list its stages."""
    for index in range(SOURCES):
        model = f"m{index}"
        arguments = [model, str(STAGES), str(LAYERS), str(GAP_MS)]
        process = await deployment.spawn_ready(
            f"source{index}", "standins.token_source", *arguments
        )
        for bound in process.info["engines"]:
            vm = {"vm": bound["runner"], "domain": "a", "state": "live"}
            vm |= {"role": "runner", "address": bound["address"]}
            deployment.vms.append(vm)


def targets(deployment: Deployment, index: int, direct: bool) -> list:
    """Return the addresses that a reader connects to."""
    if not direct:
        address = deployment.ports_by_daemon["vm1"].callers
        return [(address.host, address.port)]
    engines = deployment.processes_by_name[f"source{index}"].info["engines"]
    pairs = (engines[-1]["address"], engines[0]["address"])
    return [(host, int(port)) for host, port in (p.split(":") for p in pairs)]


async def read_streams(deployment: Deployment, direct: bool) -> tuple[list, float]:
    """Run one reader for each source; return results and the daemon's CPU time."""
    start = time.monotonic() + LEAD_SECONDS
    opening = start + RAMP_SECONDS + SETTLE_SECONDS
    window = (opening, opening + WINDOW_SECONDS)
    readers = []
    for index in range(SOURCES):
        reader = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "measure._relay_reader"),
            cwd=ROOT,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        plan = {"targets": targets(deployment, index, direct), "direct": direct}
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
    used = [cpu_seconds(pid) - cpu for pid, cpu in zip(pids, before, strict=True)]
    results = []
    for reader in readers:
        output, _ = await reader.communicate()
        results.append(json.loads(output))
    return results, used


def merged(results: list[dict], key: str) -> Latencies:
    """Return the histogram of all readers."""
    latencies = Latencies()
    for result in results:
        latencies.add_encoded(result[key].encode())
    return latencies


def emit_added(name: str, routed: list[dict], direct: list[dict], key: str) -> None:
    """Print the centiles through the daemon, direct, and their difference."""
    through, straight = merged(routed, key), merged(direct, key)
    for percent in (50, 95, 99):
        base = straight.centile(percent)
        emit(f"{name}.direct.p{percent}", base, "ms")
        emit(
            f"{name}.added.p{percent}",
            through.centile(percent) - base,
            "ms",
            f"direct {base:.2f} ms",
        )


def emit_figures(routed: list, direct: list, used: list[float]) -> None:
    """Print all figures of one run."""
    tokens = sum(result["in_window"] for result in routed)
    whole = sum(result["whole"] for result in routed)
    bound = f"{NEEDED_TOKENS_PER_SECOND} tokens/s needed"
    emit("relay.offered", STREAMS * 1000 / GAP_MS, "tokens/s")
    emit("relay.relayed", tokens / WINDOW_SECONDS, "tokens/s", bound)
    emit("relay.tokens_per_core_second", tokens / used[0], "tokens/s", bound)
    emit("relay.cpu_per_token", used[0] / tokens * 1e6, "us", "75 us for one core")
    emit("relay.daemon_core_share", used[0] / WINDOW_SECONDS, "cores", "1")
    emit("relay.source_core_share", max(used[1:]) / WINDOW_SECONDS, "cores", "1")
    busiest = max(result["cpu_seconds"] for result in routed)
    span = RAMP_SECONDS + TOKENS * GAP_MS / 1000
    emit("relay.reader_core_share", busiest / span, "cores", "1")
    emit("relay.not_whole", STREAMS - whole, "answers", "0")
    emit_added("relay.token", routed, direct, "latency")
    emit_added("relay.first_token", routed, direct, "first")


async def main() -> None:
    """Measure through the daemon, then direct."""
    emit_conditions("relay", 0)
    bundle = demo_bundle(1)
    for account in bundle["accounts"]:
        # The limits of an account are not what is measured here.
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
        routed, used = await read_streams(deployment, False)
        direct, _ = await read_streams(deployment, True)
    finally:
        await deployment.stop()
    emit_figures(routed, direct, used)


if __name__ == "__main__":
    run_measurement(main())
