"""Stand-in for the platform: key-value store with leases and watches, VM list.

Start with ``python -m standins.platform [PORT]``; the process prints one JSON line
with its address. ``POST /v1/faults`` sets :class:`Faults`; ``GET /v1/counts`` returns
the number of calls by kind.
"""

import asyncio
import json
import sys
import time
from collections import Counter
from dataclasses import dataclass, field, replace

from heathershunt.http import (
    HttpLimits,
    HttpServer,
    Request,
    Response,
    StreamResponse,
    json_response,
)

HOST = "127.0.0.1"


@dataclass
class Faults:
    """Faults of the key-value store, in force until they are set again.

    :param outage: the connection of every key-value call breaks.
    :param delay_ms: delay of every key-value call.
    :param lose_replies: number of next writes that take effect without a reply.
    """

    outage: bool = False
    delay_ms: int = 0
    lose_replies: int = 0


@dataclass
class Entry:
    """Stored value of one key.

    :param lease: lease whose end removes the key, ``None`` without one.
    """

    value: str
    revision: int
    lease: str | None = None


@dataclass(frozen=True)
class StoreCopy:
    """Contents of the key-value store at one moment."""

    entries_by_key: dict[str, Entry]
    history: list[dict]
    revision: int
    expiry_by_lease: dict[str, tuple[float, int]]
    next_lease: int


@dataclass
class Bucket:
    """Token bucket that limits calls.

    :param rate: calls a second, and the largest burst.
    """

    rate: float
    level: float = field(init=False)
    updated_at: float = field(default_factory=time.monotonic)

    def __post_init__(self) -> None:
        self.level = self.rate

    def take(self) -> bool:
        """Return whether another call is within the rate, and count that call."""
        now = time.monotonic()
        self.level = min(self.rate, self.level + (now - self.updated_at) * self.rate)
        self.updated_at = now
        if self.level < 1:
            return False
        self.level -= 1
        return True


