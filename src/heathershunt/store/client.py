"""Client of the platform's key-value service."""

import base64
from dataclasses import dataclass
from enum import Enum
from typing import Annotated, Any, TypeVar
from urllib.parse import quote

import msgspec
from result import Err, Ok, Result

from heathershunt.http import Address, HttpClient
from heathershunt.verdict import Progress

CALL_TIMEOUT_MS = 2000
TOO_MANY_REQUESTS = 429
CONFLICT = 409
NOT_FOUND = 404
GONE = 410

T = TypeVar("T")
Revision = Annotated[int, msgspec.Meta(ge=0)]


class StoreFailure(Enum):
    """Why a call of the store failed."""

    UNAVAILABLE = "unavailable"
    OUTCOME_UNKNOWN = "outcome unknown"
    RATE_LIMITED = "rate limited"
    LEASE_LAPSED = "lease lapsed"


@dataclass(frozen=True)
class StoreError:
    """A failed call of the store.

    :param kind: ``OUTCOME_UNKNOWN`` if a write may have taken effect.
    """

    kind: StoreFailure
    detail: str


@dataclass(frozen=True)
class Stored:
    """A value with its revision; ``value`` is ``None`` and ``revision`` 0 if absent."""

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True)
class Swapped:
    """Outcome of a compare-and-swap.

    :param done: whether the new value was written.
    :param current: the value in the store if it was not.
    """

    done: bool
    current: Stored


class KeyValueStore:
    """The key-value service behind one or more addresses.

    :param addresses: tried in order; an address that fails is tried last next time.

    .. versionadded:: 0.1
    """

    def __init__(self, http: HttpClient, addresses: tuple[Address, ...]) -> None:
        self._http = http
        self._addresses = list(addresses)

    async def get(self, key: str) -> Result[Stored, StoreError]:
        """Read one key."""
        outcome = await self._call("GET", f"/v1/kv?key={quote(key, safe='')}")
        return outcome.and_then(lambda reply: _checked(reply, _Value, NOT_FOUND)).map(
            lambda checked: checked[1].stored(key)
        )

    async def swap(
        self, key: str, value: bytes | None, expected: int, lease: str | None = None
    ) -> Result[Swapped, StoreError]:
        """Write ``value`` if the revision of ``key`` is still ``expected``.

        :param value: ``None`` deletes the key.
        :param lease: the key vanishes when this lease lapses.
        """
        text = None if value is None else base64.b64encode(value).decode()
        body = {"key": key, "value": text, "expected": expected, "lease": lease}
        outcome = await self._call("POST", "/v1/kv/swap", body)
        if isinstance(outcome, Err):
            return outcome
        checked = _checked(outcome.ok_value, _Value, CONFLICT)
        if isinstance(checked, Err):
            # A malformed reply does not say whether the write took effect.
            detail = checked.err_value.detail
            return Err(StoreError(StoreFailure.OUTCOME_UNKNOWN, detail))
        status, reply = checked.ok_value
        if status == CONFLICT:
            return Ok(Swapped(False, reply.stored(key)))
        return Ok(Swapped(True, Stored(key, value, reply.revision)))

    async def watch(
        self, prefix: str, after: int, wait_ms: int
    ) -> Result[tuple[list[Stored], int], StoreError]:
        """Wait for changes after a revision; return them and the new revision."""
        target = f"/v1/watch?prefix={quote(prefix)}&after={after}&wait_ms={wait_ms}"
        outcome = await self._call("GET", target, wait_ms=wait_ms)
        if isinstance(outcome, Err):
            return outcome
        checked = _checked(outcome.ok_value, _Events)
        if isinstance(checked, Err):
            return checked
        reply = checked.ok_value[1]
        if not _follows(reply, after):
            # A second copy of an earlier reply. The connection is one reply behind now.
            self._forget_connections()
            detail = f"the reply to a watch after {after} is an older one"
            return Err(StoreError(StoreFailure.UNAVAILABLE, detail))
        events = [event.stored(event.key) for event in reply.events]
        return Ok((events, reply.revision))

    async def grant_lease(self, ttl_ms: int) -> Result[str, StoreError]:
        """Ask for a lease; return its id."""
        outcome = await self._call("POST", "/v1/leases", {"ttl_ms": ttl_ms})
        return outcome.and_then(lambda reply: _checked(reply, _Lease)).map(
            lambda checked: checked[1].lease
        )

    async def keep_alive(self, lease: str) -> Result[None, StoreError]:
        """Renew a lease."""
        outcome = await self._call("POST", f"/v1/leases/{lease}/keepalive", {})
        return outcome.map(lambda _: None)

    async def revoke(self, lease: str) -> Result[None, StoreError]:
        """Give a lease back."""
        outcome = await self._call("DELETE", f"/v1/leases/{lease}")
        return outcome.map(lambda _: None)

    async def _call(
        self, method: str, target: str, body: Any = None, wait_ms: int | None = None
    ) -> Result[tuple[int, Any], StoreError]:
        """Make a call at the first address that answers.

        Replies bear no id, so the second copy of an earlier one could pass for the
        reply to this call. Only watches, which can tell, use kept connections.

        :param wait_ms: time that a watch waits; ``None`` for other calls.
        """
        error = None
        for address in list(self._addresses):
            outcome = await self._http.request_json(
                address,
                method,
                target,
                body,
                timeout_ms=CALL_TIMEOUT_MS + (wait_ms or 0),
                fresh=wait_ms is None,
            )
            if isinstance(outcome, Ok):
                return _check_status(*outcome.ok_value)
            error = outcome.err_value
            self._addresses.remove(address)
            self._addresses.append(address)
            if method != "GET" and error.progress is not Progress.NOT_SENT:
                return Err(StoreError(StoreFailure.OUTCOME_UNKNOWN, error.detail))
        return Err(StoreError(StoreFailure.UNAVAILABLE, error.detail))

    def _forget_connections(self) -> None:
        for address in self._addresses:
            self._http.close_idle(address)


