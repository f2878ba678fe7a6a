"""Real daemons with intercepting proxies as platform and runners.

An intercepting proxy forwards a request, or answers it itself with any bytes. Tests are
synchronous: they drive the daemons through :class:`Rig`.
"""

import asyncio
import contextlib
import json
import threading
from collections import Counter
from collections.abc import Callable

from heathershunt.http import Address
from standins.bundles import demo_bundle
from standins.caller import Caller
from standins.launch import HOST, Deployment, pipeline_specs
from standins.oracle import expected_tokens

LAYERS = 12
HOSTILE_MODELS = 24
READ_BYTES = 65_536
REPLY_TIMEOUT_SECONDS = 8
CALL_TIMEOUT_SECONDS = 100
SECRET_PROMPT = "The notary's own wording of the deed"

# Takes head and body of a request; returns a reply, or ``None`` to forward the request.
Reply = Callable[[bytes, bytes], bytes | None]


def http_reply(body: bytes, status: str = "200 OK", chunked: bool = False) -> bytes:
    """Return a well-framed HTTP reply."""
    head = f"HTTP/1.1 {status}\r\ncontent-type: application/json\r\n".encode()
    if chunked:
        frame = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body) if body else b"0\r\n\r\n"
        return head + b"transfer-encoding: chunked\r\n\r\n" + frame
    return head + b"content-length: %d\r\n\r\n" % len(body) + body


async def read_request(reader) -> tuple[bytes, bytes]:
    """Read the head and body of a request; without content-length the body is empty."""
    head = await reader.readuntil(b"\r\n\r\n")
    size = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            size = int(line.partition(b":")[2])
    return head, await reader.readexactly(size)


