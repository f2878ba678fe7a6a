"""The port to a key-value store with compare-and-swap, leases and watches."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from result import Result


class StoreFailure(Enum):
    """Why a call to the store failed.

    ``UNKNOWN`` is the only one after which the call may still take effect.

    .. versionadded:: 0.2
    """

    REJECTED = "rejected"
    UNKNOWN = "unknown"
    CONFLICT = "conflict"
    NO_LEASE = "no_lease"
    HISTORY_LOST = "history_lost"


@dataclass(frozen=True, slots=True)
class StoreError:
    """A failed call.

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

    :param revision: revision from which a watch misses nothing.
    :param age_ms: age of the entries when they were sent.
    """

    entries: tuple[Entry, ...]
    revision: int
    age_ms: int = 0


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes since a revision, in order.

    :param entries: written keys; a removed key has ``None`` as its value.
    :param revision: revision to continue from.
    :param age_ms: age of the view that the changes come from when they were sent.
    :param waited_ms: time for which a watch without changes waited at least; ``None``
        for the time that was asked for.
    """

    entries: tuple[tuple[str, Entry | None], ...]
    revision: int
    age_ms: int = 0
    waited_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Expectation:
    """Revision that a key must have; 0 for a key that must not exist."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class LeasedValue:
    """A value to write.

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
        """Return all entries under a prefix, up to date."""

    async def watch(
        self, prefix: str, revision: int, wait_ms: int
    ) -> Result[Changes, StoreError]:
        """Return the changes after ``revision``; wait for the first one."""

    async def commit(
        self,
        expectations: tuple[Expectation, ...],
        values: tuple[LeasedValue, ...],
        removed: tuple[str, ...] = (),
    ) -> Result[int, StoreError]:
        """Write all or nothing and return the new revision."""

    async def grant_lease(self, ttl_ms: int) -> Result[tuple[int, int], StoreError]:
        """Return a new lease and the time to live that applies."""

    async def keep_lease(self, lease: int) -> Result[int, StoreError]:
        """Renew a lease and return its time to live."""

    async def end_lease(self, lease: int) -> Result[None, StoreError]:
        """End a lease; its keys are removed."""