def _follows(events: "_Events", revision: int) -> bool:
    """Return whether events can be the reply to a watch after a revision."""
    if events.revision < revision:
        return False
    return all(event.revision > revision for event in events.events)


def _check_status(status: int, reply: Any) -> Result[tuple[int, Any], StoreError]:
    if status == TOO_MANY_REQUESTS:
        return Err(StoreError(StoreFailure.RATE_LIMITED, "rate limit of the store"))
    if status == GONE:
        return Err(StoreError(StoreFailure.LEASE_LAPSED, "the lease has lapsed"))
    if status in (200, CONFLICT, NOT_FOUND) and isinstance(reply, dict):
        return Ok((status, reply))
    return Err(StoreError(StoreFailure.UNAVAILABLE, f"status {status}"))


class _Value(msgspec.Struct):
    """A value or the new revision; msgspec decodes the base64."""

    revision: Revision
    value: bytes | None = None

    def stored(self, key: str) -> Stored:
        return Stored(key, self.value, self.revision)


class _Event(_Value, kw_only=True):
    key: str


class _Events(msgspec.Struct):
    events: list[_Event]
    revision: Revision


class _Lease(msgspec.Struct):
    lease: str


def _checked(
    outcome: tuple[int, Any], cls: type[T], other_status: int = 200
) -> Result[tuple[int, T], StoreError]:
    """Check status and shape of a reply.

    :param other_status: status beside 200 that the call may answer.
    """
    status, reply = outcome
    if status not in (200, other_status):
        return Err(StoreError(StoreFailure.UNAVAILABLE, f"status {status}"))
    try:
        return Ok((status, msgspec.convert(reply, cls)))
    except msgspec.ValidationError as error:
        detail = f"malformed reply: {error}"
        return Err(StoreError(StoreFailure.UNAVAILABLE, detail))
