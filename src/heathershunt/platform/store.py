"""Client of the platform's metadata store."""

import asyncio
import base64
from collections.abc import Mapping
from dataclasses import dataclass, replace
from functools import partial
from typing import Annotated, Any
from urllib.parse import urlencode

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
from heathershunt.coordination.revisions import (
    NUMBER_BITS,
    EraField,
    era_of,
    era_of_lease,
    join,
    join_lease,
    number_of,
    number_of_lease,
)
from heathershunt.http import Address, HttpClient
from heathershunt.platform.names import STORE_ERA
from heathershunt.schema.decoding import MalformedError, decode_untrusted
from heathershunt.schema.fields import Milliseconds, Text
from heathershunt.verdict import Progress

CALL_TIMEOUT_MS = 700
# Time limit for the reply to a watch, in addition to its wait.
WATCH_SLACK_MS = 500
# A valid reply to a watch without changes may be this much earlier than its wait.
EARLY_END_TOLERANCE_MS = 20
MAX_REPLY_BYTES = 4_194_304
SUCCESS = 200
# The store's own number, without the era.
StoreRevision = Annotated[int, msgspec.Meta(ge=0, le=2**NUMBER_BITS - 1)]
FAILURE_BY_STATUS = {
    404: StoreFailure.NO_LEASE,
    410: StoreFailure.HISTORY_LOST,
    412: StoreFailure.CONFLICT,
}


class _Item(msgspec.Struct):
    key: Text
    revision: StoreRevision
    value: str = ""
    tombstone: bool = False


class _RangeReply(msgspec.Struct):
    items: list[_Item]
    has_more: bool
    # Revision of the whole store when the page was read.
    current_rev: StoreRevision


class _WatchReply(msgspec.Struct):
    events: list[_Item]
    current_rev: StoreRevision


class _CommitReply(msgspec.Struct):
    revision: StoreRevision


class _GrantReply(msgspec.Struct):
    lease: int
    ttl_ms: Milliseconds


class _KeepReply(msgspec.Struct):
    ttl_ms: Milliseconds


@dataclass(frozen=True, slots=True)
class _Answer:
    """A decoded reply.

    :param era: era of the store when it answered.
    """

    era: int
    body: Any


