"""Replication of the store's entries between VMs.

In a large fleet only a few VMs watch the store; the others follow the mirrors of those
VMs. Each reply of a mirror carries the age of its view, so that the follower knows the
age of its own.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

import logbook
import msgspec
from result import Err, Ok, Result

from heathershunt.coordination.revisions import era_of
from heathershunt.coordination.store import (
    Changes,
    Entry,
    Expectation,
    LeasedValue,
    Snapshot,
    Store,
    StoreError,
    StoreFailure,
)
from heathershunt.http import Address, HttpClient, Request, Response
from heathershunt.schema.decoding import MalformedError, decode_untrusted
from heathershunt.schema.fields import Text, Whole
from heathershunt.verdict import Progress

_T = TypeVar("_T")

log = logbook.Logger("heathershunt.coordination")

SNAPSHOT_PATH = "/view"
CHANGES_PATH = "/view/changes"
# Removed keys that are kept for followers that lag behind.
MAX_REMOVALS = 2000
MAX_WAIT_MS = 5000
MAX_REPLY_BYTES = 8_388_608
GONE = 410
# Followers wait briefly, as the age of the mirror's view adds to that of their own.
FOLLOWER_WAIT_MS = 400
REPLY_MARGIN_MS = 300
# Time for which a mirror is not used again after a failed request.
AVOID_MS = 2000
# The same for a mirror whose view is too old: it answers, so a request costs little.
STALE_AVOID_MS = 400
# Minimum time from a failed call of the store to the next while no mirror is usable. It
# bounds the calls of a whole fleet during an outage; mirrors reveal its end sooner.
PROBE_INTERVAL_MS = 1000
PROBE_JITTER = 0.7
# Consecutive mirror failures after which the store itself is read. The other mirrors
# have most likely lost the store too, while this VM may still reach it.
MAX_FAILED_MIRRORS = 2
# Time for which the store is then read directly before a mirror is tried again.
DIRECT_READ_MS = 2000


class _Change(msgspec.Struct, array_like=True):
    key: Text
    revision: Whole
    # ``None`` for a removed key.
    value: bytes | None


class _Reply(msgspec.Struct, array_like=True):
    revision: Whole
    age_ms: Whole
    # Time for which the mirror waited for changes before it replied.
    waited_ms: Whole
    changes: list[_Change]


_decode_reply = msgspec.msgpack.Decoder(_Reply).decode


class ViewMirror:
    """Keeps the last change of each key and serves the changes to followers.

    :param age_ms: returns the age of this VM's view in milliseconds; ``None`` before
        the first answer of the store.

    .. versionadded:: 0.2
    """

    def __init__(self, age_ms: Callable[[], int | None]) -> None:
        self._age_ms = age_ms
        self._change_by_key: dict[str, _Change] = {}
        self._removal_count = 0
        self._first_revision = 0
        self._revision = 0
        self._changed = asyncio.Event()

    def on_snapshot(self, snapshot: Snapshot) -> None:
        """Replace all entries by those of a snapshot."""
        self._change_by_key = {
            entry.key: _Change(entry.key, entry.revision, entry.value)
            for entry in snapshot.entries
        }
        self._removal_count = 0
        self._first_revision = self._revision = snapshot.revision
        self._wake_followers()

    def on_changes(self, changes: Changes) -> None:
        """Apply changes in order."""
        for key, entry in changes.entries:
            revision = changes.revision if entry is None else entry.revision
            value = None if entry is None else entry.value
            self._removal_count += entry is None
            self._change_by_key[key] = _Change(key, revision, value)
        self._revision = max(self._revision, changes.revision)
        if self._removal_count > MAX_REMOVALS:
            self._drop_removals()
        self._wake_followers()

    def _drop_removals(self) -> None:
        live = {k: c for k, c in self._change_by_key.items() if c.value is not None}
        self._change_by_key = live
        self._removal_count = 0
        self._first_revision = self._revision

    def _wake_followers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request: Request) -> Response:
        """Answer a follower's request for a snapshot or for changes."""
        age_ms = self._age_ms()
        if age_ms is None or not self._revision:
            return Response(503)
        if request.path == SNAPSHOT_PATH:
            return self._reply(-1, 0)
        if request.path != CHANGES_PATH:
            return Response(404)
        try:
            after = int(request.query["after"])
            wait_ms = min(MAX_WAIT_MS, max(0, int(request.query["wait_ms"])))
            max_age_ms = int(request.query.get("most_age_ms", MAX_WAIT_MS))
        except (KeyError, ValueError):
            return Response(400)
        if after < self._first_revision:
            return Response(GONE)
        # The follower rejects a view older than max_age_ms, so the reply must not wait
        # until the view is that old.
        left_ms = max(0, max_age_ms - age_ms)
        started = asyncio.get_running_loop().time()
        await self._wait_for_changes(after, min(wait_ms, left_ms))
        waited_ms = int((asyncio.get_running_loop().time() - started) * 1000)
        if after < self._first_revision:
            return Response(GONE)
        return self._reply(after, waited_ms)

    async def _wait_for_changes(self, after: int, wait_ms: int) -> None:
        try:
            async with asyncio.timeout(wait_ms / 1000):
                while self._revision <= after or not self._has_changes(after):
                    await self._changed.wait()
        except TimeoutError:
            pass

    def _has_changes(self, after: int) -> bool:
        return any(c.revision > after for c in self._change_by_key.values())

    def _reply(self, after: int, waited_ms: int) -> Response:
        changes = [
            change
            for change in self._change_by_key.values()
            if change.revision > after and (after >= 0 or change.value is not None)
        ]
        changes.sort(key=lambda change: change.revision)
        reply = _Reply(self._revision, self._age_ms() or 0, waited_ms, changes)
        return Response(200, {}, msgspec.msgpack.encode(reply))


