"""A site for tests: the platform's stand-ins and gateways in one process."""

import asyncio
import itertools
import os
from dataclasses import replace

from heathershunt.clock import SystemClock
from heathershunt.gateway.app import Gateway
from heathershunt.gateway.ports import Ports
from heathershunt.http import Address, HttpClient
from heathershunt.logs import EventLog
from heathershunt.platform.decoder import PlatformDecoder
from heathershunt.platform.headers import HeaderCodec
from heathershunt.platform.runners import RunnerClient
from heathershunt.platform.settings import decode_settings
from heathershunt.platform.store import MetadataStore
from standins.layer_runner import TargetStandIn
from standins.metadata_store import MetadataStoreStandIn
from standins.ports import free_port

HOST = "site.example"
KEY = "key-one"
LAYERS = 80
SHORT_ANSWER = 20
BOUNDS = {"strict_revocation": True, "revoke_ms": 1500, "retry_budget_slack": 50}
KINDS = [
    {"name": "large", "mb": 72_000.0, "pace": 1.4, "read_factor": 1.0},
    {"name": "small", "mb": 21_600.0, "pace": 16.0, "read_factor": 8.2},
]


def configuration(version, **changes):
    """Return a configuration as the operator writes it."""
    common = {"host": HOST, "timeout_ms": 5000, "target_latency_ms": 200}
    routes = [
        common
        | {
            "name": "drafts",
            "prefix": "/drafts/",
            "kind": "streaming",
            "service": "engine",
            "max_attempts": 2,
            "resumable": True,
            "target_gap_ms": 100,
        },
        common
        | {
            "name": "orders",
            "prefix": "/orders/",
            "kind": "non_idempotent",
            "service": "desk",
        },
        common
        | {
            "name": "status",
            "prefix": "/status/",
            "kind": "idempotent",
            "service": "desk",
            "max_attempts": 2,
        },
        common
        | {
            "name": "open",
            "prefix": "/open/",
            "kind": "idempotent",
            "service": "desk",
            "public": True,
        },
    ]
    engine = {
        "step_ms": 0.85,
        "per_seq_ms": 0.008,
        "context_per_k": 0.01,
        "read_per_s": 196_000.0,
        "kv_token_bytes": 1_180_000,
        "layers": LAYERS,
        "layer_mb": 1750.0,
        "models": [{"name": "m", "load_s": 14.0}],
        "kinds": KINDS,
        "usual": {"prompt": 700, "answer": SHORT_ANSWER},
    }
    base = {
        "version": version,
        "routes": routes,
        "services": [{"name": "engine", "engine": engine}, {"name": "desk"}],
        "limits": {
            "max_header_bytes": 8192,
            "max_body_bytes": 10_000,
            "header_timeout_ms": 500,
            "idle_timeout_ms": 5000,
        },
        "tenants": [{"name": "owner", "api_keys": [KEY], "priority": 1}],
    }
    return base | changes


class Site:
    """Store, targets and gateways, with the calls that tests make."""

    def __init__(self):
        self.store = MetadataStoreStandIn()
        self.fleet = {}
        self.targets = {}
        self.gateways = {}
        self.client = HttpClient()
        self._store_address = ""
        self._ids = itertools.count(1)

    async def start(self):
        self._store_address = await self.store.start()
        self.store.put("op/config", configuration(1))
        for domain in ("a", "b"):
            for number, layers in enumerate(((0, 40), (30, 60), (50, 80))):
                name = f"runner-{domain}{number}"
                await self.add_target(name, "engine", domain, "large", layers)
            await self.add_target(f"desk-{domain}", "desk", domain)
        await self.add_gateway("vm-1")
        await self.until(lambda: len(self.gateways["vm-1"].state.registry) == 8)

    async def add_target(self, name, service, domain, kind=None, layers=None):
        target = TargetStandIn(name, service, domain, self.store, self.fleet, kind)
        target.layers = layers
        await target.start()
        self.targets[name] = target
        return target

    async def add_gateway(self, vm, **bounds):
        clock = SystemClock()
        http = HttpClient()
        codec = HeaderCodec(clock)
        config = decode_settings(
            {
                "node": vm,
                "zone": "a",
                "ip": "127.0.0.1",
                "internal_ports": [free_port(), 0],
                "listen": {
                    name: _free_address() for name in ("front", "ready", "directory")
                },
                "platform": {"address": self._store_address},
                "bounds": BOUNDS | bounds,
            }
        )
        ports = Ports(
            MetadataStore(http, config.store),
            RunnerClient(http),
            codec,
            PlatformDecoder(codec),
        )
        config = replace(config, metrics_port=free_port())
        events = EventLog(os.open(os.devnull, os.O_WRONLY), vm, clock)
        gateway = Gateway(config, ports, http, clock, events)
        self.gateways[vm] = gateway
        # As one that has run for a while, with its whole share of the retry budget.
        gateway.relay_context.budget.own._started_at -= 60_000
        await gateway.start()
        await self.until(lambda: gateway.directory.accepts_callers)
        return gateway

    async def stop(self):
        for gateway in self.gateways.values():
            gateway.stop_now()
        for target in self.targets.values():
            await target.stop()
        await self.store.stop()
        self.client.close()

    async def until(self, condition, seconds=5):
        """Wait until a condition holds; fail after some seconds."""
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.01)

    def headers(self, **changes):
        """Return a caller's headers; names are written with underscores."""
        fields = {
            "host": HOST,
            "heathershunt-request-id": f"request-{next(self._ids)}",
            "heathershunt-deadline-ms": "5000",
            "authorization": f"Token {KEY}",
        }
        fields |= {name.replace("_", "-"): value for name, value in changes.items()}
        return {name: value for name, value in fields.items() if value is not None}

    async def call(self, method, path, body=b"", vm="vm-1", **changes):
        """Send a request and return the status, the headers and the whole body."""
        address = self.gateways[vm].config.listeners.callers
        outcome = await self.client.request(
            address,
            method,
            path,
            headers=self.headers(**changes),
            body=body,
            fresh=True,
        )
        response = outcome.unwrap()
        body = await response.read()
        return response.status, response.headers, body

    async def open_stream(self, events=30, vm="vm-1", body=b"prompt", **changes):
        """Open a stream and return the response, whose body is still to be read."""
        tokens = f"700,{events * 2}"
        outcome = await self.client.request(
            self.gateways[vm].config.listeners.callers,
            "POST",
            "/drafts/x",
            headers=self.headers(heathershunt_token_counts=tokens, **changes),
            body=body,
            fresh=True,
        )
        return outcome.unwrap()

    def runs(self, *names):
        """Return the runs at targets, all of them if none is named."""
        names = names or self.targets
        return [run for name in names for run in self.targets[name].runs]


def _free_address():
    return str(Address("127.0.0.1", free_port()))
