"""A fleet of real processes into which the fleet machine injects faults."""

import asyncio
import itertools
import time
from collections import Counter
from dataclasses import replace

from result import Err, Ok

from heathershunt.bundle import (
    SignedRoot,
    bundle_from_mapping,
    decode_root,
    encode_root,
    sign_root,
    split_bundle,
)
from heathershunt.http import Address
from heathershunt.store import BUNDLE_ROOT_KEY, KeyValueStore, roll_bundle
from standins.bundles import demo_bundle, token_sha256
from standins.launch import Deployment, pipeline_specs
from standins.ports import free_port

LAYERS = 12
REPLICAS_BY_STAGE = (2, 3, 2)
DAEMONS = ("vm1", "vm2", "vm3")
SERVICES = ("orders", "orders2")
PROXY_SEED = 11
CALL_TIMEOUT_SECONDS = 2
VERSION_POLL_SECONDS = 0.25
# Specified bounds: a bundle is in force at all daemons within 17 s, and a drained VM
# starts no new draft after 5 s.
BUNDLE_SECONDS = 17
DRAINED_SECONDS = 5


class FuzzFleet:
    """Three daemons before three stages, with one process per runner.

    The names of the runners are ``m-s<stage>-r<replica>``.

    :ivar leaving: runners whose VM is listed as leaving.
    :ivar drained_at_by_vm: monotonic time of each drain in seconds; infinite if
        no bound can be checked.
    :ivar drain_orders: drained VM, daemon that took the order, and monotonic time.
    :ivar saved_runs: ledger entries of the runners, also of those killed since.
    :ivar versions_by_process: bundle versions polled, by daemon name and process id.
    :ivar accepted: bundle versions, one entry for each roll that succeeded.
    """

    def __init__(self) -> None:
        self.deployment = Deployment()
        self.proxy = None
        self.callers_by_daemon: dict[str, Address] = {}
        self.runners: list[str] = []
        self.dead: set[str] = set()
        self.paused: set[str] = set()
        self.leaving: set[str] = set()
        self.drained_at_by_vm: dict[str, float] = {}
        self.drain_orders: list[tuple[str, str, float]] = []
        self.saved_runs: list[dict] = []
        self.versions_by_process: dict[tuple[str, int], list[int]] = {}
        self.accepted: list[int] = []
        self.faults: Counter[str] = Counter()
        self._rolls: set[asyncio.Task] = set()
        self._extra_numbers = itertools.count(1)
        self._monitor: asyncio.Task | None = None

    async def start(self) -> None:
        """Start all processes; wait until each daemon has reports of all runners."""
        deployment = self.deployment
        await deployment.start_platform()
        self.proxy = await deployment.start_proxy(PROXY_SEED)
        specs = [
            replace(spec, port=free_port())
            for stage, count in enumerate(REPLICAS_BY_STAGE)
            for spec in pipeline_specs("m", "v1", LAYERS, 3, count)
            if f"-s{stage}-" in spec.runner
        ]
        specs = await self.proxy.intercept_fabric(specs)
        self.runners = [spec.runner for spec in specs]
        starts = [deployment.start_engines([spec], spec.runner) for spec in specs]
        starts += [deployment.start_service(name, "orders") for name in SERVICES]
        await asyncio.gather(*starts)
        await self.proxy.intercept_engines()
        await self._proxy_services()
        await deployment.publish_vms()
        await self.proxy.intercept_platform(list(DAEMONS))
        await deployment.start_daemons(len(DAEMONS))
        self.callers_by_daemon = await self.proxy.intercept_callers()
        await deployment.roll(demo_bundle(1))
        self.accepted.append(1)
        await deployment.wait_ready()
        await deployment.wait_runners(len(specs))
        self._monitor = asyncio.create_task(self._watch_versions())

    async def _proxy_services(self) -> None:
        for vm in self.deployment.vms:
            if vm["role"] == "service":
                name = f"service:{vm['vm']}"
                target = Address.from_text(vm["address"])
                vm["address"] = str(await self.proxy.open(name, target))

    async def stop(self) -> None:
        """Stop every process that was started."""
        tasks = {*self._rolls, self._monitor} - {None}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for name in self.paused:
            self.deployment.processes_by_name[name].resume()
        await self.deployment.stop()

    # Processes that are healthy, and those that a fault may be applied to

    def is_up(self, name: str) -> bool:
        """Return whether a process is neither dead nor paused."""
        return name not in self.dead and name not in self.paused

    def serving(self) -> list[str]:
        """Return the daemons that run and are not drained."""
        up = [name for name in DAEMONS if self.is_up(name)]
        return [name for name in up if name not in self.drained_at_by_vm]

    def spare_runners(self) -> list[str]:
        """Return the healthy runners whose stage has another healthy runner."""
        healthy = [n for n in self.runners if self.is_up(n) and n not in self.leaving]
        stages = Counter(name.split("-")[1] for name in healthy)
        return [name for name in healthy if stages[name.split("-")[1]] > 1]

    def spare_daemons(self) -> list[str]:
        """Return the serving daemons, if there are at least two."""
        serving = self.serving()
        return serving if len(serving) > 1 else []

    # Processes

    async def kill(self, name: str) -> None:
        """Kill a process until ``restart``; save the ledger of a runner first."""
        if name in self.runners:
            await self._save_ledger(name)
        self.dead.add(name)
        self._clear_drain_bound(name)
        process = self.deployment.processes_by_name[name]
        process.kill()
        await process.process.wait()

    def pause(self, name: str) -> None:
        """Suspend a process until ``resume``."""
        self.paused.add(name)
        self._clear_drain_bound(name)
        self.deployment.processes_by_name[name].pause()

    def resume(self, name: str) -> None:
        """Continue a paused process; its drain bound starts anew."""
        self.paused.discard(name)
        self.deployment.processes_by_name[name].resume()
        if name in self.drained_at_by_vm:
            self.drained_at_by_vm[name] = time.monotonic()

    async def restart(self, name: str) -> None:
        """Start a dead process at its previous address."""
        if name in self.runners:
            path = self.deployment.folder / f"{name}.json"
            await self.deployment.spawn_ready(name, "standins.engine", str(path))
        else:
            await self.deployment.start_daemon(name)
            # A drain order does not outlive the incarnation of the daemon.
            self.drained_at_by_vm.pop(name, None)
        self.dead.discard(name)

    def _clear_drain_bound(self, name: str) -> None:
        """Clear the bound of drains whose order may have been lost with ``name``."""
        now = time.monotonic()
        for vm, via, at in self.drain_orders:
            if name in (vm, via) and now - at < DRAINED_SECONDS:
                if vm in self.drained_at_by_vm:
                    self.drained_at_by_vm[vm] = float("inf")

    # Operators

    async def operator(self, name: str, method: str, target: str, payload=None):
        """Call the operators' listener of a daemon.

        :return: status and reply; 0 and ``None`` if the call failed or timed out.
        """
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                outcome = await self.deployment.http.request_json(
                    self.deployment.ports_by_daemon[name].operators,
                    method,
                    target,
                    payload,
                    headers={"authorization": f"Bearer {self.deployment.operator_key}"},
                )
        except TimeoutError:
            return 0, None
        return (0, None) if isinstance(outcome, Err) else outcome.ok_value

    async def drain(self, vm: str, via: str) -> None:
        """Send the order to drain ``vm`` to the daemon ``via``."""
        target = "/v1/operator/drain"
        status, _ = await self.operator(via, "POST", target, {"vm": vm})
        if status == 200:
            now = time.monotonic()
            self.drained_at_by_vm[vm] = now
            self.drain_orders.append((vm, via, now))

    async def admit(self, vm: str) -> bool:
        """End the drain of a VM by an order to its own daemon; return its success."""
        # From here on the VM may start new drafts, even if the call fails.
        self.drained_at_by_vm[vm] = float("inf")
        target = "/v1/operator/admit"
        status, _ = await self.operator(vm, "POST", target, {"vm": vm})
        if status == 200:
            del self.drained_at_by_vm[vm]
        return status == 200

    def is_drained(self, vm: str) -> bool:
        """Return whether the VM was drained more than ``DRAINED_SECONDS`` ago."""
        at = self.drained_at_by_vm.get(vm, float("inf"))
        return time.monotonic() - at > DRAINED_SECONDS

    async def set_leaving(self, runner: str, leaving: bool) -> None:
        """List the VM of a runner as leaving or live at the platform."""
        (self.leaving.add if leaving else self.leaving.discard)(runner)
        for vm in self.deployment.vms:
            if vm["vm"] == runner:
                vm["state"] = "leaving" if leaving else "live"
        await self.deployment.publish_vms()

    # Bundles

    async def store_root(self) -> SignedRoot:
        """Return the bundle root in the platform's store."""
        store = KeyValueStore(self.deployment.http, (self.deployment.platform,))
        return decode_root((await store.get(BUNDLE_ROOT_KEY)).unwrap().value)

    def roll(self, count: int) -> None:
        """Start ``count`` concurrent rolls of the next bundle in the background."""
        task = asyncio.create_task(self._roll_all(count))
        self._rolls.add(task)
        task.add_done_callback(self._rolls.discard)

    async def _roll_all(self, count: int) -> None:
        store = KeyValueStore(self.deployment.http, (self.deployment.platform,))
        stored = await store.get(BUNDLE_ROOT_KEY)
        if isinstance(stored, Err):
            return
        current = decode_root(stored.ok_value.value)
        version = current.root().version + 1
        rolls = [
            self._roll_one(store, version, current.sha256, operator_index)
            for operator_index in range(count)
        ]
        done = sum(await asyncio.gather(*rolls))
        self.accepted += [version] * done

    async def _roll_one(
        self, store, version: int, previous: str, operator_index: int
    ) -> bool:
        raw = demo_bundle(version)
        # The bundle of each operator has different content.
        extra = f"extra-{version}-{operator_index}-{next(self._extra_numbers)}"
        raw["accounts"].append({"name": extra, "token_sha256": [token_sha256(extra)]})
        root, parts = split_bundle(bundle_from_mapping(raw), 1_000, previous)
        signed = SignedRoot(encode_root(root))
        signed = sign_root(signed, self.deployment.private_key)
        return isinstance(await roll_bundle(store, signed, parts), Ok)

    async def version(self, name: str) -> int:
        """Return the bundle version in force at a daemon, 0 if the call fails."""
        status, reply = await self.operator(name, "GET", "/v1/operator/status")
        return reply["bundle"]["version"] if status == 200 else 0

    async def _watch_versions(self) -> None:
        while True:
            for name in filter(self.is_up, DAEMONS):
                pid = self.deployment.processes_by_name[name].process.pid
                version = await self.version(name)
                if version:
                    key = (name, pid)
                    self.versions_by_process.setdefault(key, []).append(version)
            await asyncio.sleep(VERSION_POLL_SECONDS)

    # Repair

    async def set_store(self, **faults) -> None:
        """Set the faults of the platform's store; without ``faults`` clear them."""
        platform = self.deployment.platform
        await self.deployment.call(platform, "POST", "/v1/faults", faults)

    async def repair(self) -> None:
        """Repair all faults except silenced connections, which stay silent."""
        await self.set_store()
        await self.proxy.set_faults()
        for name in list(self.paused):
            self.resume(name)
        await asyncio.gather(*map(self.restart, list(self.dead)))
        for runner in list(self.leaving):
            await self.set_leaving(runner, False)

    async def admit_all(self) -> None:
        """End every drain; fail if a VM refuses ``DRAINED_SECONDS`` times."""
        for vm in list(self.drained_at_by_vm):
            for _ in range(DRAINED_SECONDS):
                if await self.admit(vm):
                    break
                await asyncio.sleep(1)
            else:
                raise AssertionError(f"{vm} could not be admitted again")

    # Ledgers of the stand-ins

    async def _save_ledger(self, runner: str) -> None:
        if not self.is_up(runner):
            return
        engine = self.deployment.processes_by_name[runner].info["engines"][0]
        address = Address.from_text(engine["address"])
        ledger = await self.deployment.call(address, "GET", "/v1/ledger")
        self.saved_runs += ledger["runs"]

    async def engine_runs(self) -> list[dict]:
        """Return the ledger entries of all runners, also of those killed since."""
        for runner in self.runners:
            await self._save_ledger(runner)
        return self.saved_runs

    async def orders(self) -> list[dict]:
        """Return the ledger entries of all orders that the services ran."""
        calls = []
        for name in SERVICES:
            address = self.deployment.processes_by_name[name].address
            ledger = await self.deployment.call(address, "GET", "/ledger")
            calls += ledger["calls"]
        return [call for call in calls if call["method"] == "POST"]
