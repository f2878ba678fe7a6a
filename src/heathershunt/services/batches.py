"""Group commit of claims: one compare-and-swap for many keys of a shard."""

import asyncio
import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

import logbook
from result import Err, Ok, Result

from heathershunt.clock import Clock, Millis
from heathershunt.logs import RepeatLimiter
from heathershunt.services.claims import (
    CLAIM_RETENTION_MS,
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
from heathershunt.store import StoredValue, StoreError, StoreFailure, SwapResult

log = logbook.Logger("heathershunt.services")

# Under load, claims queue up while their shard waits for its next write. A window would
# add its full length to every claim at low rates and save few writes.
BATCH_WINDOW_MS = 0
CLAIM_LIMIT_MS = 1_000
MIN_RETRY_DELAY_MS = 2
MAX_RETRY_DELAY_MS = 100
# After a failed store call, claims are refused without a store call for this long.
OUTAGE_PAUSE_MS = 200
MAX_BATCH = 512
# After a swap conflict, another VM is writing to the shard. For this long the shard is
# read before each swap, because the store accepts five times as many reads as writes.
CONTENDED_MS = 10_000
RETRYABLE = frozenset({StoreFailure.OUTCOME_UNKNOWN, StoreFailure.RATE_LIMITED})


class SwapStore(Protocol):
    """The store operations that claims need."""

    async def get(self, key: str) -> Result[StoredValue, StoreError]:
        """Return the value and revision of one key."""

    async def swap(
        self, key: str, value: bytes | None, expected: int, lease: str | None = None
    ) -> Result[SwapResult, StoreError]:
        """Write a value if the key's revision is still ``expected``."""


class ClaimFailure(Enum):
    """Why a key could not be claimed; the call was not dispatched."""

    STORE_UNAVAILABLE = "the store of idempotency keys is not available"
    TIMEOUT = "the store of idempotency keys did not settle the key in time"
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
    stored: StoredValue | None = None
    claims: dict[bytes, Claim] | None = None
    remembered: dict[bytes, Claim] = field(default_factory=dict)
    has_lost: bool = False
    needs_check: bool = False
    contended_until: Millis = Millis(0)
    worker: asyncio.Task | None = None

    def take(self, count: int) -> list[_Pending]:
        taken = self.queue[:count]
        del self.queue[:count]
        return taken


class ClaimBatcher:
    """Claims keys in the store, in batches for each shard.

    The value last read or written of a shard is cached, so that a claim without
    contention costs one write and no read. A swap at an outdated revision fails, so a
    stale cache costs a second write and never a wrong claim.

    :param window_ms: how long the first claim of a batch waits for others.
    :param limit_ms: longest wait for the store.
    :param shards: number of shards, the same on all VMs.
    :param max_claims: most claims that a shard holds.
    :param source: source of the random retry delays.

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
        self._shard_count = shards
        self._max_claims = max_claims
        self._pacer = pacer or WritePacer()
        self._random = source or random.Random()
        self._shards_by_number: dict[int, _Shard] = {}
        self._unavailable_until = Millis(0)
        self._lines = RepeatLimiter(clock)
        self.swaps = 0
        self.swap_conflicts = 0

    def share_writes(self, vms: int) -> None:
        """Limit this VM to its part of the store's writes.

        :param vms: number of live VMs; no more of them than shards write.
        """
        self._pacer.share(min(vms, self._shard_count))

    def shard_number(self, key: bytes) -> int:
        """Return the number of the shard that holds a key hash."""
        return shard_of(key, self._shard_count)

    def is_too_old(self, start: Millis) -> bool:
        """Return whether a claim begun at ``start`` is too old to be used.

        A claim is used for at most twice the longest wait for the store.
        """
        return self._clock.now() >= start + 2 * self.limit_ms

    async def claim(
        self, claim: Claim, deadline: Millis
    ) -> Result[Claim, ClaimFailure]:
        """Claim a key and return the claim that holds it, which may be another one.

        After an ``Err``, or if the caller stops waiting, the claim may still reach
        the store; it then names this incarnation and its nonce.
        """
        now = self._clock.now()
        if now < self._unavailable_until:
            return Err(ClaimFailure.STORE_UNAVAILABLE)
        give_up_at = Millis(min(deadline, now + self.limit_ms))
        settled = asyncio.get_running_loop().create_future()
        pending = _Pending(claim, give_up_at, settled)
        number = self.shard_number(claim.key)
        shard = self._shards_by_number.get(number)
        if shard is None:
            shard = _Shard(shard_key(number, self._shard_count))
            self._shards_by_number[number] = shard
        shard.queue.append(pending)
        if shard.worker is None:
            shard.worker = asyncio.create_task(self._run_worker(shard))
        try:
            async with asyncio.timeout(max(0, give_up_at - now) / 1000):
                result = await settled
        except TimeoutError:
            if give_up_at - now >= self.limit_ms:
                self._pause_claims()
            return Err(ClaimFailure.TIMEOUT)
        # If this process was paused for long, the claim may have expired in the store.
        if self.is_too_old(now):
            return Err(ClaimFailure.TIMEOUT)
        return result

    def on_store_restored(self) -> None:
        """Write the claims again that a restored store may lack."""
        for shard in self._shards_by_number.values():
            shard.stored = shard.claims = None
            shard.needs_check = bool(shard.remembered)
            if shard.needs_check and shard.worker is None:
                shard.worker = asyncio.create_task(self._run_worker(shard))

    async def _run_worker(self, shard: _Shard) -> None:
        try:
            while shard.queue or shard.needs_check:
                if shard.needs_check:
                    await self._check(shard)
                    continue
                await asyncio.sleep(self._window_ms / 1000)
                await self._commit(shard, shard.take(MAX_BATCH))
        finally:
            shard.worker = None
            for pending in shard.queue:
                pending.settle(Err(ClaimFailure.STORE_UNAVAILABLE))
            shard.queue.clear()

    async def _check(self, shard: _Shard) -> None:
        """Read a shard and write the claims that it lost; retry while it is away."""
        shard.needs_check = False
        shard.stored = None
        outcome = await self._swap_once(shard, [])
        if isinstance(outcome, Err) or shard.has_lost:
            shard.needs_check = True
            await asyncio.sleep(OUTAGE_PAUSE_MS / 1000)

    async def _commit(self, shard: _Shard, batch: list[_Pending]) -> None:
        """Settle every claim of a batch; swap again until all are settled."""
        delay = MIN_RETRY_DELAY_MS
        await self._pacer.take()
        batch += shard.take(MAX_BATCH - len(batch))
        if self._clock.now() < shard.contended_until:
            shard.stored = None
        while batch := [p for p in batch if p.is_open(self._clock.now())]:
            outcome = await self._swap_once(shard, batch)
            if isinstance(outcome, Err):
                for pending in batch:
                    pending.settle(outcome)
                return
            if all(pending.settled.done() for pending in batch):
                return
            await asyncio.sleep(delay * self._random.uniform(0.5, 1.0) / 1000)
            delay = min(2 * delay, MAX_RETRY_DELAY_MS)
            await self._pacer.take()
            batch += shard.take(MAX_BATCH - len(batch))

    async def _swap_once(
        self, shard: _Shard, batch: list[_Pending]
    ) -> Result[None, ClaimFailure]:
        """Try one swap; after ``Ok``, claims that are not settled need another try."""
        is_cached = shard.stored is not None
        if not is_cached:
            stored = await self._store.get(shard.key)
            if isinstance(stored, Err):
                return self._fail(stored.err_value)
            shard.stored, shard.claims = stored.ok_value, None
        try:
            claims = shard.claims or self._with_remembered(shard)
        except ValueError as error:
            if self._lines.take(shard.key):
                log.error("store key {} holds no valid claims: {}", shard.key, error)
            shard.stored = None
            return Err(ClaimFailure.STORE_UNAVAILABLE)
        wanted = [pending.claim for pending in batch]
        if is_cached and self._may_be_replaced(claims, wanted):
            shard.stored = None
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
        unsettled = [pending for pending in batch if not pending.settled.done()]
        if not unsettled and not shard.has_lost:
            return Ok(None)
        return await self._write(shard, merged, unsettled)

    def _with_remembered(self, shard: _Shard) -> dict[bytes, Claim]:
        """Return the claims of a value, and those that this VM has seen in the shard.

        A store that was restored from a copy lacks the last ones. Their calls have
        run, so they hold their keys as before and are written again.
        """
        stored = decode_shard(shard.stored.value)
        oldest = self._clock.wall() - CLAIM_RETENTION_MS
        lost = {
            key: claim
            for key, claim in shard.remembered.items()
            if key not in stored and claim.at_ms > oldest
        }
        shard.has_lost = bool(lost)
        if lost:
            log.warning("{} lost {} claims; writing them again", shard.key, len(lost))
        return lost | stored

    def _may_be_replaced(
        self, cached: Mapping[bytes, Claim], wanted: Sequence[Claim]
    ) -> bool:
        """Return whether the cache may hold a claim that the store no longer has.

        A VM whose clock is ahead removes old claims before they have expired by the
        clock of this VM.
        """
        limit = self._clock.wall() - DEDUPLICATION_WINDOW_MS
        return any(c.key in cached and cached[c.key].at_ms <= limit for c in wanted)

    async def _write(
        self, shard: _Shard, merged: dict[bytes, Claim], batch: list[_Pending]
    ) -> Result[None, ClaimFailure]:
        self.swaps += 1
        value, revision = encode_shard(merged), shard.stored.revision
        swapped = await self._store.swap(shard.key, value, revision)
        if isinstance(swapped, Err):
            # The write may have taken effect. The next round reads the shard back
            # and finds the nonces, or swaps again at the same revision, so that
            # only one of the two writes can succeed.
            shard.stored = None
            return self._fail(swapped.err_value)
        self._pacer.record_accepted()
        shard.stored, shard.claims = swapped.ok_value.current, merged
        if swapped.ok_value.done:
            shard.remembered, shard.has_lost = merged, False
        else:
            shard.claims = None
            self.swap_conflicts += 1
            shard.contended_until = Millis(self._clock.now() + CONTENDED_MS)
            return Ok(None)
        for pending in batch:
            pending.settle(Ok(merged[pending.claim.key]))
        return Ok(None)

    def _fail(self, error: StoreError) -> Result[None, ClaimFailure]:
        """Return ``Ok`` if the store operation may succeed when it is retried."""
        if error.kind is StoreFailure.RATE_LIMITED:
            self._pacer.record_refused()
        if error.kind in RETRYABLE:
            return Ok(None)
        log.warning(
            "claims were not written to the store: {}: {}",
            error.kind.value,
            error.detail,
        )
        self._pause_claims()
        return Err(ClaimFailure.STORE_UNAVAILABLE)

    def _pause_claims(self) -> None:
        self._unavailable_until = Millis(self._clock.now() + OUTAGE_PAUSE_MS)
