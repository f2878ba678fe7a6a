"""The view of the store as VMs pass it on to each other.

In a large fleet only a few VMs watch the store; the others watch those. A view that is
passed on carries its age, so that whoever follows knows how fresh its own view is.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

import logbook
import msgspec
from result import Err, Ok, Result

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
from heathershunt.verdict import Progress

_T = TypeVar("_T")

log = logbook.Logger("heathershunt.coordination")

SNAPSHOT_PATH = "/view"
CHANGES_PATH = "/view/changes"
# Removals that are remembered for those who were away.
MAX_REMOVALS = 2000
MAX_WAIT_MS = 5000
MAX_REPLY_BYTES = 8_388_608
GONE = 410
# Waits of a follower are short, as the age of what it gets adds to its own.
FOLLOWER_WAIT_MS = 400
REPLY_SLACK_MS = 300
# Time for which a VM that could not be followed is passed over.
AVOID_MS = 2000
# The same for a VM that has lost the store: it answers, so asking it costs little.
STALE_AVOID_MS = 400
# Least time between two calls of the store that fail while no mirror can be followed.
# It bounds the calls of a whole fleet during an outage; the mirrors tell of its end.
PROBE_MS = 1000
PROBE_JITTER = 0.7
# Mirrors that fail in a row before the store itself is read. The others that are left
# have most likely lost it too, while this VM may still reach it.
MOST_FAILED_MIRRORS = 2
# Time for which the store is then read before a mirror is tried again.
DIRECT_MS = 2000


class _Change(msgspec.Struct, array_like=True):
    key: str
    revision: int
    # ``None`` for a removed key.
    value: bytes | None


class _Reply(msgspec.Struct, array_like=True):
    revision: int
    age_ms: int
    # Time for which the reply was held back for want of changes.
    waited_ms: int
    changes: list[_Change]


class ViewMirror:
    """Keeps the last change of each key and hands them to followers.

    :param age_ms: called for the age of this VM's view; ``None`` without one.

    .. versionadded:: 0.2
    """

    def __init__(self, age_ms: Callable[[], int | None]) -> None:
        self._age_ms = age_ms
        self._change_by_key: dict[str, _Change] = {}
        self._removed = 0
        self._first_revision = 0
        self._revision = 0
        self._news = asyncio.Event()

    def on_snapshot(self, snapshot: Snapshot) -> None:
        """Take a complete list; what came before is forgotten."""
        self._change_by_key = {
            entry.key: _Change(entry.key, entry.revision, entry.value)
            for entry in snapshot.entries
        }
        self._removed = 0
        self._first_revision = self._revision = snapshot.revision
        self._announce()

    def on_changes(self, changes: Changes) -> None:
        """Take changes in order."""
        for key, entry in changes.entries:
            revision = changes.revision if entry is None else entry.revision
            value = None if entry is None else entry.value
            self._removed += entry is None
            self._change_by_key[key] = _Change(key, revision, value)
        self._revision = max(self._revision, changes.revision)
        if self._removed > MAX_REMOVALS:
            self._forget_removals()
        self._announce()

    def _forget_removals(self) -> None:
        kept = {k: c for k, c in self._change_by_key.items() if c.value is not None}
        self._change_by_key = kept
        self._removed = 0
        self._first_revision = self._revision

    def _announce(self) -> None:
        self._news.set()
        self._news = asyncio.Event()

    async def handle(self, request: Request) -> Response:
        """Answer a follower."""
        if self._age_ms() is None or not self._revision:
            return Response(503)
        if request.path == SNAPSHOT_PATH:
            return self._reply(-1, 0)
        if request.path != CHANGES_PATH:
            return Response(404)
        try:
            after = int(request.query["after"])
            wait_ms = min(MAX_WAIT_MS, max(0, int(request.query["wait_ms"])))
            most_age_ms = int(request.query.get("most_age_ms", MAX_WAIT_MS))
        except (KeyError, ValueError):
            return Response(400)
        if after < self._first_revision:
            return Response(GONE)
        # A follower does not take an older view and has no time to lose by waiting.
        left_ms = max(0, most_age_ms - self._age_ms())
        started = asyncio.get_running_loop().time()
        await self._wait_for_news(after, min(wait_ms, left_ms))
        waited_ms = int((asyncio.get_running_loop().time() - started) * 1000)
        if after < self._first_revision:
            return Response(GONE)
        return self._reply(after, waited_ms)

    async def _wait_for_news(self, after: int, wait_ms: int) -> None:
        try:
            async with asyncio.timeout(wait_ms / 1000):
                while self._revision <= after or not self._has_news(after):
                    await self._news.wait()
        except TimeoutError:
            pass

    def _has_news(self, after: int) -> bool:
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


class FollowingStore:
    """The store, read through another VM's mirror where that is up to date.

    Everything but reading goes to the store itself, and so does reading while none of
    the mirrors can be followed, or after some have failed in a row.

    :param upstreams: called for the mirrors to follow; empty to watch the store.
    :param most_age_ms: called for the age up to which a mirror's view is taken.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        store: Store,
        http: HttpClient,
        now_ms: Callable[[], int],
        upstreams: Callable[[], Sequence[Address]],
        most_age_ms: Callable[[], int],
    ) -> None:
        self._store = store
        self._http = http
        self._now_ms = now_ms
        self._upstreams = upstreams
        self._most_age_ms = most_age_ms
        self._avoided_until: dict[Address, int] = {}
        self._next_probe_at = 0
        self._failed_mirrors = 0
        self._direct_until = 0
        # A list that is older than what was seen would bring back what is gone.
        self._newest_revision = 0

    async def read_all(self, prefix: str) -> Result[Snapshot, StoreError]:
        """Return all entries, from a mirror if there is one."""
        upstream = self._pick()
        if upstream is None:
            return await self._probe(lambda: self._store.read_all(prefix))
        reply = await self._ask(upstream, SNAPSHOT_PATH, 0)
        if isinstance(reply, Err):
            return reply
        found = reply.ok_value
        if found.revision < self._newest_revision:
            detail = f"mirror: revision {found.revision} is an old one"
            return self._leave(upstream, StoreFailure.REJECTED, detail)
        self._newest_revision = found.revision
        entries = tuple(Entry(c.key, c.value, c.revision) for c in found.changes)
        return Ok(Snapshot(entries, found.revision, found.age_ms))

    async def watch(
        self, prefix: str, revision: int, wait_ms: int
    ) -> Result[Changes, StoreError]:
        """Return the changes after ``revision``, from a mirror if there is one."""
        self._newest_revision = max(self._newest_revision, revision)
        upstream = self._pick()
        if upstream is None:
            return await self._probe(
                lambda: self._store.watch(prefix, revision, wait_ms)
            )
        wait_ms = min(wait_ms, FOLLOWER_WAIT_MS)
        most_age_ms = self._most_age_ms()
        path = f"{CHANGES_PATH}?after={revision}&wait_ms={wait_ms}"
        path += f"&most_age_ms={most_age_ms}"
        reply = await self._ask(upstream, path, wait_ms)
        if isinstance(reply, Err):
            return reply
        found = reply.ok_value
        entries = tuple(
            (c.key, None if c.value is None else Entry(c.key, c.value, c.revision))
            for c in found.changes
        )
        newest = max(revision, found.revision)
        return Ok(Changes(entries, newest, found.age_ms, found.waited_ms))

    def _pick(self) -> Address | None:
        """Return a mirror to ask, ``None`` to ask the store."""
        now = self._now_ms()
        if self._next_probe_at <= now < self._direct_until:
            return None
        left = [
            address
            for address in self._upstreams()
            if self._avoided_until.get(address, 0) <= now
        ]
        return random.choice(left) if left else None

    async def _probe(
        self, call: Callable[[], Awaitable[Result[_T, StoreError]]]
    ) -> Result[_T, StoreError]:
        """Call the store, unless a call has just failed and there are mirrors."""
        now = self._now_ms()
        if now < self._next_probe_at and self._upstreams():
            return Err(StoreError(StoreFailure.REJECTED, "no mirror can be followed"))
        outcome = await call()
        if (
            isinstance(outcome, Err)
            and outcome.err_value.failure is not StoreFailure.HISTORY_LOST
        ):
            pause_ms = PROBE_MS * random.uniform(PROBE_JITTER, 1.0)
            self._next_probe_at = int(self._now_ms() + pause_ms)
            self._direct_until = 0
        return outcome

    async def _ask(
        self, upstream: Address, path: str, wait_ms: int
    ) -> Result[_Reply, StoreError]:
        outcome = await self._http.exchange(
            upstream,
            "GET",
            path,
            timeout_ms=wait_ms + REPLY_SLACK_MS,
            limit=MAX_REPLY_BYTES,
            correlated=True,
        )
        if isinstance(outcome, Err):
            is_sent = outcome.err_value.progress is not Progress.NOT_SENT
            failure = StoreFailure.UNKNOWN if is_sent else StoreFailure.REJECTED
            # A mirror that kept this VM waiting leaves no time to ask another one.
            self._failed_mirrors += is_sent
            return self._leave(upstream, failure, outcome.err_value.detail)
        status, raw = outcome.ok_value
        if status == GONE:
            return Err(StoreError(StoreFailure.HISTORY_LOST, "mirror: history is gone"))
        if status != 200:
            detail = f"mirror: status {status}"
            return self._leave(upstream, StoreFailure.REJECTED, detail)
        try:
            reply = msgspec.msgpack.decode(raw, type=_Reply)
        except ValueError as error:
            detail = f"mirror: malformed reply: {error}"
            return self._leave(upstream, StoreFailure.UNKNOWN, detail)
        if reply.age_ms > self._most_age_ms():
            detail = f"mirror: view of {reply.age_ms} ms is too old"
            return self._leave(upstream, StoreFailure.REJECTED, detail, STALE_AVOID_MS)
        self._failed_mirrors = 0
        return Ok(reply)

    def _leave(
        self,
        upstream: Address,
        failure: StoreFailure,
        detail: str,
        avoid_ms: int = AVOID_MS,
    ) -> Err[StoreError]:
        """Pass over a mirror for a while."""
        now = self._now_ms()
        self._avoided_until = {a: t for a, t in self._avoided_until.items() if t > now}
        self._avoided_until[upstream] = now + avoid_ms
        self._failed_mirrors += 1
        if self._failed_mirrors >= MOST_FAILED_MIRRORS:
            self._failed_mirrors = 0
            self._direct_until = now + DIRECT_MS
        log.info("does not follow {}: {}", upstream, detail)
        return Err(StoreError(failure, f"{upstream}: {detail}"))

    # Calls that always go to the store

    async def commit(
        self,
        expectations: tuple[Expectation, ...],
        values: tuple[LeasedValue, ...],
        removed: tuple[str, ...] = (),
    ) -> Result[int, StoreError]:
        """Write all or nothing and return the new revision."""
        return await self._store.commit(expectations, values, removed)

    async def grant_lease(self, ttl_ms: int) -> Result[tuple[int, int], StoreError]:
        """Return a new lease and the time to live that applies."""
        return await self._store.grant_lease(ttl_ms)

    async def keep_lease(self, lease: int) -> Result[int, StoreError]:
        """Renew a lease and return its time to live."""
        return await self._store.keep_lease(lease)

    async def end_lease(self, lease: int) -> Result[None, StoreError]:
        """End a lease; its keys are removed."""
        return await self._store.end_lease(lease)
