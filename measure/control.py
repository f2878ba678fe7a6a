"""Control cost of one idle daemon as runners and client accounts grow.

Each step runs a daemon with no traffic and takes its processor share, resident
memory, and the bytes that it exchanges on loopback as counted by a relay in this
process between the daemon and everything it talks to. Slopes come from the first and
the last step; the bounds are those of the design scale for all control work together.
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
FEWEST_RUNNERS, FEWEST_ACCOUNTS = RUNNER_STEPS[0], ACCOUNT_STEPS[0]
SETTLE_SECONDS = 2.0
WINDOW_SECONDS = 6.0
LAYERS = 12
READ_BYTES = 65_536
BOUNDS = {
    "cpu": "1.9 % of a core",
    "memory": "256 MB",
    "bytes": "28 KB/s",
}


class ByteCounter:
    """Forwards connections to a target and counts their bytes both ways."""

    def __init__(self) -> None:
        self.total = 0

    async def before(self, target: str) -> str:
        """Return an address in front of ``target``."""
        address = Address.from_text(target)

        async def serve(reader, writer) -> None:
            try:
                there = await asyncio.open_connection(address.host, address.port)
                await asyncio.gather(
                    self._pump(reader, there[1]), self._pump(there[0], writer)
                )
            except OSError:
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _pump(self, reader, writer) -> None:
        while data := await reader.read(READ_BYTES):
            self.total += len(data)
            writer.write(data)
        writer.close()


def bundle(accounts: int) -> dict:
    """Return a bundle with ``accounts`` client accounts."""
    raw = demo_bundle(1)
    raw["accounts"] = [
        {"name": f"account{index}", "token_sha256": [token_sha256(f"token{index}")]}
        for index in range(accounts)
    ]
    return raw


def specs(runners: int) -> list[EngineSpec]:
    """Return engines that each hold all layers."""
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
    """Return the cost of one daemon without traffic."""
    deployment, counter = Deployment(), ByteCounter()
    try:
        await deployment.start_platform()
        await deployment.start_engines(specs(runners))
        for vm in deployment.vms:
            vm["address"] = await counter.before(vm["address"])
        await deployment.publish_vms()
        platform = await counter.before(str(deployment.platform))
        deployment.platforms_by_daemon["vm1"] = Address.from_text(platform)
        await deployment.start_daemons(1)
        await deployment.roll(bundle(accounts))
        await deployment.wait_ready()
        await deployment.wait_runners(runners)
        await asyncio.sleep(SETTLE_SECONDS)
        pid = deployment.processes_by_name["vm1"].process.pid
        cpu, total, started = cpu_seconds(pid), counter.total, time.monotonic()
        await asyncio.sleep(WINDOW_SECONDS)
        span = time.monotonic() - started
        return {
            "cpu": (cpu_seconds(pid) - cpu) / span * 100,
            "memory": resident_megabytes(pid),
            "bytes": (counter.total - total) / span / 1000,
        }
    finally:
        await deployment.stop()


def emit_step(name: str, cost: dict[str, float]) -> None:
    """Print the figures of one step."""
    units = {"cpu": "% of a core", "memory": "MB", "bytes": "KB/s"}
    for key, unit in units.items():
        emit(f"control.{name}.{key}", cost[key], unit, BOUNDS[key])


def emit_slopes(name: str, few: dict, many: dict, span: int, per: int) -> None:
    """Print the growth of each cost for ``per`` more of what was varied."""
    units = {"cpu": "% of a core", "memory": "MB", "bytes": "KB/s"}
    for key, unit in units.items():
        slope = (many[key] - few[key]) / span * per
        emit(f"control.slope_{name}.{key}", slope, f"{unit} per {per}", BOUNDS[key])


async def main() -> None:
    """Measure all steps."""
    emit_conditions("control", 0)
    steps = [(runners, FEWEST_ACCOUNTS) for runners in RUNNER_STEPS]
    steps += [(FEWEST_RUNNERS, accounts) for accounts in ACCOUNT_STEPS[1:]]
    costs = {}
    for runners, accounts in steps:
        cost = await measure_idle(runners, accounts)
        costs[runners, accounts] = cost
        emit_step(f"{runners}_runners_{accounts}_accounts", cost)
    few = costs[FEWEST_RUNNERS, FEWEST_ACCOUNTS]
    last = RUNNER_STEPS[-1]
    many = costs[last, FEWEST_ACCOUNTS]
    emit_slopes("runners", few, many, last - FEWEST_RUNNERS, 100)
    last = ACCOUNT_STEPS[-1]
    many = costs[FEWEST_RUNNERS, last]
    emit_slopes("accounts", few, many, last - FEWEST_ACCOUNTS, 1000)


if __name__ == "__main__":
    run_measurement(main())
