"""Evidence on blocked parts in the store, where it outlives a restart of all VMs."""

import asyncio
import hashlib

import logbook
from result import Err

from heathershunt.coordination import LeasedValue, Store
from heathershunt.coordination.backoff import Backoff
from heathershunt.crashes.guard import PartGuard

CRASHES_PREFIX = "crashes/"
# The store removes an entry by itself after this time.
ENTRY_TTL_MS = 600_000
RETRY_MIN_MS = 200
RETRY_MAX_MS = 2000

log = logbook.Logger("heathershunt.crashes")


class EvidenceKeeper:
    """Writes the evidence on parts that are blocked, and removes it with the block.

    A VM that starts reads the entries with all others. A VM that can reach the store
    and no other VM learns of blocks through them.

    .. versionadded:: 0.6
    """

    def __init__(self, store: Store, guard: PartGuard) -> None:
        self._store = store
        self._guard = guard
        self._pending: set[str] = set()
        self._lease_by_part: dict[str, int] = {}
        self._written_by_part: dict[str, int] = {}
        self._wake = asyncio.Event()
        self._backoff = Backoff(RETRY_MIN_MS, RETRY_MAX_MS)
        guard.on_block = self._on_block
        guard.on_trust = self._on_trust

    def _on_block(self, part: str) -> None:
        known = self._guard.evidence_count(part)
        if known > self._written_by_part.get(part, 0):
            self._pending.add(part)
            self._wake.set()

    def _on_trust(self, part: str) -> None:
        if part in self._lease_by_part or part in self._pending:
            self._pending.add(part)
            self._wake.set()

    def on_store_restored(self) -> None:
        """Write the entries of this VM again, which a copy may not hold."""
        self._written_by_part.clear()
        self._pending.update(self._lease_by_part)
        self._wake.set()

    async def run(self) -> None:
        """Write and remove entries until cancelled; a failed call is repeated."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._pending:
                part = next(iter(self._pending))
                if await self._settle(part):
                    self._pending.discard(part)
                    self._backoff.reset()
                    continue
                await asyncio.sleep(self._backoff.next_ms() / 1000)

    async def _settle(self, part: str) -> bool:
        """Write or remove the entry of a part; return whether that is done."""
        if self._guard.is_blocked(part):
            return await self._write(part)
        return await self._remove(part)

    async def _write(self, part: str) -> bool:
        count = self._guard.evidence_count(part)
        # A new lease each time: the entry must outlast a block that was prolonged.
        granted = await self._store.grant_lease(ENTRY_TTL_MS)
        if isinstance(granted, Err):
            log.info("entry of crashes not written: {}", granted.err_value.detail)
            return False
        lease, _ = granted.ok_value
        value = LeasedValue(entry_key(part), self._guard.entry(part), lease)
        outcome = await self._store.commit((), (value,))
        if isinstance(outcome, Err):
            log.info("entry of crashes not written: {}", outcome.err_value.detail)
            return False
        self._lease_by_part[part] = lease
        self._written_by_part[part] = count
        return True

    async def _remove(self, part: str) -> bool:
        lease = self._lease_by_part.pop(part, None)
        self._written_by_part.pop(part, None)
        if lease is None:
            return True
        outcome = await self._store.end_lease(lease)
        if isinstance(outcome, Err):
            # The store removes the entry by itself later.
            log.info("entry of crashes not removed: {}", outcome.err_value.detail)
        return True


def entry_key(part: str) -> str:
    """Return the key of the store for a part, whatever its id consists of."""
    return CRASHES_PREFIX + hashlib.sha256(part.encode()).hexdigest()[:32]
