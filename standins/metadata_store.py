"""Stand-in for the platform's metadata store, in memory, with faults on demand."""

import asyncio
import base64
from dataclasses import dataclass, replace

import msgspec

from heathershunt.http import AnswerError, CutCause, HttpServer, Request, Response

PAGE_ITEMS = 50
# Leases are large numbers, unlike revisions.
FIRST_LEASE = 2**50
JSON_TYPE = {"content-type": "application/json"}


@dataclass(frozen=True)
class _Item:
    key: str
    value: bytes
    revision: int
    created: int
    lease: int


@dataclass(frozen=True)
class StoreCopy:
    """Contents of the store at one moment."""

    items: dict[str, _Item]
    history: list[tuple[int, str, _Item | None]]
    revision: int
    leases: dict[int, tuple[float, int]]
    next_lease: int


class MetadataStoreStandIn:
    """Key-value store with revisions, leases and watches over HTTP.

    :ivar is_down: answer every call with 503 and let no lease expire.
    :ivar era: number of times that it was restored from a copy, and one.
    :ivar lost_replies: number of next transactions whose reply is lost.
    """

    def __init__(self) -> None:
        self._items: dict[str, _Item] = {}
        self._history: list[tuple[int, str, _Item | None]] = []
        self._compacted_revision = 0
        self._revision = 1
        self._leases: dict[int, tuple[float, int]] = {}
        self._next_lease = FIRST_LEASE
        self._changed = asyncio.Event()
        self._server = HttpServer(self._handle)
        self._expiry: asyncio.Task | None = None
        self.is_down = False
        self.era = 1
        self.lost_replies = 0

    async def start(self) -> str:
        """Listen on a free port and return the address."""
        await self._server.start("127.0.0.1", 0)
        self._expiry = asyncio.create_task(self._expire_leases())
        return f"127.0.0.1:{self._server.port}"

    async def stop(self) -> None:
        """Stop listening and expiring leases."""
        self._expiry.cancel()
        await self._server.close()

    # Direct access for tests

    def put(self, key: str, value: object) -> None:
        """Write a value without a lease; bytes as they are, others as JSON."""
        raw = value if isinstance(value, bytes) else msgspec.json.encode(value)
        self._write(key, raw, 0)

    def remove(self, key: str) -> None:
        """Remove a key if it exists."""
        if key in self._items:
            self._record_change(key, None)

    def keys(self, prefix: str) -> list[str]:
        """Return the keys with a prefix, sorted."""
        return sorted(key for key in self._items if key.startswith(prefix))

    def value(self, key: str) -> bytes | None:
        """Return the value of a key, ``None`` without one."""
        item = self._items.get(key)
        return item.value if item else None

    def copy(self) -> StoreCopy:
        """Return a copy to restore the store from."""
        return StoreCopy(
            dict(self._items),
            list(self._history),
            self._revision,
            dict(self._leases),
            self._next_lease,
        )

    def restore(self, copy: StoreCopy) -> None:
        """Replace all contents by a copy; its leases run from now."""
        now = asyncio.get_running_loop().time()
        self._items = dict(copy.items)
        self._history = list(copy.history)
        self._revision = copy.revision
        self._leases = {lease: (now, ttl) for lease, (_, ttl) in copy.leases.items()}
        self._next_lease = copy.next_lease
        self.era += 1
        self._changed.set()

    def lease_of(self, key: str) -> int:
        """Return the lease of a key; 0 without one."""
        return self._items[key].lease if key in self._items else 0

    def forget_history(self) -> None:
        """Drop the history; a watch from an older revision gets 410."""
        self._compacted_revision = self._revision
        self._history.clear()
        self._changed.set()

    def _write(self, key: str, value: bytes, lease: int) -> None:
        created = self._items[key].created if key in self._items else 0
        item = _Item(key, value, 0, created, lease)
        self._record_change(key, item)

    def _record_change(self, key: str, item: _Item | None) -> None:
        self._revision += 1
        if item is None:
            del self._items[key]
        else:
            created = item.created or self._revision
            item = replace(item, revision=self._revision, created=created)
            self._items[key] = item
        self._history.append((self._revision, key, item))
        self._changed.set()

    # Requests

    async def _handle(self, request: Request) -> Response:
        if self.is_down:
            return Response(503)
        response = await self._answer(request)
        headers = {**response.headers, "store-era": str(self.era)}
        return replace(response, headers=headers)

    async def _answer(self, request: Request) -> Response:
        name, _, argument = request.path.strip("/").partition("/")
        calls = {
            "kv-key": self._get,
            "kv-range": self._range,
            "kv-watch": self._watch,
            "kv-txn": self._transaction,
            "kv-lease": self._grant_lease,
            "kv-keep": self._keep_lease,
            "kv-lease-end": self._handle_lease_end,
        }
        if name not in calls:
            return Response(404)
        response = await calls[name](request, argument)
        if self.lost_replies and name == "kv-txn":
            self.lost_replies -= 1
            raise AnswerError(
                CutCause.STREAM_FAILED, "injected fault: the reply is lost"
            )
        return response

    async def _get(self, request: Request, _) -> Response:
        item = self._items.get(request.query.get("key", ""))
        if item is None:
            return Response(404)
        return _reply({**_encode(item), "current_rev": self._revision})

    async def _range(self, request: Request, _) -> Response:
        prefix, after = request.query.get("prefix", ""), request.query.get("after", "")
        keys = [key for key in self.keys(prefix) if key > after]
        items = [_encode(self._items[key]) for key in keys[:PAGE_ITEMS]]
        has_more = len(keys) > PAGE_ITEMS
        revision = self._revision
        return _reply({"items": items, "has_more": has_more, "current_rev": revision})

    async def _watch(self, request: Request, _) -> Response:
        prefix = request.query.get("prefix", "")
        after = int(request.query["after"])
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(request.query["wait_ms"]) / 1000
        while True:
            if not self._compacted_revision <= after <= self._revision:
                return Response(410)
            events = [
                _encode(item)
                if item
                else {"key": key, "revision": revision, "tombstone": True}
                for revision, key, item in self._history
                if revision > after and key.startswith(prefix)
            ]
            left_seconds = deadline - loop.time()
            if events or left_seconds <= 0:
                return _reply({"events": events, "current_rev": self._revision})
            self._changed.clear()
            try:
                await asyncio.wait_for(self._changed.wait(), min(left_seconds, 0.05))
            except TimeoutError:
                pass

    async def _transaction(self, request: Request, _) -> Response:
        body = msgspec.json.decode(request.body)
        for row in body["expected"]:
            item = self._items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                return Response(412, JSON_TYPE, b'{"items":[]}')
        for row in body["puts"]:
            if row.get("lease", 0) and row["lease"] not in self._leases:
                return Response(404)
        for row in body["puts"]:
            self._write(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in body["remove"]:
            self.remove(key)
        return _reply({"revision": self._revision})

    async def _grant_lease(self, request: Request, _) -> Response:
        ttl_ms = msgspec.json.decode(request.body)["ttl_ms"]
        lease, self._next_lease = self._next_lease, self._next_lease + 1
        self._leases[lease] = (asyncio.get_running_loop().time(), ttl_ms)
        return _reply({"lease": lease, "ttl_ms": ttl_ms})

    async def _keep_lease(self, _, argument: str) -> Response:
        lease = int(argument)
        if lease not in self._leases:
            return Response(404)
        ttl_ms = self._leases[lease][1]
        self._leases[lease] = (asyncio.get_running_loop().time(), ttl_ms)
        return _reply({"ttl_ms": ttl_ms})

    async def _handle_lease_end(self, _, argument: str) -> Response:
        self._end_lease(int(argument))
        return _reply({})

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for item in list(self._items.values()):
            if item.lease == lease:
                self._record_change(item.key, None)

    async def _expire_leases(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(0.05)
            if self.is_down:
                continue
            for lease, (kept_at, ttl_ms) in list(self._leases.items()):
                if loop.time() - kept_at > ttl_ms / 1000:
                    self._end_lease(lease)


def _encode(item: _Item) -> dict[str, object]:
    value = base64.b64encode(item.value).decode()
    return {
        "key": item.key,
        "value": value,
        "revision": item.revision,
        "created": item.created,
        "lease": item.lease,
    }


def _reply(payload: object) -> Response:
    return Response(200, JSON_TYPE, msgspec.json.encode(payload))
