"""Launcher that runs stand-ins and daemons as separate processes on loopback.

A development tool for the demo, the tests and the measurements. It signals only
processes that it started.
"""

import asyncio
import json
import os
import sys
import tempfile
from dataclasses import asdict, dataclass
from pathlib import Path

from result import Err

from heathershunt.bundle import (
    Bundle,
    SignedRoot,
    bundle_from_mapping,
    encode_root,
    new_key_pair,
    sign_root,
    split_bundle,
)
from heathershunt.http import Address, HttpClient
from heathershunt.store import KeyValueStore, roll_bundle
from standins.bundles import token_sha256
from standins.engine_state import EngineSpec
from standins.ports import free_port
from standins.process import Process
from standins.proxy_control import ProxyControl

HOST = "127.0.0.1"
ROOT = Path(__file__).resolve().parent.parent
READY_SECONDS = 20
POLL_SECONDS = 0.02


class LaunchError(Exception):
    """A process did not start or did not become ready."""


@dataclass(frozen=True)
class DaemonPorts:
    """Addresses of one daemon's listeners."""

    callers: Address
    operators: Address
    peers: Address


def pipeline_specs(
    model: str,
    version: str,
    layers: int,
    stages: int,
    replicas: int,
    **options,
) -> list[EngineSpec]:
    """Return engines for ``replicas`` pipelines of ``stages`` equal stages.

    The last stage also holds the layers that do not divide evenly.

    :param options: further fields of each :class:`EngineSpec`.
    """
    cut = layers // stages
    return [
        EngineSpec(
            runner=f"{model}-s{stage}-r{replica}",
            model=model,
            version=version,
            first_layer=stage * cut,
            end_layer=layers if stage == stages - 1 else (stage + 1) * cut,
            layers=layers,
            domain="abc"[replica % 3],
            **options,
        )
        for stage in range(stages)
        for replica in range(replicas)
    ]


class Deployment:
    """Platform, engines, services and daemons, each in a process of its own.

    Subclasses may set ``daemon_module`` to a module that runs a modified daemon.

    :ivar vms: entries of the VM list, sent to the platform by :meth:`publish_vms`.
    :ivar extra_settings: text added to the settings file of each daemon.
    :ivar previous_root: hash of the root rolled last, empty before the first.
    """

    daemon_module = "heathershunt.daemon.main"

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="heathershunt-")
        self.folder = Path(self._folder.name)
        self.processes_by_name: dict[str, Process] = {}
        self.ports_by_daemon: dict[str, DaemonPorts] = {}
        self.platforms_by_daemon: dict[str, Address] = {}
        self.http = HttpClient()
        self.private_key, self.public_key = new_key_pair()
        self.operator_key = "operator-key"
        self.vms: list[dict] = []
        self.extra_settings = ""
        self.previous_root = ""
        self.last_signed: SignedRoot | None = None

    async def spawn(self, name: str, *arguments: str, env: dict | None = None):
        """Start a Python module as a process that logs to ``<name>.log``."""
        log_path = self.folder / f"{name}.log"
        with log_path.open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *arguments,
                cwd=ROOT,
                env={**os.environ, "PYTHONPATH": "src:.", **(env or {})},
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
            )
        started = Process(name, process, log_path)
        self.processes_by_name[name] = started
        return started

    async def spawn_ready(self, name: str, *arguments: str) -> Process:
        """Start a stand-in and wait for the JSON line with its addresses.

        :raises LaunchError: if the line does not come within ``READY_SECONDS``.
        """
        started = await self.spawn(name, *arguments)
        try:
            async with asyncio.timeout(READY_SECONDS):
                line = await started.process.stdout.readline()
        except TimeoutError:
            line = b""
        if not line:
            raise LaunchError(f"{name} did not start: {started.log_text()}")
        started.info = json.loads(line)
        if "address" in started.info:
            started.address = Address.from_text(started.info["address"])
        return started

    async def start_platform(self) -> Process:
        """Start the platform stand-in."""
        return await self.spawn_ready("platform", "standins.platform")

    async def start_weights(self, layers_per_second: float) -> Process:
        """Start the weight store stand-in."""
        return await self.spawn_ready(
            "weights", "standins.weights", str(layers_per_second)
        )

    @property
    def platform(self) -> Address:
        """Return the address of the platform."""
        return self.processes_by_name["platform"].address

    async def start_proxy(self, seed: int = 0, name: str = "proxy") -> ProxyControl:
        """Start a fault proxy; its ``intercept_...`` methods put pairs in place."""
        process = await self.spawn_ready(name, "standins.proxy", str(seed))
        return ProxyControl(self, process.address)

    async def start_engines(self, specs: list[EngineSpec], name="engines") -> Process:
        """Start one process with the given engines and add their VMs to the list."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps([asdict(spec) for spec in specs]))
        process = await self.spawn_ready(name, "standins.engine", str(path))
        for spec, bound in zip(specs, process.info["engines"], strict=True):
            self.vms.append(
                {
                    "vm": spec.vm or spec.runner,
                    "domain": spec.domain,
                    "state": "live",
                    "role": "runner",
                    "address": bound["address"],
                    "process": name,
                }
            )
        return process

    async def start_service(self, name: str, service: str = "") -> Process:
        """Start one instance of a plain service and add its VM to the list.

        :param service: name of the service, by default that of the process.
        """
        process = await self.spawn_ready(name, "standins.service")
        self.vms.append(
            {
                "vm": name,
                "domain": "a",
                "state": "live",
                "role": "service",
                "address": str(process.address),
                "service": service or name,
            }
        )
        return process

    async def publish_vms(self) -> None:
        """Send the VM list to the platform."""
        keys = ("vm", "domain", "state", "role", "address", "service")
        vms = [{k: vm[k] for k in keys if k in vm} for vm in self.vms]
        await self.call(self.platform, "PUT", "/v1/vms", {"vms": vms})

    async def call(self, address: Address, method: str, target: str, payload=None):
        """Send a JSON request to a stand-in and return the decoded reply."""
        outcome = await self.http.request_json(address, method, target, payload)
        return outcome.unwrap()[1]

    def daemon_settings(self, name: str, index: int) -> str:
        """Return the text of the settings file of a daemon.

        :param index: decides the failure domain.
        """
        ports = self.ports_by_daemon[name]
        seeds = [
            f'"{other.peers}"' for n, other in self.ports_by_daemon.items() if n != name
        ]
        operator = token_sha256(self.operator_key)
        platform = self.platforms_by_daemon.get(name, self.platform)
        return f"""
