"""Client of the platform's metadata store."""

import asyncio
import base64
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any
from urllib.parse import urlencode

import logbook
import msgspec
from result import Err, Ok, Result

from heathershunt.coordination import (
    Changes,
    Entry,
    Expectation,
    LeasedValue,
    Snapshot,
    StoreError,
    StoreFailure,
)
from heathershunt.http import Address, HttpClient
from heathershunt.platform.names import STORE_ERA
from heathershunt.verdict import Progress

log = logbook.Logger("heathershunt.platform")

CALL_TIMEOUT_MS = 700
# Time limit for the reply to a watch, in addition to its wait.
WATCH_SLACK_MS = 500
# A valid reply to a watch without changes may be this much earlier than its wait.
EARLY_END_TOLERANCE_MS = 20
MAX_REPLY_BYTES = 4_194_304
SUCCESS = 200
FAILURE_BY_STATUS = {
    404: StoreFailure.NO_LEASE,
    410: StoreFailure.HISTORY_LOST,
    412: StoreFailure.CONFLICT,
}


class _Item(msgspec.Struct):
    key: str
    revision: int
    value: str = ""
    tombstone: bool = False


class _RangeReply(msgspec.Struct):
    items: list[_Item]
    has_more: bool
    # Revision of the whole store when the page was read.
    current_rev: int


class _WatchReply(msgspec.Struct):
    events: list[_Item]
    current_rev: int


class _CommitReply(msgspec.Struct):
    revision: int


class _GrantReply(msgspec.Struct):
    lease: int
    ttl_ms: float


class _KeepReply(msgspec.Struct):
    ttl_ms: float


