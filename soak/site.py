"""A site of real gateway processes, with stand-ins behind fault-injecting proxies."""

import asyncio
import os
import random
import signal
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

from heathershunt.http import Address
from soak.configurations import SiteConfiguration
from soak.plain_targets import PlainTarget
from soak.processor import ProcessorWaits
from soak.seeds import (
    FIRST_SEED_WITH_CHANGES,
    MANY_GATEWAYS_EVERY,
    SEEDS_WITH_CUTS,
    SEEDS_WITH_STOPS,
)
from soak.spans import SpanLog
from standins.layer_runner import TargetStandIn
from standins.metadata_store import MetadataStoreStandIn
from standins.ports import free_port
from standins.proxy import Pair

ROOT = Path(__file__).resolve().parent.parent
PROGRAM = ROOT / "deploy" / "heathershunt_gateway.py"
# Program whose links to the targets can be cut.
LINKED_PROGRAM = ROOT / "soak" / "linked_gateway.py"
DOMAINS = ("a", "b")
GATEWAYS = 3
RUNNER_LAYERS = ((0, 40), (30, 60), (50, 80))
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
retry_budget_slack = {retry_slack}
"""
DEFAULT_RETRY_SLACK = 200
# Retries of the sites whose configuration changes: none but the share of the requests,
# a few, or enough.
RETRY_SLACKS = (0, 5, DEFAULT_RETRY_SLACK)
MANY_GATEWAYS = 12
GATEWAYS_WITH_CUTS = 6
# Event with which a gateway logs that it listens.
STARTED = '"event":"started"'


@dataclass(frozen=True)
class Extent:
    """Size of a site and what its gateways may retry.

    :param is_wide: whether there are second services, plain targets whose answers take
        every form, and a configuration that changes.
    :param runner_domains: failure domains of the runners.
    :param has_stops: whether planned stops in series take the place of the faults.
    :param has_cuts: whether cut links to the targets do.
    """

    gateways: int = GATEWAYS
    retry_slack: int = DEFAULT_RETRY_SLACK
    runner_domains: tuple[str, ...] = DOMAINS
    is_wide: bool = False
    has_stops: bool = False
    has_cuts: bool = False


def draw_extent(seed: int) -> Extent:
    """Return the extent of the site of a seed."""
    if seed in SEEDS_WITH_CUTS:
        return Extent(gateways=GATEWAYS_WITH_CUTS, has_cuts=True)
    if seed < FIRST_SEED_WITH_CHANGES:
        return Extent()
    rng = random.Random(f"{seed}-extent")
    has_many = seed % MANY_GATEWAYS_EVERY == 0
    return Extent(
        has_stops=seed in SEEDS_WITH_STOPS,
        gateways=MANY_GATEWAYS if has_many else GATEWAYS,
        retry_slack=rng.choice(RETRY_SLACKS),
        runner_domains=rng.choice((DOMAINS, DOMAINS[:1])),
        is_wide=True,
    )


class GatewayProcess:
    """One gateway in a separate process, with its own proxy to the store.

    :param cut_addresses: addresses of the targets, if links to them are to be cut.
    """

    def __init__(
        self,
        name: str,
        domain: str,
        folder: Path,
        store_proxy: Pair,
        retry_slack: int = DEFAULT_RETRY_SLACK,
        cut_addresses: tuple[str, ...] = (),
    ) -> None:
        self.name = name
        self.domain = domain
        self._cut_addresses = cut_addresses
        self._cut_file = folder / f"{name}.cut"
        self.cut_links("")
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
                retry_slack=retry_slack,
                **self.ports,
            )
        )
        self._process: asyncio.subprocess.Process | None = None
        self.is_paused = False
        self._starts = 0

    async def start(self) -> None:
        """Start the process."""
        self._starts += 1
        environment = os.environ | {"HEATHERSHUNT_SETTINGS": str(self._settings)}
        program = PROGRAM
        if self._cut_addresses:
            program = LINKED_PROGRAM
            environment["SOAK_CUT_FILE"] = str(self._cut_file)
            environment["SOAK_TARGET_ADDRESSES"] = ",".join(self._cut_addresses)
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable, str(program), env=environment, stdout=log, stderr=log
            )

    def cut_links(self, how: str) -> None:
        """Cut the links to the targets; restore them if ``how`` is empty."""
        self._cut_file.write_text(how)

    def pause(self) -> None:
        """Suspend the process until it is resumed or killed."""
        self.is_paused = True
        self._process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue the suspended process."""
        self.is_paused = False
        self._process.send_signal(signal.SIGCONT)

    @property
    def pid(self) -> int | None:
        """Return the id of the process; ``None`` before its first start."""
        return None if self._process is None else self._process.pid

    @property
    def has_started(self) -> bool:
        """Return whether the process has logged that it listens."""
        return self.log_text().count(STARTED) == self._starts

    @property
    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self._process.returncode is None

    def hang_up(self) -> None:
        """Send SIGHUP to the process; before it serves, that would end it."""
        if self.has_started and self.is_running:
            self._process.send_signal(signal.SIGHUP)

    def signal_again(self) -> None:
        """Send SIGTERM to a process that may be stopping already."""
        if self.is_running:
            self._process.terminate()

    async def kill(self) -> None:
        """Kill the process and wait for its exit."""
        if self._process.returncode is None:
            self._process.kill()
        await self._process.wait()
        self.is_paused = False

    async def terminate(self) -> bool:
        """Send SIGTERM to the process; kill it after ``GRACE_MS``.

        :return: whether it had to be killed.
        """
        if self.is_paused:
            self.resume()
        if self._process.returncode is None:
            self._process.terminate()
        try:
            await asyncio.wait_for(self._process.wait(), GRACE_MS / 1000)
        except TimeoutError:
            await self.kill()
            return True
        return False

    def log_text(self) -> str:
        """Return all output of the process, across restarts."""
        return self._log.read_text(errors="replace")


