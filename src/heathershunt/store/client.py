"""Client of the platform's key-value service."""

import base64
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, TypeVar
from urllib.parse import quote

import logbook
import msgspec
from result import Err, Ok, Result

from heathershunt.coordination.revisions import EraField, era_of, join, number_of
from heathershunt.http import Address, HttpClient
from heathershunt.schema.fields import Whole
from heathershunt.verdict import Progress

log = logbook.Logger("heathershunt.store")

CALL_TIMEOUT_MS = 2000
TOO_MANY_REQUESTS = 429
# Field of all replies with the number of times that the store was restored from a copy.
ERA_HEADER = "store-era"
CONFLICT = 409
NOT_FOUND = 404
# Between the era and the id of a lease.
LEASE_SEPARATOR = "."
GONE = 410

T = TypeVar("T")
# With the era of the store, see ``heathershunt.coordination.revisions``.
Revision = Whole


class StoreFailure(Enum):
    """Why a call to the store failed."""

    UNAVAILABLE = "unavailable"
    OUTCOME_UNKNOWN = "outcome unknown"
    RATE_LIMITED = "rate limited"
    LEASE_LAPSED = "lease lapsed"


@dataclass(frozen=True)
class StoreError:
    """A failed call to the store.

    :param kind: ``OUTCOME_UNKNOWN`` if a write may have taken effect.
    :param detail: the cause, for logs and error replies.
    """

    kind: StoreFailure
    detail: str


@dataclass(frozen=True)
class StoredValue:
    """A key with its value and revision.

    An absent key has ``None`` as its value and 0 as its revision.
    """

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True)
class SwapResult:
    """Outcome of a compare-and-swap.

    :param done: whether the new value was written.
    :param current: the new value if it was written, else the one in the store.
    """

    done: bool
    current: StoredValue


