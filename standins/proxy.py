"""Fault-injecting TCP proxy with any number of pairs of listener and target.

Start with ``python -m standins.proxy [SEED]``; the process prints one JSON line with
the address of its control listener (HTTP, JSON):

- ``POST /v1/pairs {name, target}`` opens a pair and returns ``{address}``;
- ``POST /v1/faults {pair, ...}`` sets the fields of :class:`Faults` of one pair, or
  of all pairs if ``pair`` is missing; fields left out return to their default;
- ``POST /v1/cut {pair}`` resets the open connections;
- ``POST /v1/silence {pair}`` discards all further bytes of the open connections, and
  does not forward their end; new connections work;
- ``GET /v1/counts`` returns the counts of connections and faults by pair.
"""

import asyncio
import json
import random
import socket
import struct
import sys
from collections import Counter

import msgspec

from heathershunt.http import Address, HttpServer, Request, Response, json_response

HOST = "127.0.0.1"
READ_BYTES = 65536
QUEUED_CHUNKS = 256
CONNECT_SECONDS = 5
# Enabled with a timeout of 0: a close discards unsent data and sends a reset.
LINGER_ZERO = struct.pack("ii", 1, 0)

TO_TARGET = "to_target"
TO_SOURCE = "to_source"


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults of a pair, in force until they are set again.

    :param refuse: the listener is closed, so that connections are refused.
    :param to_target_ms: delay in ms of bytes from the source to the target.
    :param to_source_ms: delay in ms of bytes from the target to the source.
    :param drop: direction whose bytes are discarded, ``to_target`` or ``to_source``.
    :param reorder_share: share of connections whose answers are delayed.
    :param reorder_ms: largest delay in ms of such a connection.
    :param bytes_per_second: limit of each direction of each connection, 0 for none.
    """

    refuse: bool = False
    to_target_ms: float = 0
    to_source_ms: float = 0
    drop: str = ""
    reorder_share: float = 0
    reorder_ms: float = 0
    bytes_per_second: float = 0


class Relay:
    """One accepted connection and its connection to the target.

    :ivar silent: all further bytes of both directions are discarded.
    :ivar reorder_ms: additional delay in ms of bytes from the target to the source.
    """

    def __init__(self, pair: "Pair", source, target) -> None:
        self.pair = pair
        self.silent = False
        self.reorder_ms = 0.0
        self._source = source
        self._target = target

    async def run(self) -> None:
        """Forward both directions until both have ended or one is reset."""
        (source_reader, source_writer), (target_reader, target_writer) = (
            self._source,
            self._target,
        )
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(source_reader, target_writer, TO_TARGET))
                group.create_task(self._pump(target_reader, source_writer, TO_SOURCE))
        except* OSError:
            if self.silent:
                await asyncio.Event().wait()
            self.reset()
        finally:
            source_writer.close()
            target_writer.close()

    async def _pump(self, reader, writer, direction: str) -> None:
        queue: asyncio.Queue = asyncio.Queue(QUEUED_CHUNKS)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._deliver(queue, writer))
            while True:
                data = await reader.read(READ_BYTES)
                if self.silent or self.pair.faults.drop == direction:
                    self.pair.counts["dropped_chunks"] += 1
                    if not data:
                        await asyncio.Event().wait()
                    continue
                await queue.put((self._delivery_time(direction), data))
                if not data:
                    return

    def _delivery_time(self, direction: str) -> float:
        faults = self.pair.faults
        delay = faults.to_target_ms
        if direction == TO_SOURCE:
            delay = faults.to_source_ms + self.reorder_ms
        if delay:
            self.pair.counts["delayed_chunks"] += 1
        return asyncio.get_running_loop().time() + delay / 1000

    async def _deliver(self, queue: asyncio.Queue, writer) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due, data = await queue.get()
            if due > loop.time():
                await asyncio.sleep(due - loop.time())
            if self.silent:
                continue
            if not data:
                writer.write_eof()
                return
            rate = self.pair.faults.bytes_per_second
            if rate:
                self.pair.counts["limited_chunks"] += 1
                await asyncio.sleep(len(data) / rate)
            writer.write(data)
            await writer.drain()

    def reset(self) -> None:
        """Reset both connections, so that both peers get an error."""
        for _, writer in (self._source, self._target):
            _reset(writer)


def _reset(writer) -> None:
    raw = writer.get_extra_info("socket")
    if raw is not None and not writer.transport.is_closing():
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
    writer.transport.abort()


class Pair:
    """A listener and the target that its connections are forwarded to.

    :param seed: seed of the draws for ``reorder_share`` and ``reorder_ms``.
    """

    def __init__(self, target: Address, seed: str) -> None:
        self.target = target
        self.faults = Faults()
        self.counts: Counter[str] = Counter()
        self._random = random.Random(seed)
        self._relays: set[Relay] = set()
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None
        self.port = 0

    async def listen(self) -> None:
        """Bind the listener, on its former port if it was bound before."""
        self._server = await asyncio.start_server(
            self._start_serving, HOST, self.port, limit=READ_BYTES, backlog=1024
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def set_faults(self, faults: Faults) -> None:
        """Replace the faults, for open and new connections."""
        self.faults = faults
        if faults.refuse and self._server is not None:
            self.counts["refusals"] += 1
            self._server.close()
            self._server = None
        elif not faults.refuse and self._server is None:
            await self.listen()
        for relay in self._relays:
            self._draw_reorder_delay(relay)

    def _draw_reorder_delay(self, relay: Relay) -> None:
        """Draw whether the answers of a connection are delayed, and by how much."""
        relay.reorder_ms = 0.0
        if self.faults.reorder_share:
            drawn, delay = self._random.random(), self._random.random()
            if drawn < self.faults.reorder_share:
                relay.reorder_ms = delay * self.faults.reorder_ms
                self.counts["reordered_connections"] += 1

    def _start_serving(self, reader, writer) -> None:
        task = asyncio.create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader, writer) -> None:
        self.counts["connections"] += 1
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                target = await asyncio.open_connection(
                    self.target.host, self.target.port, limit=READ_BYTES
                )
        except (OSError, TimeoutError):
            self.counts["target_failures"] += 1
            _reset(writer)
            return
        relay = Relay(self, (reader, writer), target)
        self._draw_reorder_delay(relay)
        self._relays.add(relay)
        try:
            await relay.run()
        finally:
            self._relays.discard(relay)

    def cut(self) -> None:
        """Reset all open connections."""
        self.counts["cuts"] += len(self._relays)
        for relay in self._relays:
            relay.reset()

    def silence(self) -> None:
        """Discard all further bytes of the connections that are open now."""
        for relay in self._relays:
            if not relay.silent:
                self.counts["silenced_connections"] += 1
                relay.silent = True


class Proxy:
    """All pairs and the control listener.

    :param seed: seed of the random decisions of all pairs.
    """

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.pairs_by_name: dict[str, Pair] = {}
        self.http = HttpServer(self.handle)

    async def handle(self, request: Request) -> Response:
        """Answer one control request, with 400 if it is malformed."""
        key = (request.method, request.path)
        if key == ("GET", "/v1/counts"):
            counts = {name: pair.counts for name, pair in self.pairs_by_name.items()}
            return json_response(200, counts)
        try:
            body = json.loads(request.body)
            if key == ("POST", "/v1/pairs"):
                return await self._open_pair(body["name"], body["target"])
            pairs = self._select_pairs(body.pop("pair", None))
            if key == ("POST", "/v1/faults"):
                faults = msgspec.convert(body, Faults)
                for pair in pairs:
                    await pair.set_faults(faults)
                return json_response(200, {})
        except (KeyError, ValueError, TypeError) as error:
            return json_response(400, {"error": str(error)})
        actions = {"/v1/cut": Pair.cut, "/v1/silence": Pair.silence}
        action = actions.get(request.path)
        if action is None:
            return json_response(404, {"error": "no such path"})
        for pair in pairs:
            action(pair)
        return json_response(200, {})

    async def _open_pair(self, name: str, target: str) -> Response:
        pair = Pair(Address.from_text(target), f"{self.seed}/{name}")
        await pair.listen()
        self.pairs_by_name[name] = pair
        return json_response(200, {"address": f"{HOST}:{pair.port}"})

    def _select_pairs(self, name: str | None) -> list[Pair]:
        if name is None:
            return list(self.pairs_by_name.values())
        return [self.pairs_by_name[name]]


async def run_proxy(seed: int) -> None:
    """Run the proxy until the process ends; print its control address as JSON."""
    proxy = Proxy(seed)
    await proxy.http.start(HOST, 0)
    print(json.dumps({"address": f"{HOST}:{proxy.http.port}"}), flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Run the proxy with the seed named on the command line, or with 0."""
    asyncio.run(run_proxy(int(sys.argv[1]) if len(sys.argv) > 1 else 0))


if __name__ == "__main__":
    main()