class SoakSite:
    """The store, targets, proxies and gateways of one soak run.

    :ivar spans: times at which faults acted.
    :ivar waits: how long the gateways waited for a processor.
    :ivar settings: the configuration and all versions of it.
    """

    def __init__(self, seed: int, extent: Extent | None = None) -> None:
        self.seed = seed
        self.extent = extent or Extent()
        self.store = MetadataStoreStandIn()
        self.targets_by_address: dict[str, TargetStandIn] = {}
        self.targets: dict[str, TargetStandIn] = {}
        self.proxies: dict[str, Pair] = {}
        self.gateways: dict[str, GatewayProcess] = {}
        self.keys = ["key-1", "key-2"]
        self.spans = SpanLog()
        self.waits = ProcessorWaits()
        self.settings = SiteConfiguration(self.extent.is_wide)
        self._folder = tempfile.TemporaryDirectory()

    @property
    def version(self) -> int:
        """Return the newest version of the configuration."""
        return self.settings.version

    def configuration(self) -> dict:
        """Return the newest version of the configuration."""
        return self.settings.build(self.keys)

    def publish(self) -> None:
        """Write the next version of the configuration to the store."""
        self.settings.version += 1
        self.settings.record(self.keys)
        self.store.put("op/config", self.configuration())

    async def start(self) -> None:
        """Start the stand-ins, then the gateways."""
        store = Address.from_text(await self.store.start())
        self.publish()
        await self._add_targets()
        for number in range(self.extent.gateways):
            proxy = await self._add_proxy(f"store-{number}", store)
            domain = DOMAINS[number % len(DOMAINS)]
            name = f"vm-{number}"
            self.gateways[name] = GatewayProcess(
                name,
                domain,
                Path(self._folder.name),
                proxy,
                self.extent.retry_slack,
                tuple(self.targets_by_address) if self.extent.has_cuts else (),
            )
            await self.gateways[name].start()

    async def _add_targets(self) -> None:
        is_wide = self.extent.is_wide
        plain_type = PlainTarget if is_wide else TargetStandIn
        for domain in DOMAINS:
            for service in ("engine", "press") if is_wide else ("engine",):
                if domain in self.extent.runner_domains:
                    await self._add_runners(service, domain)
            for service in ("desk", "counter") if is_wide else ("desk",):
                target = self._create(
                    plain_type, f"{service}-{domain}", service, domain
                )
                await self._add_target(target)

    async def _add_runners(self, service: str, domain: str) -> None:
        prefix = "runner" if service == "engine" else service
        for number, layers in enumerate(RUNNER_LAYERS):
            name = f"{prefix}-{domain}{number}"
            target = self._create(TargetStandIn, name, service, domain, "large")
            target.layers = layers
            await self._add_target(target)

    def _create(self, target_type, name, service, domain, kind=None) -> TargetStandIn:
        return target_type(
            name, service, domain, self.store, self.targets_by_address, kind
        )

    async def _add_target(self, target: TargetStandIn) -> None:
        await target.start()
        proxy = await self._add_proxy(target.id, Address.from_text(target.address))
        # Gateways connect to a target, and list it in chains, by its proxy's address.
        target.address = f"127.0.0.1:{proxy.port}"
        self.targets_by_address[target.address] = target
        target.register()
        self.targets[target.id] = target

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
