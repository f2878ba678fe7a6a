"""Nobody reads the standard error of a gateway for a while, and clients leave."""

import asyncio
import contextlib
import os
import socket
import struct
from pathlib import Path

from harness import CONTACT_SECONDS, HOST, Channel, Gateway, is_troubled, run
from manifest import ENGINE, KEY, manifest, route

from standins.layer_runner import TargetStandIn
from standins.metadata_store import MetadataStoreStandIn

FOLDER = Path(__file__).resolve().parent
STREAM_SECONDS = 0.15
# Streams of which the client leaves, each after so long; those that run at a time.
LEAVING_CLIENTS = 6
PAUSE_SECONDS = 0.25
CALM_SECONDS = 5
WATCHED_SECONDS = 60
TIMEOUT_SECONDS = 1.5
SLACK_SECONDS = 0.5
RESET = struct.pack("ii", 1, 0)


class Reader:
    """Reads the standard error of the gateway, as the platform's collector does.

    :ivar is_stalled: whether it reads nothing.
    """

    def __init__(self) -> None:
        self._read_end, self.write_end = os.pipe()
        os.set_blocking(self._read_end, False)
        self.is_stalled = False
        self.text = b""

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            if not self.is_stalled:
                self.read()
            await asyncio.sleep(0.02)

    def read(self) -> None:
        """Read what is there."""
        with contextlib.suppress(BlockingIOError):
            self.text += os.read(self._read_end, 1_000_000)


class Clients:
    """Clients that leave streams, and one that calls a sound service.

    :ivar calls: times at which calls were sent, and the seconds until the answer;
        ``None`` for a call without one half a second after the timeout of the route.
    """

    def __init__(self, gateway: Gateway, record) -> None:
        self._gateway = gateway
        self._record = record
        self._count = 0
        self.calls: list[tuple[float, float | None]] = []

    def _fields(self, kind: str, deadline_ms: int) -> dict[str, str]:
        self._count += 1
        return {
            "host": HOST,
            "heathershunt-request-id": f"{kind}-{self._count}",
            "heathershunt-deadline-ms": str(deadline_ms),
            "authorization": f"Token {KEY}",
        }

    async def leave(self) -> None:
        """Open streams, and leave each after some events."""
        while True:
            fields = self._fields("stream", 20_000) | {
                "heathershunt-token-counts": "700,400",
                "content-length": "6",
            }
            rows = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
            try:
                async with asyncio.timeout(2):
                    _, writer = await Channel.connect(self._gateway.ports["front"])
                writer.write(f"POST /drafts/x HTTP/1.1\r\n{rows}\r\nprompt".encode())
                await asyncio.sleep(STREAM_SECONDS)
                sock = writer.transport.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                writer.transport.abort()
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(PAUSE_SECONDS)

    async def call(self) -> None:
        """Call a sound service again and again, each time on a new channel."""
        while True:
            fields = self._fields("call", int(TIMEOUT_SECONDS * 1000))
            sent_at = self._record.now()
            took = None
            try:
                async with asyncio.timeout(TIMEOUT_SECONDS + SLACK_SECONDS):
                    channel = await Channel.open(self._gateway.ports["front"])
                    answer = await channel.send("GET", "/status/x", fields)
                took = self._record.now() - sent_at
                outcome = f"status {answer.status} after {took:.3f} s"
                channel.close()
            except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
                outcome = f"no answer: {type(error).__name__}"
            name = fields["heathershunt-request-id"]
            self._record.line(f"{name} sent {sent_at:.3f}: {outcome}")
            self.calls.append((sent_at, took))
            await asyncio.sleep(0.2)


async def case(record, folder) -> bool:
    """Return whether the rule was kept."""
    store = MetadataStoreStandIn()
    address = await store.start()
    collector = Reader()
    gateway = Gateway("front-a-1", folder, address, collector.write_end)
    clients = Clients(gateway, record)
    streaming = {"timeout_ms": 20_000, "target_latency_ms": 500, "target_gap_ms": 200}
    routes = [
        route("status", "idempotent", "desk"),
        route(
            "drafts", "streaming", "pool", resumable=True, max_attempts=2, **streaming
        ),
    ]
    services = [{"name": "desk"}, {"name": "pool", "engine": ENGINE}]
    store.put("op/config", manifest(1, routes, services=services))
    fleet, targets, tasks = {}, [], []
    try:
        for number, layers in enumerate(((0, 40), (30, 60), (50, 80))):
            runner = TargetStandIn(f"i-{number}", "pool", "a", store, fleet, "large")
            runner.layers = layers
            targets.append(runner)
        targets += [
            TargetStandIn(f"i-desk-{n}", "desk", "a", store, fleet) for n in "ab"
        ]
        for target in targets:
            await target.start()
        tasks.append(asyncio.create_task(collector.run()))
        await gateway.start()
        await gateway.until_ready()
        record.line("the gateway is ready")
        tasks += [asyncio.create_task(clients.leave()) for _ in range(LEAVING_CLIENTS)]
        tasks.append(asyncio.create_task(clients.call()))
        await asyncio.sleep(CALM_SECONDS)
        record.line(f"{len(collector.text)} bytes on standard error so far")
        collector.is_stalled = is_troubled()
        record.line(f"standard error is read: {not collector.is_stalled}")
        stalled_at = record.now()
        await asyncio.sleep(WATCHED_SECONDS)
        is_running = gateway.process.returncode is None and not gateway.exits
        record.line(
            f"the process runs: {is_running}; ready: {await gateway.is_ready()}"
        )
        calls = [
            took for at, took in clients.calls if at > stalled_at + CONTACT_SECONDS
        ]
        unanswered = [took for took in calls if took is None or took > TIMEOUT_SECONDS]
        without_answer = unanswered.count(None)
        record.line(
            f"{len(calls)} calls; {len(unanswered)} unanswered at the timeout of the"
            f" route; {without_answer} of these without an answer half a second later"
        )
        return without_answer <= len(unanswered) / 2
    finally:
        collector.read()
        record.line(f"{len(collector.text)} bytes on standard error in all; the last:")
        record.line(collector.text[-230:].decode(errors="replace").strip())
        for task in tasks:
            task.cancel()
        await gateway.stop()
        for target in targets:
            await target.stop()
        await store.stop()


if __name__ == "__main__":
    run(case, FOLDER)