[vm]
name = "{name}"
domain = "{"abc"[index % 3]}"

[listen]
callers = "{ports.callers}"
operators = "{ports.operators}"
peers = "{ports.peers}"

[platform]
store = ["{platform}"]
vm_list = "{platform}"

[bundle]
trusted_keys = ["{self.public_key}"]

[drafts]
return_window_ms = 3000

[peers]
seeds = [{", ".join(seeds)}]

[operators]
key_sha256 = ["{operator}"]
{self.extra_settings}"""

    async def start_daemons(self, count: int) -> None:
        """Start the daemons ``vm1``, ``vm2`` and so on; wait until each is healthy."""
        for index in range(count):
            self.ports_by_daemon[f"vm{index + 1}"] = DaemonPorts(
                *(Address(HOST, free_port()) for _ in range(3))
            )
        for index, name in enumerate(self.ports_by_daemon):
            path = self.folder / f"{name}.toml"
            path.write_text(self.daemon_settings(name, index))
            await self.start_daemon(name)

    async def start_daemon(self, name: str) -> Process:
        """Start a daemon from its settings file, or again; wait until it is healthy."""
        path = self.folder / f"{name}.toml"
        process = await self.spawn(name, self.daemon_module, str(path))
        process.address = self.ports_by_daemon[name].callers
        await self.wait_status(process, "/healthz")
        return process

    async def wait_status(self, process: Process, path: str, status: int = 200) -> None:
        """Wait until a GET of ``path`` returns ``status``.

        :raises LaunchError: if the process ends or ``READY_SECONDS`` pass first.
        """
        deadline = asyncio.get_running_loop().time() + READY_SECONDS
        while asyncio.get_running_loop().time() < deadline:
            if process.process.returncode is not None:
                break
            outcome = await self.http.request(process.address, "GET", path)
            if not isinstance(outcome, Err):
                await outcome.ok_value.read()
                if outcome.ok_value.status == status:
                    return
            await asyncio.sleep(POLL_SECONDS)
        raise LaunchError(
            f"{process.name}: no {status} of {path}: {process.log_text()}"
        )

    def sign(self, raw: dict) -> tuple[SignedRoot, dict[str, bytes], Bundle]:
        """Build and sign a bundle that succeeds the one rolled last."""
        bundle = bundle_from_mapping(raw)
        root, parts = split_bundle(bundle, 1_000, self.previous_root)
        signed = sign_root(SignedRoot(encode_root(root)), self.private_key)
        return signed, parts, bundle

    async def roll(self, raw: dict) -> SignedRoot:
        """Roll a bundle through the platform's store.

        :raises LaunchError: if the store refuses the bundle.
        """
        signed, parts, _ = self.sign(raw)
        store = KeyValueStore(self.http, (self.platform,))
        outcome = await roll_bundle(store, signed, parts)
        if isinstance(outcome, Err):
            raise LaunchError(f"roll refused: {outcome.err_value}")
        self.previous_root = signed.sha256
        self.last_signed = signed
        return signed

    async def wait_ready(self) -> None:
        """Wait until every daemon has a bundle in force."""
        for name in self.ports_by_daemon:
            await self.wait_status(self.processes_by_name[name], "/readyz")

    async def wait_version(self, version: int) -> None:
        """Wait until every daemon has at least this bundle version in force."""
        await self._wait_ready_field("version", version)

    async def wait_runners(self, count: int) -> None:
        """Wait until every daemon has reports of at least ``count`` runners."""
        await self._wait_ready_field("runners", count)

    async def _wait_ready_field(self, field_name: str, least: int) -> None:
        for name in self.ports_by_daemon:
            address = self.ports_by_daemon[name].callers
            for _ in range(int(READY_SECONDS / POLL_SECONDS)):
                outcome = await self.http.request_json(address, "GET", "/readyz")
                status, reply = outcome.unwrap()
                if status == 200 and reply[field_name] >= least:
                    break
                await asyncio.sleep(POLL_SECONDS)
            else:
                raise LaunchError(f"{name}: {field_name} stays below {least}")

    async def stop(self) -> None:
        """Kill every process that was started and remove the folder."""
        self.http.close()
        for process in self.processes_by_name.values():
            process.kill()
        for process in self.processes_by_name.values():
            await process.process.wait()
        self._folder.cleanup()