class KeyValueStore:
    """Client of the key-value service, which has one or more addresses.

    Revisions and leases carry the era of the store, see
    :mod:`heathershunt.coordination.revisions`: what is from before a restoration
    matches nothing after it.

    :param addresses: tried in order; an address that fails moves to the end
        of the list.
    :ivar on_restored: called once the store is known to have been restored from a copy.

    .. versionadded:: 0.1
    """

    def __init__(self, http: HttpClient, addresses: tuple[Address, ...]) -> None:
        self._http = http
        self._addresses = list(addresses)
        self._era = 0
        self.on_restored: Callable[[], None] = lambda: None

    async def get(self, key: str) -> Result[StoredValue, StoreError]:
        """Return the value and revision of one key."""
        outcome = await self._call("GET", f"/v1/kv?key={quote(key, safe='')}")
        return outcome.and_then(
            lambda reply: _validate_reply(reply, _Value, NOT_FOUND)
        ).map(lambda checked: checked[1].stored(key))

    async def swap(
        self, key: str, value: bytes | None, expected: int, lease: str | None = None
    ) -> Result[SwapResult, StoreError]:
        """Write ``value`` if the revision of ``key`` is still ``expected``.

        A mismatch is not an error: the result has ``done`` false.

        :param value: ``None`` deletes the key.
        :param expected: 0 if the key must not exist.
        :param lease: id of a lease; the store deletes the key when it expires.
        """
        if expected and era_of(expected) != self._era:
            current = await self.get(key)
            return current.map(lambda stored: SwapResult(False, stored))
        if lease is not None and _era_of_lease(lease) != self._era:
            return _lapsed()
        text = None if value is None else base64.b64encode(value).decode()
        body = {
            "key": key,
            "value": text,
            "expected": number_of(expected),
            "lease": lease and _lease_id(lease),
        }
        era = self._era
        outcome = await self._call("POST", "/v1/kv/swap", body)
        if isinstance(outcome, Err):
            return outcome
        if era != self._era and (expected or lease):
            detail = "the store was restored during the call"
            return Err(StoreError(StoreFailure.OUTCOME_UNKNOWN, detail))
        checked = _validate_reply(outcome.ok_value, _Value, CONFLICT)
        if isinstance(checked, Err):
            # A malformed reply does not say whether the write took effect.
            detail = checked.err_value.detail
            return Err(StoreError(StoreFailure.OUTCOME_UNKNOWN, detail))
        status, reply = checked.ok_value
        if status == CONFLICT:
            return Ok(SwapResult(False, reply.stored(key)))
        return Ok(SwapResult(True, StoredValue(key, value, reply.revision)))

    async def watch(
        self, prefix: str, after: int, wait_ms: int
    ) -> Result[tuple[list[StoredValue], int], StoreError]:
        """Wait for changes of keys with a prefix after a revision.

        A revision from before a restoration stands for the start of the history.

        :param wait_ms: how long the store may hold the request without a change.
        :returns: the changes and the revision to watch from next.
        """
        era = self._era
        number = number_of(after) if era_of(after) == era else 0
        target = f"/v1/watch?prefix={quote(prefix)}&after={number}&wait_ms={wait_ms}"
        outcome = await self._call("GET", target, wait_ms=wait_ms)
        if isinstance(outcome, Err):
            return outcome
        if number and era != self._era:
            detail = "the store was restored during the watch"
            return Err(StoreError(StoreFailure.UNAVAILABLE, detail))
        checked = _validate_reply(outcome.ok_value, _Events)
        if isinstance(checked, Err):
            return checked
        reply = checked.ok_value[1]
        if number and not _is_newer(reply, after):
            # A duplicate of an earlier reply arrived on a kept connection; its replies
            # are one request behind from here on.
            self._close_idle_connections()
            detail = f"the reply to a watch after revision {after} is an older reply"
            return Err(StoreError(StoreFailure.UNAVAILABLE, detail))
        events = [event.stored(event.key) for event in reply.events]
        return Ok((events, reply.revision))

    async def grant_lease(self, ttl_ms: int) -> Result[str, StoreError]:
        """Create a lease that expires unless renewed; return its id."""
        outcome = await self._call("POST", "/v1/leases", {"ttl_ms": ttl_ms})
        return outcome.and_then(lambda reply: _validate_reply(reply, _Lease)).map(
            lambda checked: f"{self._era}{LEASE_SEPARATOR}{checked[1].lease}"
        )

    async def keep_alive(self, lease: str) -> Result[None, StoreError]:
        """Renew a lease; the error is ``LEASE_LAPSED`` if it has expired."""
        if _era_of_lease(lease) != self._era:
            return _lapsed()
        path = f"/v1/leases/{_lease_id(lease)}/keepalive"
        outcome = await self._call("POST", path, {})
        if isinstance(outcome, Ok) and _era_of_lease(lease) != self._era:
            return _lapsed()
        return outcome.map(lambda _: None)

    async def revoke(self, lease: str) -> Result[None, StoreError]:
        """Revoke a lease before it expires; one from another era is left to expire."""
        if _era_of_lease(lease) != self._era:
            return Ok(None)
        outcome = await self._call("DELETE", f"/v1/leases/{_lease_id(lease)}")
        return outcome.map(lambda _: None)

    async def _call(
        self, method: str, target: str, body: Any = None, wait_ms: int | None = None
    ) -> Result[tuple[int, Any], StoreError]:
        """Send a request to the first address that replies.

        A write that may have reached one address is not sent to another.

        Replies have no id, so on a kept connection a duplicate of an earlier reply
        could be taken for the reply to this request. Only watches use kept
        connections, because the revisions in their replies expose a duplicate.

        :param wait_ms: time that a watch waits; ``None`` for other calls.
        """
        error = None
        for address in list(self._addresses):
            era = EraField(ERA_HEADER, self._era)
            outcome = await self._http.request_json(
                address,
                method,
                target,
                body,
                timeout_ms=CALL_TIMEOUT_MS + (wait_ms or 0),
                fresh=wait_ms is None,
                on_head=era.read,
            )
            if isinstance(outcome, Ok) and era.value < self._era:
                detail = "the reply is from before the store was restored"
                return Err(StoreError(StoreFailure.OUTCOME_UNKNOWN, detail))
            if isinstance(outcome, Ok):
                self._record_era(era.value)
                status, reply = outcome.ok_value
                return _check_status(status, _with_era(reply, era.value))
            error = outcome.err_value
            self._addresses.remove(address)
            self._addresses.append(address)
            if method != "GET" and error.progress is not Progress.NOT_SENT:
                return Err(StoreError(StoreFailure.OUTCOME_UNKNOWN, error.detail))
        return Err(StoreError(StoreFailure.UNAVAILABLE, error.detail))

    def _record_era(self, era: int) -> None:
        before, self._era = self._era, era
        if 0 < before < era:
            log.notice("the store was restored from a copy; its era is {}", era)
            self.on_restored()

    def _close_idle_connections(self) -> None:
        for address in self._addresses:
            self._http.close_idle(address)


