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
async def run_deployment(
    specs: list[EngineSpec],
    daemons: int,
    *,
    bundle: dict | None = None,
    proxy_seed: int | None = None,
    before_daemons: Callable[[Deployment], None] = lambda deployment: None,
) -> AsyncIterator[Deployment]:
    """Start a deployment with one process for each engine and stop it at the end.

    When it is yielded, every daemon has the bundle in force and reports of all runners.

    :param specs: engines to start; free ports are chosen where none are given.
    :param daemons: number of daemons.
    :param bundle: bundle to roll, :func:`demo_bundle` by default.
    :param proxy_seed: if given, start a fault proxy with this seed in front of the HTTP
        and fabric addresses of the engines; the deployment has it as ``proxy``.
    :param before_daemons: called with the deployment before the daemons start.
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
    """Return ``spec`` with fixed ports, so that the engine can restart on them."""
    return replace(
        spec,
        port=spec.port or free_port(),
        fabric_port=spec.fabric_port or free_port(),
    )


async def restart_engine(deployment: Deployment, runner: str) -> None:
    """Wait for the exit of a killed engine, then restart it at the same addresses."""
    await deployment.processes_by_name[runner].process.wait()
    vms = list(deployment.vms)
    await deployment.start_engines([deployment.specs_by_runner[runner]], runner)
    deployment.vms = vms


def run_measurement(measurement: Coroutine) -> None:
    """Run a measurement; SIGTERM cancels it, and it stops the processes it started."""

    async def run() -> None:
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        await measurement

    asyncio.run(run())
