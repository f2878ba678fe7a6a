"""Deployments that the measurements run against."""

import asyncio
import contextlib
import signal
from collections.abc import AsyncIterator, Callable, Coroutine
from dataclasses import replace

from standins.demo import demo_bundle
from standins.engine_state import EngineSpec
from standins.launch import Deployment
from standins.ports import free_port

LAYERS = 12


@contextlib.asynccontextmanager
async def deployment_of(
    specs: list[EngineSpec],
    daemons: int,
    *,
    bundle: dict | None = None,
    proxy_seed: int | None = None,
    before_daemons: Callable[[Deployment], None] = lambda deployment: None,
) -> AsyncIterator[Deployment]:
    """Run a deployment with one process for each engine.

    :param proxy_seed: put a fault proxy before engines and fabric if given; it is
        the attribute ``proxy`` of the deployment then.
    """
    deployment = Deployment()
    try:
        await deployment.start_platform()
        deployment.proxy = None
        if proxy_seed is not None:
            deployment.proxy = await deployment.start_proxy(proxy_seed)
            specs = await deployment.proxy.intercept_fabric(specs)
        specs = [with_ports(spec) for spec in specs]
        deployment.specs_by_runner = {spec.runner: spec for spec in specs}
        for spec in specs:
            await deployment.start_engines([spec], spec.runner)
        if deployment.proxy is not None:
            await deployment.proxy.intercept_engines()
        await deployment.publish_vms()
        before_daemons(deployment)
        await deployment.start_daemons(daemons)
        await deployment.roll(bundle or demo_bundle(1))
        await deployment.wait_ready()
        await deployment.wait_runners(len(specs))
        yield deployment
    finally:
        for process in deployment.processes_by_name.values():
            if process.name.startswith("vm"):
                process.kill()
        await deployment.stop()


def with_ports(spec: EngineSpec) -> EngineSpec:
    """Return ``spec`` with fixed ports, so that the engine can be started again."""
    return replace(
        spec,
        port=spec.port or free_port(),
        fabric_port=spec.fabric_port or free_port(),
    )


async def restart_engine(deployment: Deployment, runner: str) -> None:
    """Start a killed engine again at its old addresses."""
    await deployment.processes_by_name[runner].process.wait()
    vms = list(deployment.vms)
    await deployment.start_engines([deployment.specs_by_runner[runner]], runner)
    deployment.vms = vms


def run_measurement(work: Coroutine) -> None:
    """Run a measurement; SIGTERM ends it together with the processes it started."""

    async def run() -> None:
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        await work

    asyncio.run(run())