class InterceptingProxy:
    """Forwards requests to ``target``, or answers them with ``reply``.

    :param target: server to forward to; without one such requests get 404.
    :ivar pause_seconds: seconds to wait after each piece of a reply.
    :ivar piece_bytes: largest size of a piece in bytes.
    :ivar hold: keep the connection open after the reply until the client closes it.
    :ivar requests: number of requests by method and path.
    """

    def __init__(self, target: Address | None = None) -> None:
        self.target = target
        self.reply: Reply | None = None
        self.pause_seconds = 0.0
        self.piece_bytes = READ_BYTES
        self.hold = False
        self.requests: Counter[str] = Counter()
        self.address: Address | None = None
        self._server: asyncio.Server | None = None

    async def start(self) -> Address:
        """Listen on a free port and return the address."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = Address(HOST, self._server.sockets[0].getsockname()[1])
        return self.address

    async def _serve(self, reader, writer) -> None:
        # A failure of the client or the target ends this connection only.
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head, body = await read_request(reader)
            method, target = head.split(b" ")[:2]
            path = target.partition(b"?")[0].decode()
            self.requests[f"{method.decode()} {path}"] += 1
            reply = self.reply(head, body) if self.reply else None
            if reply is None:
                reply = await self._forward(head, body)
            for start in range(0, len(reply), self.piece_bytes):
                writer.write(reply[start : start + self.piece_bytes])
                await writer.drain()
                await asyncio.sleep(self.pause_seconds)
            while self.hold and await reader.read(READ_BYTES):
                pass
        writer.close()

    async def _forward(self, head: bytes, body: bytes) -> bytes:
        """Send the request to the target and return its complete reply."""
        if self.target is None:
            return http_reply(b"{}", "404 Not Found")
        reader, writer = await asyncio.open_connection(
            self.target.host, self.target.port
        )
        writer.write(head[:-2] + b"connection: close\r\n\r\n" + body)
        try:
            return await reader.read(-1)
        finally:
            writer.close()


def status_body(runner: str, model: str) -> dict:
    """Return the status of a runner that holds all layers of ``model``."""
    load = {"running": 0, "queued": 0, "batch_limit": 8, "step_ms": 1.0}
    load |= {"token_ms": 0.1, "prefill_token_ms": 0.0, "kv_free_tokens": 10**6}
    report = {"runner": runner, "incarnation": 1, "kind": "k1", "fence": 0}
    report |= {"checks_fence": True, "leaving": False, "vm": runner, "domain": "a"}
    report |= {"model": model, "version": "v1", "adapters": [], "first_layer": 0}
    report |= {"end_layer": LAYERS, "role": "drafting", "fabric": f"{HOST}:1"}
    return report | {"load": load | {"at_ms": 0}}


class Rig:
    """Two daemons, one of them with a hostile platform, and hostile runners.

    The event loop runs in a separate thread, so that synchronous tests can use it.

    :ivar version: version of the bundle that ``bundle`` returns.
    :ivar secret: text of a draft of another account, which no reply may contain.
    :ivar secret_id: request id of that draft.
    """

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self.deployment: Deployment | None = None
        self.platform = InterceptingProxy()
        self.runners_by_model: dict[str, InterceptingProxy] = {}
        self.version = 1
        self.secret = ""
        self.secret_id = ""

    def run(self, work):
        """Run a coroutine in the event loop of the rig and return its result."""
        return asyncio.run_coroutine_threadsafe(work, self._loop).result(
            CALL_TIMEOUT_SECONDS
        )

    def bundle(self) -> dict:
        """Return the bundle ``version``, with a model for each hostile runner."""
        raw = demo_bundle(self.version)
        raw["models"] += [
            {"name": name, "layers": LAYERS, "version": "v1"}
            for name in self.runners_by_model
        ]
        return raw

    async def start(self) -> None:
        """Start all processes and intercepting proxies."""
        self.deployment = deployment = Deployment()
        await deployment.start_platform()
        await deployment.start_engines(pipeline_specs("m", "v1", LAYERS, 3, 2))
        await deployment.start_service("orders")
        for index in range(HOSTILE_MODELS):
            await self._add_runner(f"h{index}")
        await deployment.publish_vms()
        self.platform.target = deployment.platform
        deployment.platforms_by_daemon["vm1"] = await self.platform.start()
        await deployment.start_daemons(2)
        await deployment.roll(self.bundle())
        await deployment.wait_ready()
        await deployment.wait_runners(6 + HOSTILE_MODELS)
        await self._create_secret_draft()

    async def _add_runner(self, model: str) -> None:
        runner = InterceptingProxy()
        runner.reply = honest_status(model)
        self.runners_by_model[model] = runner
        vm = {"vm": model, "domain": "a", "state": "live", "role": "runner"}
        address = str(await runner.start())
        self.deployment.vms.append({**vm, "address": address})

    async def _create_secret_draft(self) -> None:
        """Run a draft of another account, whose answer no other account may receive."""
        transcript = await Caller("notary-token").draft(self.callers, SECRET_PROMPT, 8)
        assert transcript.is_complete
        self.secret, self.secret_id = "".join(transcript.tokens), transcript.request_id

    async def stop(self) -> None:
        """Stop every process that was started."""
        if self.deployment:
            await self.deployment.stop()

    def close(self) -> None:
        """Stop all processes, the event loop and its thread."""
        self.run(self.stop())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    @property
    def callers(self) -> Address:
        """Return the callers' listener of the daemon under attack."""
        return self.deployment.ports_by_daemon["vm1"].callers

    async def send(self, address: Address, data: bytes) -> bytes:
        """Send bytes; return all that is received until close or timeout."""
        reader, writer = await asyncio.open_connection(address.host, address.port)
        received = b""
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_SECONDS):
                writer.write(data)
                while piece := await reader.read(READ_BYTES):
                    received += piece
        except (TimeoutError, ConnectionError):
            pass
        finally:
            writer.close()
        assert self.secret.encode() not in received, (
            "the reply contains the answer of another account"
        )
        return received

    def check_serves(self) -> None:
        """Check that the daemon runs and serves a complete draft."""
        self.run(self._check_serves())

    async def _check_serves(self) -> None:
        process = self.deployment.processes_by_name["vm1"]
        assert process.process.returncode is None, process.log_text()
        prompt = "A normal draft after hostile input"
        transcript = await Caller("parish-token").draft(self.callers, prompt, 4)
        assert transcript.is_complete, transcript
        assert transcript.tokens == expected_tokens("m", "v1", LAYERS, prompt, 4)

    def logged_errors(self) -> list[str]:
        """Return the lines of unhandled errors in the daemon's log."""
        text = self.deployment.processes_by_name["vm1"].log_text()
        markers = ("Traceback", "never retrieved", "Unhandled exception")
        return [line for line in text.split("\n") if any(m in line for m in markers)]


def honest_status(model: str, runs: Reply | None = None) -> Reply:
    """Return valid replies for status and events; pass other requests to ``runs``."""

    def reply(head: bytes, body: bytes) -> bytes | None:
        if head.startswith(b"GET /v1/status"):
            return http_reply(json.dumps(status_body(model, model)).encode())
        if head.startswith(b"GET /v1/events"):
            return http_reply(b'{"events":[],"next":0}')
        return runs(head, body) if runs else None

    return reply
