"""Parts that the scripts of this review share: processes, proxies, a plain client.

A script starts the gateway with the command of ``deploy/system.toml`` as a separate
process, and the project's stand-ins of the store and the targets in its own process.
"""

import asyncio
import contextlib
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "site.example"
LOOPBACK = "127.0.0.1"
RULE_BROKEN, RULE_KEPT, COULD_NOT_RUN = 1, 0, 2
RESTART_SECONDS = 0.3
# The bounds of the small deployments' sheet.
CONTACT_SECONDS = 3.0
SETTINGS = """
node = "{name}"
role = "gateway"
machine_class = "front"
serves = ["front", "directory"]
ip = "127.0.0.1"
zone = "a"
region = "r"
internal_ports = [{peers}, {peers}]
bootstrap = true
heartbeat_ms = 1200
[zones]
a = "r"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
directory = "127.0.0.1:{directory}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4200
[bounds]
contact_ms = 3000
drain_ms = 2000
grace_s = 8
config_apply_ms = 2000
strict_revocation = true
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 196
recovery_s = 12
pass_ms = 120
stall_ms = 3000
ttl_max_s = 5
[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
"""


def is_troubled() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as sock:
        sock.bind((LOOPBACK, 0))
        return sock.getsockname()[1]


class Record:
    """The file in which a script writes what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the script."""
        return time.monotonic() - self._started

    def line(self, text: str) -> None:
        """Write one line with the time."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


class Gateway:
    """One gateway process, started again whenever it ends, as the platform does.

    :param stderr: descriptor for its standard error; its log file by default.
    """

    def __init__(self, name: str, folder: Path, store: str, stderr=None) -> None:
        self.name = name
        names = ("front", "ready", "directory", "peers")
        self.ports = {port: free_port() for port in names}
        self._settings = folder / f"{name}.toml"
        self._settings.write_text(SETTINGS.format(name=name, store=store, **self.ports))
        self._log_path = folder / f"{name}.log"
        self._stderr = stderr
        self.process: asyncio.subprocess.Process | None = None
        self.exits: list[int] = []
        self.starts = 0
        self._keeper: asyncio.Task | None = None
        self.on_start = lambda: None

    async def start(self) -> None:
        """Start the process and keep it running."""
        await self._spawn()
        self._keeper = asyncio.create_task(self._keep())

    async def _spawn(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"].split()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["HEATHERSHUNT_SETTINGS"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self._log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log if self._stderr is None else self._stderr,
            )
        self.starts += 1
        self.on_start()

    async def _keep(self) -> None:
        while True:
            self.exits.append(await self.process.wait())
            await asyncio.sleep(RESTART_SECONDS)
            await self._spawn()

    async def stop(self) -> None:
        """Kill the process for good."""
        if self._keeper is not None:
            self._keeper.cancel()
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    def log(self) -> str:
        """Return what the process wrote."""
        return self._log_path.read_text(errors="replace")

    async def is_ready(self) -> bool:
        """Return whether it answers its readiness check with 200."""
        try:
            async with asyncio.timeout(1):
                channel = await Channel.open(self.ports["ready"])
                try:
                    answer = await channel.send(
                        "GET", "/ready", {"host": "x", "connection": "close"}
                    )
                finally:
                    channel.close()
            return answer.status == 200
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            return False

    async def until_ready(self, seconds: float = 15) -> None:
        """Wait until it is ready; raise ``TimeoutError`` if it does not become so."""
        async with asyncio.timeout(seconds):
            while not await self.is_ready():
                await asyncio.sleep(0.05)


class Answer:
    """A whole answer."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class Channel:
    """One connection of a client, on which requests follow each other."""

    def __init__(self, reader, writer) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, port: int) -> "Channel":
        """Connect to a port of a gateway."""
        return cls(*await cls.connect(port))

    @staticmethod
    async def connect(port: int) -> tuple:
        """Return the streams of a new connection."""
        return await asyncio.open_connection(LOOPBACK, port)

    async def send(
        self, method: str, path: str, headers: dict[str, str], body: bytes = b""
    ) -> Answer:
        """Send a request and return its whole answer."""
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append(f"content-length: {len(body)}")
        self._writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        return await self._read()

    async def _read(self) -> Answer:
        head = await self._reader.readuntil(b"\r\n\r\n")
        first, *rows = head.decode("latin-1").split("\r\n")
        fields = {}
        for row in filter(None, rows):
            name, _, value = row.partition(":")
            fields[name.strip().lower()] = value.strip()
        body = b""
        if "chunked" in fields.get("transfer-encoding", ""):
            while size := int((await self._reader.readline()).split(b";")[0], 16):
                body += await self._reader.readexactly(size)
                await self._reader.readexactly(2)
            await self._reader.readline()
        else:
            body = await self._reader.readexactly(int(fields.get("content-length", 0)))
        return Answer(int(first.split()[1]), fields, body)

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


class Proxy:
    """Passes connections on to an address until it is cut.

    :ivar is_cut: whether nothing passes: connections are accepted, and hang.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = host, int(port)
        self._server: asyncio.Server | None = None
        self.is_cut = False
        self._cut_count = 0
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> str:
        """Listen and return the address."""
        self._server = await asyncio.start_server(self._accept, LOOPBACK, 0)
        return f"{LOOPBACK}:{self._server.sockets[0].getsockname()[1]}"

    def cut(self) -> None:
        """Let nothing pass any more, in either direction."""
        self.is_cut = True
        self._cut_count += 1

    def heal(self) -> None:
        """Let new connections pass; those from before the cut stay silent."""
        self.is_cut = False

    async def stop(self) -> None:
        """Close the listener and all connections."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _accept(self, reader, writer) -> None:
        task = asyncio.create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader, writer) -> None:
        generation = self._cut_count
        far_writer = None
        try:
            if self.is_cut:
                await asyncio.sleep(3600)
            far_reader, far_writer = await asyncio.open_connection(*self._target)
            await asyncio.gather(
                self._pump(reader, far_writer, generation),
                self._pump(far_reader, writer, generation),
            )
        except OSError:
            return
        finally:
            writer.close()
            if far_writer is not None:
                far_writer.close()

    async def _pump(self, reader, writer, generation: int) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if self._cut_count == generation:
                    writer.write(data)
                    await writer.drain()
        with contextlib.suppress(OSError):
            if self._cut_count == generation:
                writer.close()


def run(case, folder: Path) -> None:
    """Run a script; its coroutine returns whether the rule was kept."""
    record = Record(folder)

    async def main() -> int:
        with tempfile.TemporaryDirectory() as temporary:
            try:
                async with asyncio.timeout(110):
                    is_kept = await case(record, Path(temporary))
            except Exception as error:
                record.line(f"could not run: {type(error).__name__}: {error}")
                return COULD_NOT_RUN
        return RULE_KEPT if is_kept else RULE_BROKEN

    code = asyncio.run(main())
    record.line(f"exit {code}")
    sys.exit(code)
