"""A site of real gateway processes, with stand-ins behind fault-injecting proxies."""

import asyncio
import os
import signal
import sys
import tempfile
from pathlib import Path

from heathershunt.http import Address
from standins.layer_runner import TargetStandIn
from standins.metadata_store import MetadataStoreStandIn
from standins.ports import free_port
from standins.proxy import Pair

ROOT = Path(__file__).resolve().parent.parent
PROGRAM = ROOT / "deploy" / "heathershunt_gateway.py"
HOST = "site.example"
LAYERS = 80
DOMAINS = ("a", "b")
GATEWAYS = 3
REVOKE_MS = 2500
GRACE_MS = 4000
RESTART_DELAY_SECONDS = 0.2
SETTINGS = """
node = "{name}"
zone = "{domain}"
ip = "127.0.0.1"
internal_ports = [{peers}, {peers}]
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
directory = "127.0.0.1:{directory}"
[platform]
address = "{store}"
[bounds]
strict_revocation = true
revoke_ms = {revoke_ms}
grace_s = {grace_s}
retry_budget_slack = 200
"""


def configuration(version: int, keys: list[str]) -> dict:
    """Return a configuration with the API keys of one client account."""
    common = {"host": HOST, "timeout_ms": 6000, "target_latency_ms": 300}
    drafts = common | {"name": "drafts", "prefix": "/drafts/", "kind": "streaming"}
    drafts |= {"service": "engine", "max_attempts": 2, "resumable": True}
    drafts["target_gap_ms"] = 150
    orders = common | {"name": "orders", "prefix": "/orders/", "service": "desk"}
    status = common | {"name": "status", "prefix": "/status/", "service": "desk"}
    orders["kind"] = "non_idempotent"
    status |= {"kind": "idempotent", "max_attempts": 2}
    engine = {"step_ms": 0.85, "read_per_s": 196_000.0, "kv_token_bytes": 1_180_000}
    engine |= {"layers": LAYERS, "layer_mb": 1750.0, "usual": {"answer": 80}}
    engine["models"] = [{"name": "m", "load_s": 1.0}]
    engine["kinds"] = [{"name": "large", "mb": 90_000.0}]
    return {
        "version": version,
        "routes": [drafts, orders, status],
        "services": [{"name": "engine", "engine": engine}, {"name": "desk"}],
        "tenants": [{"name": "owner", "api_keys": keys}],
    }


class GatewayProcess:
    """One gateway in a separate process, with its own proxy to the store."""

    def __init__(self, name: str, domain: str, folder: Path, store_proxy: Pair) -> None:
        self.name = name
        self.store_proxy = store_proxy
        names = ("front", "ready", "directory", "peers")
        self.ports = {port: free_port() for port in names}
        self._settings = folder / f"{name}.toml"
        self._log = folder / f"{name}.log"
        self._settings.write_text(
            SETTINGS.format(
                name=name,
                domain=domain,
                store=f"127.0.0.1:{store_proxy.port}",
                revoke_ms=REVOKE_MS,
                grace_s=GRACE_MS / 1000,
                **self.ports,
            )
        )
        self._process: asyncio.subprocess.Process | None = None
        self.is_paused = False

    async def start(self) -> None:
        """Start the process."""
        environment = os.environ | {"HEATHERSHUNT_SETTINGS": str(self._settings)}
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable, str(PROGRAM), env=environment, stdout=log, stderr=log
            )

    def pause(self) -> None:
        """Suspend the process until it is resumed or killed."""
        self.is_paused = True
        self._process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue the suspended process."""
        self.is_paused = False
        self._process.send_signal(signal.SIGCONT)

    async def kill(self) -> None:
        """Kill the process and wait for its exit."""
        if self._process.returncode is None:
            self._process.kill()
        await self._process.wait()
        self.is_paused = False

    async def terminate(self) -> None:
        """Send SIGTERM to the process; kill it after ``GRACE_MS``."""
        if self.is_paused:
            self.resume()
        if self._process.returncode is None:
            self._process.terminate()
        try:
            await asyncio.wait_for(self._process.wait(), GRACE_MS / 1000)
        except TimeoutError:
            await self.kill()

    def log_text(self) -> str:
        """Return all output of the process, across restarts."""
        return self._log.read_text(errors="replace")


class SoakSite:
    """The store, targets, proxies and gateways of one soak run."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.store = MetadataStoreStandIn()
        self.targets_by_address: dict[str, TargetStandIn] = {}
        self.targets: dict[str, TargetStandIn] = {}
        self.proxies: dict[str, Pair] = {}
        self.gateways: dict[str, GatewayProcess] = {}
        self.keys = ["key-1", "key-2"]
        self.version = 1
        self._folder = tempfile.TemporaryDirectory()

    async def start(self) -> None:
        """Start the stand-ins, then the gateways."""
        store = Address.from_text(await self.store.start())
        self.store.put("op/config", configuration(self.version, self.keys))
        for domain in DOMAINS:
            for number, layers in enumerate(((0, 40), (30, 60), (50, 80))):
                name = f"runner-{domain}{number}"
                await self._add_target(name, "engine", domain, "large", layers)
            await self._add_target(f"desk-{domain}", "desk", domain)
        for number in range(GATEWAYS):
            proxy = await self._add_proxy(f"store-{number}", store)
            domain = DOMAINS[number % len(DOMAINS)]
            name = f"vm-{number}"
            folder = Path(self._folder.name)
            self.gateways[name] = GatewayProcess(name, domain, folder, proxy)
            await self.gateways[name].start()

    async def _add_target(self, name, service, domain, kind=None, layers=None) -> None:
        target = TargetStandIn(
            name, service, domain, self.store, self.targets_by_address, kind
        )
        target.layers = layers
        await target.start()
        proxy = await self._add_proxy(name, Address.from_text(target.address))
        # Gateways connect to a target, and list it in chains, by its proxy's address.
        target.address = f"127.0.0.1:{proxy.port}"
        self.targets_by_address[target.address] = target
        target.register()
        self.targets[name] = target

    async def _add_proxy(self, name: str, target: Address) -> Pair:
        proxy = Pair(target, f"{self.seed}-{name}")
        await proxy.listen()
        self.proxies[name] = proxy
        return proxy

    async def stop(self) -> None:
        """Stop every process and listener that this run started."""
        for gateway in self.gateways.values():
            await gateway.kill()
        for target in self.targets.values():
            await target.stop()
        await self.store.stop()
        self._folder.cleanup()