class Platform:
    """All platform services behind one listener.

    :ivar vms: VM list as last written.
    :ivar listed_vms: VM list as clients read it; each change but the first appears
        after ``list_lag_ms``.
    """

    def __init__(self, writes_per_second=400, reads_per_second=2000) -> None:
        self.faults = Faults()
        self.counts: Counter[str] = Counter()
        self.vms: list[dict] = []
        self.listed_vms: list[dict] = []
        self.list_lag_ms = 500
        self._entries_by_key: dict[str, Entry] = {}
        self._history: list[dict] = []
        self._revision = 0
        self._changed = asyncio.Condition()
        self._next_lease = 1
        self.era = 1
        self._expiry_by_lease: dict[str, tuple[float, int]] = {}
        self._writes = Bucket(writes_per_second)
        self._reads = Bucket(reads_per_second)
        self.http = HttpServer(self.handle, HttpLimits(body_bytes=2_000_000))

    async def start(self, port: int = 0) -> None:
        """Bind the listener and start expiring leases."""
        await self.http.start(HOST, port)
        self._expiry = asyncio.create_task(self._expire_leases())

    async def handle(self, request: Request) -> Response | StreamResponse:
        """Answer one request of the platform protocol."""
        path = request.path
        if path == "/v1/faults":
            self.faults = Faults(**json.loads(request.body))
            return json_response(200, {})
        if path == "/v1/counts":
            return json_response(200, dict(self.counts))
        if path == "/v1/vms":
            return self._handle_vms(request)
        return await self._handle_key_value(request)

    def copy(self) -> StoreCopy:
        """Return a copy of the store to restore it from."""
        return StoreCopy(
            dict(self._entries_by_key),
            list(self._history),
            self._revision,
            dict(self._expiry_by_lease),
            self._next_lease,
        )

    async def restore(self, copy: StoreCopy) -> None:
        """Replace the contents of the store by a copy."""
        self._entries_by_key = dict(copy.entries_by_key)
        self._history = list(copy.history)
        self._revision = copy.revision
        self._expiry_by_lease = dict(copy.expiry_by_lease)
        self._next_lease = copy.next_lease
        self.era += 1
        async with self._changed:
            self._changed.notify_all()

    def _handle_vms(self, request: Request) -> Response:
        if request.method == "PUT":
            vms = json.loads(request.body)["vms"]
            self.vms = vms
            loop = asyncio.get_running_loop()
            delay = 0 if not self.listed_vms else self.list_lag_ms / 1000
            loop.call_later(delay, setattr, self, "listed_vms", vms)
            return json_response(200, {})
        self.counts["vm_list"] += 1
        return json_response(200, {"vms": self.listed_vms})

    async def _handle_key_value(self, request: Request) -> Response | StreamResponse:
        if self.faults.outage:
            return _broken_reply()
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000)
        write = request.method != "GET"
        self.counts["writes" if write else "reads"] += 1
        if not (self._writes if write else self._reads).take():
            return json_response(429, {"error": "rate"}, {"retry-after": "1"})
        response = await self._dispatch(request)
        headers = {**response.headers, "store-era": str(self.era)}
        response = replace(response, headers=headers)
        if self.faults.outage:
            return _broken_reply()
        if write and self.faults.lose_replies > 0:
            self.faults.lose_replies -= 1
            return _broken_reply()
        return response

    async def _dispatch(self, request: Request) -> Response:
        key = (request.method, request.path)
        if key == ("GET", "/v1/kv"):
            return self._get(request.query["key"])
        if key == ("POST", "/v1/kv/swap"):
            return await self._compare_and_swap(json.loads(request.body))
        if key == ("GET", "/v1/watch"):
            return await self._watch(request)
        if key == ("POST", "/v1/leases"):
            return self._grant_lease(json.loads(request.body)["ttl_ms"])
        parts = request.path.split("/")
        if request.path.startswith("/v1/leases/"):
            if request.method == "DELETE":
                await self._end_lease(parts[3])
                return json_response(200, {})
            return self._keep_alive(parts[3])
        return json_response(404, {"error": "no such path"})

    def _get(self, key: str) -> Response:
        entry = self._entries_by_key.get(key)
        if entry is None:
            return json_response(404, {"revision": 0})
        return json_response(
            200, {"key": key, "value": entry.value, "revision": entry.revision}
        )

    async def _compare_and_swap(self, body: dict) -> Response:
        key, lease = body["key"], body.get("lease")
        entry = self._entries_by_key.get(key)
        revision = entry.revision if entry else 0
        if revision != body["expected"]:
            value = entry.value if entry else None
            return json_response(409, {"value": value, "revision": revision})
        if lease and lease not in self._expiry_by_lease:
            return json_response(410, {"error": "the lease has lapsed"})
        await self._store(key, body["value"], lease)
        return json_response(200, {"revision": self._revision})

    async def _store(self, key: str, value: str | None, lease: str | None) -> None:
        self._revision += 1
        if value is None:
            self._entries_by_key.pop(key, None)
        else:
            self._entries_by_key[key] = Entry(value, self._revision, lease)
        self._history.append({"key": key, "value": value, "revision": self._revision})
        async with self._changed:
            self._changed.notify_all()

    async def _watch(self, request: Request) -> Response:
        prefix = request.query.get("prefix", "")
        after = int(request.query.get("after", "0"))
        loop = asyncio.get_running_loop()
        end = loop.time() + int(request.query.get("wait_ms", "0")) / 1000
        while True:
            events = [
                event
                for event in self._history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            if events or loop.time() >= end:
                revision = max(after, self._revision)
                return json_response(200, {"events": events, "revision": revision})
            try:
                async with asyncio.timeout_at(end), self._changed:
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _grant_lease(self, ttl_ms: int) -> Response:
        lease, self._next_lease = str(self._next_lease), self._next_lease + 1
        self._expiry_by_lease[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
        return json_response(200, {"lease": lease})

    def _keep_alive(self, lease: str) -> Response:
        if lease not in self._expiry_by_lease:
            return json_response(410, {"error": "the lease has lapsed"})
        _, ttl_ms = self._expiry_by_lease[lease]
        self._expiry_by_lease[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
        return json_response(200, {"ttl_ms": ttl_ms})

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease, (expiry, _) in list(self._expiry_by_lease.items()):
                if expiry <= now:
                    await self._end_lease(lease)

    async def _end_lease(self, lease: str) -> None:
        self._expiry_by_lease.pop(lease, None)
        for key, entry in list(self._entries_by_key.items()):
            if entry.lease == lease:
                await self._store(key, None, None)


def _broken_reply() -> StreamResponse:
    async def fail(stream) -> None:
        raise ConnectionResetError("injected fault")

    return StreamResponse(200, {}, fail)


async def run_platform(port: int) -> None:
    """Run the platform until the process ends; print its address as JSON."""
    platform = Platform()
    await platform.start(port)
    print(json.dumps({"address": f"{HOST}:{platform.http.port}"}), flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Run the platform on the port named on the command line, or on a free one."""
    asyncio.run(run_platform(int(sys.argv[1]) if len(sys.argv) > 1 else 0))


if __name__ == "__main__":
    main()
