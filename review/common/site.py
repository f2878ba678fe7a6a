"""A small site on loopback: the real gateways as processes, stand-ins in this one."""

import asyncio
import itertools
import os
import shutil
import signal
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

from standins.layer_runner import TargetStandIn
from standins.metadata_store import MetadataStoreStandIn
from standins.ports import free_port

ROOT = Path(__file__).resolve().parents[2]
HOST = "desk.example"
KEY = "key-one"
TENANT = "tenant-one"
LAYERS = 80
# The bounds of the two small deployments, as their pages give them.
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "outer_ms": 5000,
    "strict_revocation": True,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_budget_slack": 196,
    "recovery_s": 12,
    "pass_ms": 120,
    "retry_after_s": 0,
    "stall_ms": 3000,
    "require_fencing": False,
    "ttl_max_s": 5,
}
KINDS = [
    {"name": "h100", "mb": 72_000.0, "pace": 1.4, "read_factor": 1.0},
    {"name": "a100s", "mb": 36_000.0, "pace": 3.1, "read_factor": 3.2},
]


def has_trouble() -> bool:
    """Return whether the disruption of the case takes place."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to ``record.txt``, with the time."""

    def __init__(self, folder: Path) -> None:
        self._started = time.monotonic()
        self._file = (folder / "record.txt").open("w", buffering=1)

    def __call__(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{time.monotonic() - self._started:8.3f} s  {text}\n")

    def verdict(self, is_broken: bool, text: str) -> int:
        """Write the verdict and return the status of the script."""
        self(f"{'BROKEN' if is_broken else 'HELD'}: {text}")
        print(f"{'BROKEN' if is_broken else 'HELD'}: {text}")
        return 1 if is_broken else 0


def route(name: str, service: str, kind: str, **changes: object) -> dict:
    """Return a route of a manifest."""
    base = {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout_ms": 20_000,
        "target_latency_ms": 500,
        "max_attempts": 2,
        "priority": 1,
    }
    if kind == "streaming":
        base["target_gap_ms"] = 200
    return base | changes


def engine() -> dict:
    """Return the engine of a service of runners, with the figures of the sites."""
    return {
        "step_ms": 0.85,
        "per_seq_ms": 0.00382,
        "context_per_k": 0.00512,
        "read_per_s": 196_000.0,
        "pairs_per_m": 0.166,
        "kv_token_bytes": 590_000.0,
        "layers": LAYERS,
        "layer_mb": 1750.0,
        "models": [{"name": "m0", "load_s": 14.0}],
        "kinds": KINDS,
        "usual": {"prompt": 740, "answer": 168},
    }


def manifest(version: int, routes: list[dict], services: list[dict]) -> dict:
    """Return a manifest as the operator writes it."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 5000,
            "idle_timeout_ms": 20_000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    }


def deploy_command() -> list[str]:
    """Return the command of the gateway from the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return deploy["roles"]["gateway"]["run"].split()


class Gateway:
    """One gateway process of the deploy file, with the settings of one machine."""

    def __init__(self, name: str, zone: str, folder: Path, store: str) -> None:
        self.name = name
        self.zone = zone
        names = ("front", "ready", "directory", "internal")
        self.ports = {port: free_port() for port in names}
        self.output = folder / f"{name}.log"
        self._settings = folder / f"{name}.toml"
        self._settings.write_text(self._settings_text(store))
        self.process: asyncio.subprocess.Process | None = None

    @property
    def front(self) -> tuple[str, int]:
        """Return the address for clients."""
        return "127.0.0.1", self.ports["front"]

    def _settings_text(self, store: str) -> str:
        ports = self.ports
        lines = [
            f'node = "{self.name}"',
            'role = "gateway"',
            'machine_class = "front"',
            'serves = ["front", "directory"]',
            'ip = "127.0.0.1"',
            f'zone = "{self.zone}"',
            'region = "region"',
            f"internal_ports = [{ports['internal']}, {ports['internal']}]",
            "bootstrap = true",
            'discovery = "platform"',
            'entry = "directory"',
            "heartbeat_ms = 1200",
            "[listen]",
            *(f'{n} = "127.0.0.1:{ports[n]}"' for n in ("front", "ready", "directory")),
            "[limits]",
            "memory_mb = 430",
            "max_fds = 6300",
            "[bounds]",
        ]
        for name, value in BOUNDS.items():
            lines.append(f"{name} = {str(value).lower()}")
        lines += [
            "[platform]",
            f'address = "{store}"',
            'form = "kv"',
            "writes_per_s = 400",
            "reads_per_s = 2000",
            "history_s = 20",
            "value_bytes = 1048576",
            "min_ttl_ms = 1000",
        ]
        return "\n".join(lines) + "\n"

    async def start(self) -> None:
        """Start the process."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["HEATHERSHUNT_SETTINGS"] = str(self._settings)
        with self.output.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *deploy_command(),
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self) -> None:
        """End the process and wait for its exit."""
        if self.process is None:
            return
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        await self.process.wait()

    async def is_ready(self) -> bool:
        """Return whether the platform's check gets a 200."""
        status, _ = await get("127.0.0.1", self.ports["ready"], "/ready")
        return status == 200


async def get(host: str, port: int, path: str) -> tuple[int, bytes]:
    """Send a GET on a new channel; return status and body, 0 without an answer."""
    try:
        async with asyncio.timeout(1):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(header(head, "content-length") or 0)
            body = await reader.readexactly(length)
            writer.close()
            return int(head.split(b" ", 2)[1]), body
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, b""


def header(head: bytes, name: str) -> str | None:
    """Return a field of the head of an answer; ``None`` without one."""
    for line in head.decode("latin-1").split("\r\n")[1:]:
        field_name, _, value = line.partition(":")
        if field_name.strip().lower() == name:
            return value.strip()
    return None


@dataclass
class Answer:
    """What a client received for one request.

    :ivar status: status of the answer; ``None`` if the channel ended without a head.
    :ivar is_complete: whether the body came to its end by its framing.
    """

    id: str
    sent_at: float
    status: int | None = None
    head: bytes = b""
    body: bytes = b""
    is_complete: bool = False
    error: str = ""
    ended_at: float = 0.0

    @property
    def seconds(self) -> float:
        """Return the time from the request to the end of the answer."""
        return self.ended_at - self.sent_at


_ids = itertools.count(1)


def request_bytes(
    method: str,
    path: str,
    request_id: str,
    body: bytes = b"",
    deadline_ms: int = 20_000,
    key: str | None = KEY,
    extra: dict[str, str] | None = None,
) -> bytes:
    """Return a request of a client."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Heathershunt-Request-Id: {request_id}",
        f"Heathershunt-Deadline-Ms: {deadline_ms}",
    ]
    if key is not None:
        lines.append(f"Authorization: Token {key}")
    lines += [f"{name}: {value}" for name, value in (extra or {}).items()]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def next_id() -> str:
    """Return a new request id."""
    return f"r{next(_ids):06d}"


class Channel:
    """One channel of a client to a gateway, which it keeps for many requests."""

    def __init__(self, reader, writer) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, address: tuple[str, int]) -> "Channel":
        """Open a channel."""
        async with asyncio.timeout(1):
            return cls(*await asyncio.open_connection(*address))

    async def send(self, method: str, path: str, **options) -> Answer:
        """Send one request and read the answer to its end."""
        answer = Answer(next_id(), time.monotonic())
        try:
            self._writer.write(request_bytes(method, path, answer.id, **options))
            await self.read(answer)
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            answer.error = f"{type(error).__name__} {error}"
        answer.ended_at = time.monotonic()
        return answer

    async def read(self, answer: Answer) -> None:
        """Read an answer to its end."""
        reader = self._reader
        answer.head = await reader.readuntil(b"\r\n\r\n")
        answer.status = int(answer.head.split(b" ", 2)[1])
        if header(answer.head, "transfer-encoding") == "chunked":
            while size := int(await reader.readuntil(b"\r\n"), 16):
                answer.body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
        else:
            length = int(header(answer.head, "content-length") or 0)
            while len(answer.body) < length:
                piece = await reader.read(length - len(answer.body))
                if not piece:
                    raise ConnectionError("the channel ended inside the body")
                answer.body += piece
        answer.is_complete = True

    def close(self) -> None:
        """Close the channel."""
        self._writer.close()


async def call(address: tuple[str, int], method: str, path: str, **options) -> Answer:
    """Send one request on a new channel."""
    try:
        channel = await Channel.open(address)
    except (OSError, TimeoutError) as error:
        now = time.monotonic()
        return Answer(next_id(), now, error=f"{type(error).__name__}", ended_at=now)
    try:
        return await channel.send(method, path, **options)
    finally:
        channel.close()


@dataclass
class Site:
    """The store, the servers and the gateways of one case."""

    record: Record
    store: MetadataStoreStandIn = field(default_factory=MetadataStoreStandIn)
    targets: dict[str, TargetStandIn] = field(default_factory=dict)
    gateways: list[Gateway] = field(default_factory=list)
    by_address: dict[str, TargetStandIn] = field(default_factory=dict)
    store_address: str = ""
    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp()))

    async def start_store(self) -> None:
        """Start the store."""
        self.store_address = await self.store.start()

    async def add_target(
        self, name: str, service: str, zone: str, kind=None, layers=None, cls=None
    ) -> TargetStandIn:
        """Start a server, which registers itself."""
        make = cls or TargetStandIn
        target = make(name, service, zone, self.store, self.by_address, kind)
        target.layers = layers
        target.born = int(time.time() * 1000)
        await target.start()
        self.targets[name] = target
        return target

    async def add_gateway(self, name: str, zone: str, store: str = "") -> Gateway:
        """Start a gateway."""
        address = store or self.store_address
        gateway = Gateway(name, zone, self.folder, address)
        self.gateways.append(gateway)
        await gateway.start()
        return gateway

    async def until_ready(self, seconds: float = 15) -> None:
        """Wait until all gateways are ready and list each other.

        :raises TimeoutError: if they are not in time.
        """
        async with asyncio.timeout(seconds):
            for gateway in self.gateways:
                while not await gateway.is_ready():
                    await asyncio.sleep(0.1)
            while len(self.store.keys("vm/")) < len(self.gateways):
                await asyncio.sleep(0.1)
        await asyncio.sleep(1.5)

    async def stop(self) -> None:
        """End everything that was started."""
        for gateway in self.gateways:
            await gateway.stop()
        for target in self.targets.values():
            await target.stop()
        await self.store.stop()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs are in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder: Path, play) -> None:
    """Play a case and exit with its status: 1 broken, 0 held, 2 could not run."""
    record = Record(folder)

    async def main() -> int:
        site = Site(record)
        try:
            async with asyncio.timeout(110):
                await site.start_store()
                return await play(site, record)
        finally:
            await site.stop()

    try:
        status = asyncio.run(main())
    except Exception as error:
        record(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
        status = 2
    sys.exit(status)
