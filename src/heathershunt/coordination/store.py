"""Interface of a key-value store with compare-and-swap, leases and watches."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from result import Result


class StoreFailure(Enum):
    """Why a call to the store failed.

    Only after ``UNKNOWN`` may the call still take effect.

    .. versionadded:: 0.2
    """

    REJECTED = "rejected"
    UNKNOWN = "unknown"
    CONFLICT = "conflict"
    NO_LEASE = "no_lease"
    HISTORY_LOST = "history_lost"


@dataclass(frozen=True, slots=True)
class StoreError:
    """A failed call of the store.

    .. versionadded:: 0.2
    """

    failure: StoreFailure
    detail: str


@dataclass(frozen=True, slots=True)
class Entry:
    """One key with its value.

    :param revision: revision of the store at the last change of this key.
    """

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All entries under a prefix.

    :param revision: revision after which to watch so that no change is missed.
    :param age_ms: age of the entries in milliseconds when they were sent.
    """

    entries: tuple[Entry, ...]
    revision: int
    age_ms: int = 0


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes since a revision, in order.

    :param entries: changed keys with their entries; ``None`` for a removed key.
    :param revision: revision to continue from.
    :param age_ms: age in milliseconds, when they were sent, of the view that the
        changes come from.
    :param waited_ms: minimum time that a watch without changes waited, in milliseconds;
        ``None`` for the time that was requested.
    """

    entries: tuple[tuple[str, Entry | None], ...]
    revision: int
    age_ms: int = 0
    waited_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Expectation:
    """Revision that a key must have at a commit; 0 if the key must not exist."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class LeasedValue:
    """A key and value to write.

    :param lease: lease to bind the key to; 0 for none.
    """

    key: str
    value: bytes
    lease: int = 0


class Store(Protocol):
    """Calls of the store. Times are in milliseconds.

    .. versionadded:: 0.2
    """

    async def read_all(self, prefix: str) -> Result[Snapshot, StoreError]:
        """Return all entries under a prefix as of now."""

    async def watch(
        self, prefix: str, revision: int, wait_ms: int
    ) -> Result[Changes, StoreError]:
        """Return the changes after ``revision``; wait up to ``wait_ms`` for one."""

    async def commit(
        self,
        expectations: tuple[Expectation, ...],
        values: tuple[LeasedValue, ...],
        removed: tuple[str, ...] = (),
    ) -> Result[int, StoreError]:
        """Write atomically if all expectations hold; return the new revision."""

    async def grant_lease(self, ttl_ms: int) -> Result[tuple[int, int], StoreError]:
        """Return a new lease and the time to live that was granted."""

    async def renew_lease(self, lease: int) -> Result[int, StoreError]:
        """Renew a lease and return its time to live."""

    async def end_lease(self, lease: int) -> Result[None, StoreError]:
        """End a lease; the store removes its keys."""
