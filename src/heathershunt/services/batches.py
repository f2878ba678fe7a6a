"""Group-committed claims: one compare-and-swap for many keys of a shard."""

import asyncio
import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

import logbook
from result import Err, Ok, Result

from heathershunt.clock import Clock, Millis
from heathershunt.services.claims import (
    CLAIM_SHARDS,
    MAX_CLAIMS_PER_SHARD,
    Claim,
    decode_shard,
    encode_shard,
    merge_claims,
    shard_key,
    shard_of,
)
from heathershunt.services.pacing import WritePacer
from heathershunt.services.table import DEDUPLICATION_WINDOW_MS
from heathershunt.store import Stored, StoreError, StoreFailure, Swapped

log = logbook.Logger("heathershunt.services")

# Under load, claims gather while a shard waits for its turn to write; a window would
# add its whole length to every claim at low rates and save few writes.
BATCH_WINDOW_MS = 0
CLAIM_LIMIT_MS = 1_000
RETRY_FLOOR_MS = 2
RETRY_CEILING_MS = 100
# After a failed store call, claims are refused without a call for this long.
OUTAGE_PAUSE_MS = 200
MAX_BATCH = 512
# Another VM writes to a shard that lost a swap; for this long it is read before each
# swap, because the store takes five times as many reads as writes.
SHARED_MS = 10_000
TRY_AGAIN = frozenset({StoreFailure.OUTCOME_UNKNOWN, StoreFailure.RATE_LIMITED})


class SwapStore(Protocol):
    """The two store calls that claims need."""

    async def get(self, key: str) -> Result[Stored, StoreError]:
        """Read one key."""

    async def swap(
        self, key: str, value: bytes | None, expected: int, lease: str | None = None
    ) -> Result[Swapped, StoreError]:
        """Write a value if the revision is still ``expected``."""


class ClaimFailure(Enum):
    """Why a key could not be claimed; the call was not dispatched."""

    STORE_OUT = "the store of idempotency keys is not available"
    TOO_SLOW = "the store of idempotency keys did not settle the key in time"
    FULL = "too many idempotency keys are in use"


@dataclass
class _Pending:
    claim: Claim
    give_up_at: Millis
    settled: asyncio.Future

    def is_open(self, now: Millis) -> bool:
        return not self.settled.done() and now < self.give_up_at

    def settle(self, result: Result[Claim, ClaimFailure]) -> None:
        if not self.settled.done():
            self.settled.set_result(result)


@dataclass
class _Shard:
    key: str
    queue: list[_Pending] = field(default_factory=list)
    held: Stored | None = None
    claims: dict[bytes, Claim] | None = None
    shared_until: Millis = Millis(0)
    worker: asyncio.Task | None = None

    def take(self, count: int) -> list[_Pending]:
        taken = self.queue[:count]
        del self.queue[:count]
        return taken


