"""Control cost of one idle daemon as runners and client accounts grow.

Each step runs a daemon without traffic and measures its processor share, its resident
memory, and the bytes that it exchanges with the store and the runners, which a proxy in
this process counts. Slopes are computed from the first and the last step; the bounds
are those of the design scale for all control work together.
"""

import asyncio
import time

from heathershunt.http import Address
from measure._fleet import run_measurement
from measure._report import (
    cpu_seconds,
    emit,
    emit_conditions,
    resident_megabytes,
)
from standins.bundles import token_sha256
from standins.demo import demo_bundle
from standins.engine_state import EngineSpec
from standins.launch import Deployment

RUNNER_STEPS = (10, 40, 160)
ACCOUNT_STEPS = (10, 1_000, 27_000)
MIN_RUNNERS, MIN_ACCOUNTS = RUNNER_STEPS[0], ACCOUNT_STEPS[0]
SETTLE_SECONDS = 2.0
WINDOW_SECONDS = 6.0
LAYERS = 12
READ_BYTES = 65_536
BOUNDS = {
    "cpu": "1.9 % of a core",
    "memory": "256 MB",
    "bytes": "28 KB/s",
}


class CountingProxy:
    """Forwards TCP connections and counts their bytes in both directions."""

    def __init__(self) -> None:
        self.byte_count = 0

    async def listen_for(self, target: str) -> str:
        """Listen on a new port for connections to ``target``; return its address."""
        address = Address.from_text(target)

        async def serve(reader, writer) -> None:
            try:
                upstream = await asyncio.open_connection(address.host, address.port)
                await asyncio.gather(
                    self._copy(reader, upstream[1]), self._copy(upstream[0], writer)
                )
            except OSError:
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _copy(self, reader, writer) -> None:
        while data := await reader.read(READ_BYTES):
            self.byte_count += len(data)
            writer.write(data)
        writer.close()


def make_bundle(accounts: int) -> dict:
    """Return a bundle with ``accounts`` client accounts."""
    bundle = demo_bundle(1)
    bundle["accounts"] = [
        {"name": f"account{index}", "token_sha256": [token_sha256(f"token{index}")]}
        for index in range(accounts)
    ]
    return bundle


def engine_specs(runners: int) -> list[EngineSpec]:
    """Return the specs of engines that each hold all layers."""
    return [
        EngineSpec(
            runner=f"r{index}",
            model="m",
            version="v1",
            first_layer=0,
            end_layer=LAYERS,
            layers=LAYERS,
        )
        for index in range(runners)
    ]


async def measure_idle(runners: int, accounts: int) -> dict[str, float]:
    """Return the processor share in %, memory in MiB and KB/s of one idle daemon."""
    deployment, proxy = Deployment(), CountingProxy()
    try:
        await deployment.start_platform()
        await deployment.start_engines(engine_specs(runners))
        for vm in deployment.vms:
            vm["address"] = await proxy.listen_for(vm["address"])
        await deployment.publish_vms()
        platform = await proxy.listen_for(str(deployment.platform))
        deployment.platforms_by_daemon["vm1"] = Address.from_text(platform)
        await deployment.start_daemons(1)
        await deployment.roll(make_bundle(accounts))
        await deployment.wait_ready()
        await deployment.wait_runners(runners)
        await asyncio.sleep(SETTLE_SECONDS)
        pid = deployment.processes_by_name["vm1"].process.pid
        cpu_before, bytes_before, start = (
            cpu_seconds(pid),
            proxy.byte_count,
            time.monotonic(),
        )
        await asyncio.sleep(WINDOW_SECONDS)
        elapsed = time.monotonic() - start
        return {
            "cpu": (cpu_seconds(pid) - cpu_before) / elapsed * 100,
            "memory": resident_megabytes(pid),
            "bytes": (proxy.byte_count - bytes_before) / elapsed / 1000,
        }
    finally:
        await deployment.stop()


def emit_step(name: str, cost: dict[str, float]) -> None:
    """Print the figures of one step."""
    units = {"cpu": "% of a core", "memory": "MB", "bytes": "KB/s"}
    for key, unit in units.items():
        emit(f"control.{name}.{key}", cost[key], unit, BOUNDS[key])


def emit_slopes(name: str, low: dict, high: dict, difference: int, per: int) -> None:
    """Print the growth of each cost for ``per`` more runners or accounts.

    :param difference: runners or accounts of ``high`` less those of ``low``.
    """
    units = {"cpu": "% of a core", "memory": "MB", "bytes": "KB/s"}
    for key, unit in units.items():
        slope = (high[key] - low[key]) / difference * per
        emit(f"control.slope_{name}.{key}", slope, f"{unit} per {per}", BOUNDS[key])


async def main() -> None:
    """Measure all steps."""
    emit_conditions("control", 0)
    steps = [(runners, MIN_ACCOUNTS) for runners in RUNNER_STEPS]
    steps += [(MIN_RUNNERS, accounts) for accounts in ACCOUNT_STEPS[1:]]
    costs = {}
    for runners, accounts in steps:
        cost = await measure_idle(runners, accounts)
        costs[runners, accounts] = cost
        emit_step(f"{runners}_runners_{accounts}_accounts", cost)
    low = costs[MIN_RUNNERS, MIN_ACCOUNTS]
    last = RUNNER_STEPS[-1]
    high = costs[last, MIN_ACCOUNTS]
    emit_slopes("runners", low, high, last - MIN_RUNNERS, 100)
    last = ACCOUNT_STEPS[-1]
    high = costs[MIN_RUNNERS, last]
    emit_slopes("accounts", low, high, last - MIN_ACCOUNTS, 1000)


if __name__ == "__main__":
    run_measurement(main())