def _with_era(reply: Any, era: int) -> Any:
    """Put the era into the revisions of a reply; 0 stands for an absent key."""
    if not isinstance(reply, dict):
        return reply
    changed = dict(reply)
    revision = reply.get("revision")
    if isinstance(revision, int) and revision > 0:
        changed["revision"] = join(era, revision)
    if isinstance(reply.get("events"), list):
        changed["events"] = [_with_era(event, era) for event in reply["events"]]
    return changed


def _era_of_lease(lease: str) -> int:
    return int(lease.partition(LEASE_SEPARATOR)[0])


def _lease_id(lease: str) -> str:
    return lease.partition(LEASE_SEPARATOR)[2]


def _lapsed() -> Err[StoreError]:
    detail = "the lease is from before the store was restored"
    return Err(StoreError(StoreFailure.LEASE_LAPSED, detail))


def _is_newer(reply: "_Events", revision: int) -> bool:
    """Return whether a reply holds only revisions that a watch may return."""
    if reply.revision < revision:
        return False
    return all(event.revision > revision for event in reply.events)


def _check_status(status: int, reply: Any) -> Result[tuple[int, Any], StoreError]:
    if status == TOO_MANY_REQUESTS:
        return Err(StoreError(StoreFailure.RATE_LIMITED, "rate limit of the store"))
    if status == GONE:
        return Err(StoreError(StoreFailure.LEASE_LAPSED, "the lease has lapsed"))
    if status in (200, CONFLICT, NOT_FOUND) and isinstance(reply, dict):
        return Ok((status, reply))
    return Err(StoreError(StoreFailure.UNAVAILABLE, f"status {status}"))


class _Value(msgspec.Struct):
    """Reply to a read or a swap; msgspec decodes ``value`` from base64."""

    revision: Revision
    value: bytes | None = None

    def stored(self, key: str) -> StoredValue:
        return StoredValue(key, self.value, self.revision)


class _Event(_Value, kw_only=True):
    key: str


class _Events(msgspec.Struct):
    events: list[_Event]
    revision: Revision


class _Lease(msgspec.Struct):
    lease: str


def _validate_reply(
    outcome: tuple[int, Any], cls: type[T], other_status: int = 200
) -> Result[tuple[int, T], StoreError]:
    """Check the status and the shape of a reply.

    :param other_status: status besides 200 that is valid for this call.
    """
    status, reply = outcome
    if status not in (200, other_status):
        return Err(StoreError(StoreFailure.UNAVAILABLE, f"status {status}"))
    try:
        return Ok((status, msgspec.convert(reply, cls)))
    except msgspec.ValidationError as error:
        detail = f"malformed reply: {error}"
        return Err(StoreError(StoreFailure.UNAVAILABLE, detail))