class MetadataStore:
    """Calls to the platform's metadata store over HTTP.

    Revisions and leases carry the era of the store, see
    :mod:`heathershunt.coordination.revisions`.

    .. versionadded:: 0.2
    """

    def __init__(self, http: HttpClient, address: Address) -> None:
        self._http = http
        self._address = address
        self._era = 0

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
            era, reply = page.ok_value.era, page.ok_value.body
            if revision is None:
                revision = join(era, reply.current_rev)
            if era != era_of(revision):
                detail = "the store was restored while it was read"
                return Err(StoreError(StoreFailure.UNKNOWN, detail))
            entries.extend(_decode_entry(item, era) for item in reply.items)
            if not reply.has_more or not reply.items:
                return Ok(Snapshot(tuple(entries), revision))
            query["after"] = reply.items[-1].key

    async def watch(
        self, prefix: str, revision: int, wait_ms: int
    ) -> Result[Changes, StoreError]:
        """Return the changes after ``revision``, waiting up to ``wait_ms`` for one.

        The history before a restoration is lost, also if the store has reached the same
        number again.
        """
        era, number = era_of(revision), number_of(revision)
        if era != self._era:
            return _history_lost(self._era)
        query = {"prefix": prefix, "after": number, "wait_ms": wait_ms}
        timeout_ms = wait_ms + WATCH_SLACK_MS
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        reply = await self._call(
            "GET", "/kv-watch", _WatchReply, query, None, timeout_ms
        )
        if isinstance(reply, Err):
            return reply
        if reply.ok_value.era != era:
            return _history_lost(reply.ok_value.era)
        body = reply.ok_value.body
        if not _matches_watch(body, number):
            # A duplicate of an earlier reply. From now on, each call on the connection
            # would get the reply to the call before.
            self._http.close_idle(self._address)
            detail = f"the reply to a watch after {number} is an older one"
            return Err(StoreError(StoreFailure.UNKNOWN, detail))
        waited_ms = int((loop.time() - started_at) * 1000)
        changes = _decode_changes(body, era)
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

        Nothing is changed if a key does not have its expected revision, or if a
        revision or lease is from before a restoration.
        """
        revisions = [row.revision for row in expectations if row.revision]
        if any(era_of(revision) != self._era for revision in revisions):
            return _outdated(StoreFailure.CONFLICT)
        leases = [value.lease for value in values if value.lease]
        if any(map(self._has_ended, leases)):
            return _outdated(StoreFailure.NO_LEASE)
        payload = {
            "expected": [
                {"key": row.key, "revision": number_of(row.revision)}
                for row in expectations
            ],
            "puts": [_encode_put(value) for value in values],
            "remove": list(removed),
        }
        era = self._era
        reply = await self._write("/kv-txn", _CommitReply, payload)
        if isinstance(reply, Ok) and reply.ok_value.era != era:
            if leases or expectations:
                # Its revisions and leases may now be those of others.
                return _outdated(StoreFailure.UNKNOWN)
        return reply.map(lambda answer: join(answer.era, answer.body.revision))

    async def grant_lease(self, ttl_ms: int) -> Result[tuple[int, int], StoreError]:
        """Return the id of a new lease and its time to live in milliseconds."""
        payload = {"ttl_ms": ttl_ms}
        reply = await self._write("/kv-lease", _GrantReply, payload)
        return reply.map(
            lambda answer: (
                join_lease(answer.era, answer.body.lease),
                int(answer.body.ttl_ms),
            )
        )

    async def renew_lease(self, lease: int) -> Result[int, StoreError]:
        """Renew a lease and return its time to live in milliseconds.

        After a restoration its keys may be gone or its number be another VM's, so it
        counts as ended.
        """
        if self._has_ended(lease):
            return _outdated(StoreFailure.NO_LEASE)
        path = f"/kv-keep/{number_of_lease(lease)}"
        reply = await self._call("POST", path, _KeepReply)
        if isinstance(reply, Ok) and reply.ok_value.era != era_of_lease(lease):
            return _outdated(StoreFailure.NO_LEASE)
        return reply.map(lambda answer: int(answer.body.ttl_ms))

    async def end_lease(self, lease: int) -> Result[None, StoreError]:
        """End a lease; its keys are removed.

        One from before a restoration is left to expire, as its number may be another
        VM's.
        """
        if self._has_ended(lease):
            return Ok(None)
        path = f"/kv-lease-end/{number_of_lease(lease)}"
        reply = await self._call("DELETE", path, None, fresh=True)
        return reply.map(lambda _: None)

    def _has_ended(self, lease: int) -> bool:
        return era_of_lease(lease) != self._era

    async def _write(
        self, path: str, reply_type: type, payload: Any
    ) -> Result["_Answer", StoreError]:
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
    ) -> Result["_Answer", StoreError]:
        """Make a call and decode its reply.

        A reply from before a restoration that is known already proves nothing.

        :param fresh: use a new connection. Replies carry no id, so on a reused one a
            duplicate of an earlier reply could be taken for the reply to this call.
        """
        target = f"{path}?{urlencode(query)}" if query else path
        body = b"" if payload is None else msgspec.json.encode(payload)
        era_field = EraField(STORE_ERA, self._era)
        outcome = await self._http.exchange(
            self._address,
            method,
            target,
            headers={"content-type": "application/json"} if body else None,
            body=body,
            timeout_ms=timeout_ms,
            limit=MAX_REPLY_BYTES,
            on_head=era_field.read,
            fresh=fresh,
        )
        if isinstance(outcome, Err):
            error = outcome.err_value
            is_sent = error.progress is not Progress.NOT_SENT
            failure = StoreFailure.UNKNOWN if is_sent else StoreFailure.REJECTED
            return Err(StoreError(failure, error.detail))
        status, raw = outcome.ok_value
        era = era_field.value
        if era < self._era:
            detail = f"{method} {path}: the reply is from before the store was restored"
            return Err(StoreError(StoreFailure.UNKNOWN, detail))
        self._era = era
        if status != SUCCESS:
            failure = FAILURE_BY_STATUS.get(status, StoreFailure.REJECTED)
            return Err(StoreError(failure, f"{method} {path}: status {status}"))
        if reply_type is None:
            return Ok(_Answer(era, None))
        try:
            decode = partial(msgspec.json.decode, type=reply_type)
            return Ok(_Answer(era, decode_untrusted(decode, raw)))
        except MalformedError as error:
            detail = f"{method} {path}: malformed reply: {error}"
            return Err(StoreError(StoreFailure.UNKNOWN, detail))


def _history_lost(era: int) -> Err[StoreError]:
    detail = f"the store was restored; its era is {era}"
    return Err(StoreError(StoreFailure.HISTORY_LOST, detail))


def _outdated(failure: StoreFailure) -> Err[StoreError]:
    return Err(StoreError(failure, "from before the store was restored"))


def _matches_watch(events: _WatchReply, revision: int) -> bool:
    """Return whether a reply can be the one to a watch after ``revision``."""
    if events.current_rev < revision:
        return False
    return all(item.revision > revision for item in events.events)


def _decode_entry(item: _Item, era: int) -> Entry:
    revision = join(era, item.revision)
    return Entry(item.key, _decode_value(item.value), revision)


def _decode_value(text: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except ValueError:
        # The decoder of the entry rejects the empty value and logs the key.
        return b""


def _decode_changes(events: _WatchReply, era: int) -> Changes:
    entries = tuple(
        (item.key, None if item.tombstone else _decode_entry(item, era))
        for item in events.events
    )
    return Changes(entries, join(era, events.current_rev))


def _encode_put(value: LeasedValue) -> dict[str, Any]:
    encoded = base64.b64encode(value.value).decode("ascii")
    row: dict[str, Any] = {"key": value.key, "value": encoded}
    if value.lease:
        row["lease"] = number_of_lease(value.lease)
    return row