class MetadataStore:
    """Calls to the platform's metadata store over HTTP.

    :param on_era: called with the new era when the store was restored from a copy.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        http: HttpClient,
        address: Address,
        on_era: Callable[[int], None] = lambda era: None,
    ) -> None:
        self._http = http
        self._address = address
        self._on_era = on_era
        self._era: int | None = None

    async def read_all(self, prefix: str) -> Result[Snapshot, StoreError]:
        """Read all entries under a prefix, page by page.

        The pages are not read from one snapshot, so the returned revision is that of
        the first page: a watch from there repeats changes but misses none.
        """
        entries: list[Entry] = []
        revision: int | None = None
        query = {"prefix": prefix}
        while True:
            page = await self._call("GET", "/kv-range", _RangeReply, query, fresh=True)
            if isinstance(page, Err):
                return page
            items = page.ok_value.items
            entries.extend(map(_decode_entry, items))
            if revision is None:
                revision = page.ok_value.current_rev
            if not page.ok_value.has_more or not items:
                return Ok(Snapshot(tuple(entries), revision))
            query["after"] = items[-1].key

    async def watch(
        self, prefix: str, revision: int, wait_ms: int
    ) -> Result[Changes, StoreError]:
        """Return the changes after ``revision``, waiting up to ``wait_ms`` for one."""
        query = {"prefix": prefix, "after": revision, "wait_ms": wait_ms}
        timeout_ms = wait_ms + WATCH_SLACK_MS
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        reply = await self._call(
            "GET", "/kv-watch", _WatchReply, query, None, timeout_ms
        )
        if isinstance(reply, Err):
            return reply
        if not _matches_watch(reply.ok_value, revision):
            # A duplicate of an earlier reply. From now on, each call on the connection
            # would get the reply to the call before.
            self._http.close_idle(self._address)
            detail = f"the reply to a watch after {revision} is an older one"
            return Err(StoreError(StoreFailure.UNKNOWN, detail))
        waited_ms = int((loop.time() - started_at) * 1000)
        changes = _decode_changes(reply.ok_value)
        if changes.entries or waited_ms >= wait_ms - EARLY_END_TOLERANCE_MS:
            return Ok(changes)
        # A reply without changes that is early may be a duplicate too, so it proves
        # nothing about the time after the request.
        self._http.close_idle(self._address)
        return Ok(replace(changes, waited_ms=0))

    async def commit(
        self,
        expectations: tuple[Expectation, ...],
        values: tuple[LeasedValue, ...],
        removed: tuple[str, ...] = (),
    ) -> Result[int, StoreError]:
        """Write and remove keys in one transaction and return its revision.

        Nothing is changed if a key does not have its expected revision.
        """
        payload = {
            "expected": [
                {"key": row.key, "revision": row.revision} for row in expectations
            ],
            "puts": [_encode_put(value) for value in values],
            "remove": list(removed),
        }
        reply = await self._write("/kv-txn", _CommitReply, payload)
        return reply.map(lambda committed: committed.revision)

    async def grant_lease(self, ttl_ms: int) -> Result[tuple[int, int], StoreError]:
        """Return the id of a new lease and its time to live in milliseconds."""
        payload = {"ttl_ms": ttl_ms}
        reply = await self._write("/kv-lease", _GrantReply, payload)
        return reply.map(lambda granted: (granted.lease, int(granted.ttl_ms)))

    async def renew_lease(self, lease: int) -> Result[int, StoreError]:
        """Renew a lease and return its time to live in milliseconds."""
        reply = await self._call("POST", f"/kv-keep/{lease}", _KeepReply)
        return reply.map(lambda kept: int(kept.ttl_ms))

    async def end_lease(self, lease: int) -> Result[None, StoreError]:
        """End a lease; its keys are removed."""
        path = f"/kv-lease-end/{lease}"
        reply = await self._call("DELETE", path, None, fresh=True)
        return reply.map(lambda _: None)

    def _read_era(self, headers: Mapping[str, str]) -> None:
        era = _decode_era(headers.get(STORE_ERA))
        if era is None or (self._era is not None and era <= self._era):
            return
        if self._era is not None:
            self._on_era(era)
        self._era = era

    async def _write(
        self, path: str, reply_type: type, payload: Any
    ) -> Result[Any, StoreError]:
        """Make a call that changes the store, on a new connection.

        On a reused one, a duplicate of an earlier reply would report a write that did
        not happen.
        """
        return await self._call("POST", path, reply_type, None, payload, fresh=True)

    async def _call(
        self,
        method: str,
        path: str,
        reply_type: type | None,
        query: Mapping[str, Any] | None = None,
        payload: Any = None,
        timeout_ms: int = CALL_TIMEOUT_MS,
        fresh: bool = False,
    ) -> Result[Any, StoreError]:
        """Make a call and decode its reply.

        :param fresh: use a new connection. Replies carry no id, so on a reused one a
            duplicate of an earlier reply could be taken for the reply to this call.
        """
        target = f"{path}?{urlencode(query)}" if query else path
        body = b"" if payload is None else msgspec.json.encode(payload)
        outcome = await self._http.exchange(
            self._address,
            method,
            target,
            headers={"content-type": "application/json"} if body else None,
            body=body,
            timeout_ms=timeout_ms,
            limit=MAX_REPLY_BYTES,
            on_headers=self._read_era,
            fresh=fresh,
        )
        if isinstance(outcome, Err):
            error = outcome.err_value
            is_sent = error.progress is not Progress.NOT_SENT
            failure = StoreFailure.UNKNOWN if is_sent else StoreFailure.REJECTED
            return Err(StoreError(failure, error.detail))
        status, raw = outcome.ok_value
        if status != SUCCESS:
            failure = FAILURE_BY_STATUS.get(status, StoreFailure.REJECTED)
            return Err(StoreError(failure, f"{method} {path}: status {status}"))
        if reply_type is None:
            return Ok(None)
        try:
            return Ok(msgspec.json.decode(raw, type=reply_type))
        except (ValueError, RecursionError) as error:
            detail = f"{method} {path}: malformed reply: {error}"
            return Err(StoreError(StoreFailure.UNKNOWN, detail))


def _decode_era(text: str | None) -> int | None:
    if text is None:
        return None
    if text.isdecimal():
        return int(text)
    log.warning("malformed era of the store: {!r}", text[:40])
    return None


def _matches_watch(events: _WatchReply, revision: int) -> bool:
    """Return whether a reply can be the one to a watch after ``revision``."""
    if events.current_rev < revision:
        return False
    return all(item.revision > revision for item in events.events)


def _decode_entry(item: _Item) -> Entry:
    return Entry(item.key, _decode_value(item.value), item.revision)


def _decode_value(text: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except ValueError:
        # The decoder of the entry rejects the empty value and logs the key.
        return b""


def _decode_changes(events: _WatchReply) -> Changes:
    entries = tuple(
        (item.key, None if item.tombstone else _decode_entry(item))
        for item in events.events
    )
    return Changes(entries, events.current_rev)


def _encode_put(value: LeasedValue) -> dict[str, Any]:
    encoded = base64.b64encode(value.value).decode("ascii")
    row = {"key": value.key, "value": encoded}
    if value.lease:
        row["lease"] = value.lease
    return row