class MirroredStore:
    """A store whose reads go to another VM's mirror while that is fresh.

    All other calls go to the store itself. Reads go there too while no mirror is
    usable, or after :data:`MAX_FAILED_MIRRORS` consecutive failures of mirrors.

    :param upstreams: returns the mirrors to follow; empty to watch the store.
    :param max_age_ms: returns the maximum age of a mirror's view that is accepted.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        store: Store,
        http: HttpClient,
        now_ms: Callable[[], int],
        upstreams: Callable[[], Sequence[Address]],
        max_age_ms: Callable[[], int],
    ) -> None:
        self._store = store
        self._http = http
        self._now_ms = now_ms
        self._upstreams = upstreams
        self._max_age_ms = max_age_ms
        self._avoided_until: dict[Address, int] = {}
        self._next_probe_at = 0
        self._failed_mirrors = 0
        self._direct_until = 0
        # A snapshot older than this would bring back keys that were removed.
        self._newest_revision = 0

    async def read_all(self, prefix: str) -> Result[Snapshot, StoreError]:
        """Return all entries, from a mirror if one is usable."""
        upstream = self._pick_mirror()
        if upstream is None:
            return await self._call_store(lambda: self._store.read_all(prefix))
        outcome = await self._fetch(upstream, SNAPSHOT_PATH, 0)
        if isinstance(outcome, Err):
            return outcome
        reply = outcome.ok_value
        if reply.revision < self._newest_revision:
            detail = f"mirror: revision {reply.revision} is outdated"
            return self._avoid(upstream, StoreFailure.REJECTED, detail)
        self._newest_revision = reply.revision
        entries = tuple(
            Entry(c.key, c.value, c.revision)
            for c in reply.changes
            if c.value is not None
        )
        return Ok(Snapshot(entries, reply.revision, reply.age_ms))

    async def watch(
        self, prefix: str, revision: int, wait_ms: int
    ) -> Result[Changes, StoreError]:
        """Return the changes after ``revision``, from a mirror if one is usable."""
        self._newest_revision = max(self._newest_revision, revision)
        upstream = self._pick_mirror()
        if upstream is None:
            return await self._call_store(
                lambda: self._store.watch(prefix, revision, wait_ms)
            )
        wait_ms = min(wait_ms, FOLLOWER_WAIT_MS)
        max_age_ms = self._max_age_ms()
        path = f"{CHANGES_PATH}?after={revision}&wait_ms={wait_ms}"
        path += f"&most_age_ms={max_age_ms}"
        outcome = await self._fetch(upstream, path, wait_ms)
        if isinstance(outcome, Err):
            return outcome
        reply = outcome.ok_value
        if era_of(reply.revision) < era_of(revision):
            detail = "mirror: it has not seen that the store was restored"
            return self._avoid(upstream, StoreFailure.REJECTED, detail)
        entries = tuple(
            (c.key, None if c.value is None else Entry(c.key, c.value, c.revision))
            for c in reply.changes
        )
        newest = max(revision, reply.revision)
        return Ok(Changes(entries, newest, reply.age_ms, reply.waited_ms))

    def _pick_mirror(self) -> Address | None:
        """Return the mirror to read from; ``None`` to read from the store."""
        now = self._now_ms()
        if self._next_probe_at <= now < self._direct_until:
            return None
        candidates = [
            address
            for address in self._upstreams()
            if self._avoided_until.get(address, 0) <= now
        ]
        return random.choice(candidates) if candidates else None

    async def _call_store(
        self, call: Callable[[], Awaitable[Result[_T, StoreError]]]
    ) -> Result[_T, StoreError]:
        """Call the store, unless there are mirrors and a call failed just now."""
        now = self._now_ms()
        if now < self._next_probe_at and self._upstreams():
            return Err(StoreError(StoreFailure.REJECTED, "no mirror is usable"))
        outcome = await call()
        if (
            isinstance(outcome, Err)
            and outcome.err_value.failure is not StoreFailure.HISTORY_LOST
        ):
            pause_ms = PROBE_INTERVAL_MS * random.uniform(PROBE_JITTER, 1.0)
            self._next_probe_at = int(self._now_ms() + pause_ms)
            self._direct_until = 0
        return outcome

    async def _fetch(
        self, upstream: Address, path: str, wait_ms: int
    ) -> Result[_Reply, StoreError]:
        outcome = await self._http.exchange(
            upstream,
            "GET",
            path,
            timeout_ms=wait_ms + REPLY_MARGIN_MS,
            limit=MAX_REPLY_BYTES,
            correlated=True,
        )
        if isinstance(outcome, Err):
            is_sent = outcome.err_value.progress is not Progress.NOT_SENT
            failure = StoreFailure.UNKNOWN if is_sent else StoreFailure.REJECTED
            # A request that was sent counts twice: the time spent waiting for the reply
            # leaves none to try another mirror.
            self._failed_mirrors += is_sent
            return self._avoid(upstream, failure, outcome.err_value.detail)
        status, raw = outcome.ok_value
        if status == GONE:
            return Err(StoreError(StoreFailure.HISTORY_LOST, "mirror: history is lost"))
        if status != 200:
            detail = f"mirror: status {status}"
            return self._avoid(upstream, StoreFailure.REJECTED, detail)
        try:
            reply = decode_untrusted(_decode_reply, raw)
        except MalformedError as error:
            detail = f"mirror: malformed reply: {error}"
            return self._avoid(upstream, StoreFailure.UNKNOWN, detail)
        if reply.age_ms > self._max_age_ms():
            detail = f"mirror: view of {reply.age_ms} ms is too old"
            return self._avoid(upstream, StoreFailure.REJECTED, detail, STALE_AVOID_MS)
        self._failed_mirrors = 0
        return Ok(reply)

    def _avoid(
        self,
        upstream: Address,
        failure: StoreFailure,
        detail: str,
        avoid_ms: int = AVOID_MS,
    ) -> Err[StoreError]:
        """Record a failure of a mirror, which is not used for ``avoid_ms``."""
        now = self._now_ms()
        self._avoided_until = {a: t for a, t in self._avoided_until.items() if t > now}
        self._avoided_until[upstream] = now + avoid_ms
        self._failed_mirrors += 1
        if self._failed_mirrors >= MAX_FAILED_MIRRORS:
            self._failed_mirrors = 0
            self._direct_until = now + DIRECT_READ_MS
        log.info("the mirror at {} is not followed for now: {}", upstream, detail)
        return Err(StoreError(failure, f"{upstream}: {detail}"))

    # Calls that always go to the store itself

    async def commit(
        self,
        expectations: tuple[Expectation, ...],
        values: tuple[LeasedValue, ...],
        removed: tuple[str, ...] = (),
    ) -> Result[int, StoreError]:
        """Write atomically and return the new revision."""
        return await self._store.commit(expectations, values, removed)

    async def grant_lease(self, ttl_ms: int) -> Result[tuple[int, int], StoreError]:
        """Return a new lease and the time to live that was granted."""
        return await self._store.grant_lease(ttl_ms)

    async def renew_lease(self, lease: int) -> Result[int, StoreError]:
        """Renew a lease and return its time to live."""
        return await self._store.renew_lease(lease)

    async def end_lease(self, lease: int) -> Result[None, StoreError]:
        """End a lease; the store removes its keys."""
        return await self._store.end_lease(lease)