class ClaimBatcher:
    """Claims keys in the store, in batches for each shard.

    The value last seen of a shard is kept, so that an undisturbed claim costs one
    write and no read. A swap at an outdated revision fails, so a stale copy costs a
    second write and never a wrong claim.

    :param window_ms: how long the first claim of a batch waits for others.
    :param limit_ms: longest wait for the store.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        store: SwapStore,
        clock: Clock,
        *,
        window_ms: int = BATCH_WINDOW_MS,
        limit_ms: int = CLAIM_LIMIT_MS,
        shards: int = CLAIM_SHARDS,
        pacer: WritePacer | None = None,
        max_claims: int = MAX_CLAIMS_PER_SHARD,
        source: random.Random | None = None,
    ) -> None:
        self._store = store
        self._clock = clock
        self._window_ms = window_ms
        self.limit_ms = limit_ms
        self._count = shards
        self._max_claims = max_claims
        self._pacer = pacer or WritePacer()
        self._random = source or random.Random()
        self._shards_by_number: dict[int, _Shard] = {}
        self._out_until = Millis(0)
        self.swaps = 0
        self.lost_swaps = 0

    def share_writes(self, vms: int) -> None:
        """Take one part of the store's writes; no more VMs than shards write."""
        self._pacer.share(min(vms, self._count))

    def shard_number(self, key: bytes) -> int:
        """Return the number of the shard that holds a key hash."""
        return shard_of(key, self._count)

    def is_late(self, start: Millis) -> bool:
        """Return whether a claim begun at ``start`` is too old to be used."""
        return self._clock.now() >= start + 2 * self.limit_ms

    async def claim(
        self, claim: Claim, deadline: Millis
    ) -> Result[Claim, ClaimFailure]:
        """Claim a key; return the claim that holds it, own or not.

        After an ``Err``, or if the caller stops waiting, the claim may still reach
        the store; it then names this incarnation and its nonce.
        """
        now = self._clock.now()
        if now < self._out_until:
            return Err(ClaimFailure.STORE_OUT)
        give_up_at = Millis(min(deadline, now + self.limit_ms))
        settled = asyncio.get_running_loop().create_future()
        pending = _Pending(claim, give_up_at, settled)
        number = self.shard_number(claim.key)
        shard = self._shards_by_number.get(number)
        if shard is None:
            shard = _Shard(shard_key(number, self._count))
            self._shards_by_number[number] = shard
        shard.queue.append(pending)
        if shard.worker is None:
            shard.worker = asyncio.create_task(self._work(shard))
        try:
            async with asyncio.timeout(max(0, give_up_at - now) / 1000):
                result = await settled
        except TimeoutError:
            if give_up_at - now >= self.limit_ms:
                self._pause()
            return Err(ClaimFailure.TOO_SLOW)
        # After a long pause of this process the claim may have left the store.
        if self.is_late(now):
            return Err(ClaimFailure.TOO_SLOW)
        return result

    async def _work(self, shard: _Shard) -> None:
        try:
            while shard.queue:
                await asyncio.sleep(self._window_ms / 1000)
                await self._commit(shard, shard.take(MAX_BATCH))
        finally:
            shard.worker = None
            for pending in shard.queue:
                pending.settle(Err(ClaimFailure.STORE_OUT))
            shard.queue.clear()

    async def _commit(self, shard: _Shard, batch: list[_Pending]) -> None:
        """Settle every claim of a batch, with as many swaps as it takes."""
        delay = RETRY_FLOOR_MS
        await self._pacer.take()
        batch += shard.take(MAX_BATCH - len(batch))
        if self._clock.now() < shard.shared_until:
            shard.held = None
        while batch := [p for p in batch if p.is_open(self._clock.now())]:
            step = await self._swap_once(shard, batch)
            if isinstance(step, Err):
                for pending in batch:
                    pending.settle(step)
                return
            if all(pending.settled.done() for pending in batch):
                return
            await asyncio.sleep(delay * self._random.uniform(0.5, 1.0) / 1000)
            delay = min(2 * delay, RETRY_CEILING_MS)
            await self._pacer.take()
            batch += shard.take(MAX_BATCH - len(batch))

    async def _swap_once(
        self, shard: _Shard, batch: list[_Pending]
    ) -> Result[None, ClaimFailure]:
        """Try one swap; ``Ok`` leaves unsettled what has to be tried again."""
        is_copy = shard.held is not None
        if not is_copy:
            held = await self._store.get(shard.key)
            if isinstance(held, Err):
                return self._fail(held.err_value)
            shard.held, shard.claims = held.ok_value, None
        try:
            claims = shard.claims or decode_shard(shard.held.value)
        except ValueError as error:
            log.error("{}: {}", shard.key, error)
            shard.held = None
            return Err(ClaimFailure.STORE_OUT)
        wanted = [pending.claim for pending in batch]
        if is_copy and self._may_be_replaced(claims, wanted):
            shard.held = None
            return Ok(None)
        merged, refused = merge_claims(
            claims, wanted, self._clock.wall(), self._max_claims
        )
        for pending in batch:
            key, nonce = pending.claim.key, pending.claim.nonce
            if nonce in refused:
                pending.settle(Err(ClaimFailure.FULL))
            elif key in claims and merged.get(key) is claims[key]:
                pending.settle(Ok(claims[key]))
        open_now = [pending for pending in batch if not pending.settled.done()]
        if not open_now:
            return Ok(None)
        return await self._write(shard, merged, open_now)

    def _may_be_replaced(
        self, held: Mapping[bytes, Claim], wanted: Sequence[Claim]
    ) -> bool:
        """Return whether a copy may show a claim that is no longer in the store.

        A VM whose clock is ahead removes old claims before this VM takes them as
        past their time.
        """
        limit = self._clock.wall() - DEDUPLICATION_WINDOW_MS
        return any(c.key in held and held[c.key].at_ms <= limit for c in wanted)

    async def _write(
        self, shard: _Shard, merged: dict[bytes, Claim], batch: list[_Pending]
    ) -> Result[None, ClaimFailure]:
        self.swaps += 1
        value, revision = encode_shard(merged), shard.held.revision
        swapped = await self._store.swap(shard.key, value, revision)
        if isinstance(swapped, Err):
            # The write may have taken effect: the next round reads the shard back
            # and finds the nonces, or swaps again at the same revision, so that
            # only one of the two writes can succeed.
            shard.held = None
            return self._fail(swapped.err_value)
        self._pacer.accepted()
        shard.held, shard.claims = swapped.ok_value.current, merged
        if not swapped.ok_value.done:
            shard.claims = None
            self.lost_swaps += 1
            shard.shared_until = Millis(self._clock.now() + SHARED_MS)
            return Ok(None)
        for pending in batch:
            pending.settle(Ok(merged[pending.claim.key]))
        return Ok(None)

    def _fail(self, error: StoreError) -> Result[None, ClaimFailure]:
        """Return ``Ok`` if the store may answer when asked again."""
        if error.kind is StoreFailure.RATE_LIMITED:
            self._pacer.refused()
        if error.kind in TRY_AGAIN:
            return Ok(None)
        log.warning("claims not written: {}: {}", error.kind.value, error.detail)
        self._pause()
        return Err(ClaimFailure.STORE_OUT)

    def _pause(self) -> None:
        self._out_until = Millis(self._clock.now() + OUTAGE_PAUSE_MS)
