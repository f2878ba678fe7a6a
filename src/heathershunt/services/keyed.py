"""Calls with an idempotency key: who may start them, and how repeats are answered."""

import asyncio
import secrets
from collections import OrderedDict
from collections.abc import Callable, Coroutine
from dataclasses import replace

from result import Err

from heathershunt.bundle import Service
from heathershunt.clock import Clock, Millis
from heathershunt.services.calls import (
    CallOutcome,
    Forwarder,
    ServiceCall,
    problem_outcome,
)
from heathershunt.services.claims import MAX_CALL_MS, Claim, key_hash
from heathershunt.services.dispatch import RETRY_AFTER_MS, Dispatcher
from heathershunt.services.home import ClaimRouter
from heathershunt.services.issuer import (
    IssuedKey,
    KeyIssuer,
    KeyState,
    parse_issued_key,
)
from heathershunt.services.table import (
    DEDUPLICATION_WINDOW_MS,
    BeginResult,
    Entry,
    KeyTable,
    TableKey,
)
from heathershunt.verdict import Progress

NONCE_BYTES = 8
MAX_UNUSED_CLAIMS = 10_000
# A run ends by itself at the deadline, with a more precise outcome than a timeout. A
# waiter therefore waits this much longer.
WAIT_GRACE_MS = 50
UNPROCESSABLE = 422
KEY_NOT_CLAIMED = "Key not claimed"

StartCall = Callable[[], Coroutine[None, None, CallOutcome]]


class KeyedCalls:
    """Runs each keyed call at most once.

    A claim in the store gives one incarnation of a VM the right to start a call; the
    table of that incarnation records whether the call was started. If this process
    wrote a claim, or may have written it, without starting the call, it stores the
    nonce, so that a repeat may still use the claim. For any other claim of this VM
    without an entry in the table, the call may have run.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        table: KeyTable,
        issuer: KeyIssuer,
        claims: ClaimRouter,
        clock: Clock,
        forwarder: Forwarder | None,
    ) -> None:
        self._dispatcher = dispatcher
        self._table = table
        self._issuer = issuer
        self.claims = claims
        self._clock = clock
        self.forwarder = forwarder
        self._unused_nonces: OrderedDict[bytes, None] = OrderedDict()
        self._tasks: set[asyncio.Task] = set()

    @property
    def running(self) -> int:
        """Return the keyed calls in flight, also those whose caller disconnected."""
        return len(self._tasks)

    async def answer(
        self,
        call: ServiceCall,
        service: Service,
        key: str,
        deadline: Millis,
        *,
        forwarded: bool = False,
    ) -> CallOutcome:
        """Return the outcome of the only run of ``key``.

        :param forwarded: another VM sent the call, so it is not forwarded again.
        """
        issued = parse_issued_key(key)
        if issued is not None:
            return await self._answer_issued(
                call, service, key, issued, deadline, forwarded
            )
        table_key = (call.account, key)

        def start() -> Coroutine[None, None, CallOutcome]:
            return self._claim_and_run(call, service, key, deadline, forwarded)

        return await self._start_or_join(table_key, call, deadline, deadline, start)

    async def join(self, call: ServiceCall, key: str) -> CallOutcome | None:
        """Return the outcome of the run of ``key`` on this VM; ``None`` without one.

        No run is started, so the service need not be known any more.
        """
        entry = self._table.find((call.account, key))
        if entry is None:
            return None
        if entry.request_hash != call.request_hash():
            return _conflict()
        return await self._wait(entry, Millis(self._clock.now() + MAX_CALL_MS))

    async def _answer_issued(
        self,
        call: ServiceCall,
        service: Service,
        key: str,
        issued: IssuedKey,
        deadline: Millis,
        forwarded: bool,
    ) -> CallOutcome:
        if not self._issuer.is_own(issued):
            same_vm = issued.vm == self._issuer.vm
            if forwarded or same_vm:
                return _owner_unreachable(issued.vm)
            return await self._forward(
                issued.vm, issued.incarnation, call, key, deadline
            )
        now = self._clock.now()
        state = self._issuer.check(issued, call.account, now)
        if state is KeyState.FORGED:
            detail = "the idempotency key was not issued to this account"
            return problem_outcome(
                Progress.NOT_SENT, UNPROCESSABLE, "Key refused", detail
            )
        table_key = (call.account, key)
        expiry = issued.issued_at + self._issuer.lifetime_ms
        # Entries are kept for the window after the key expires, so that a missing
        # entry proves within that time that the key was never used.
        keep_until = Millis(expiry + self._table.window_ms)
        if state is KeyState.EXPIRED and self._table.find(table_key) is None:
            return _expired(unused=now < keep_until)

        def start() -> Coroutine[None, None, CallOutcome]:
            return self._dispatcher.run(call, service, deadline)

        return await self._start_or_join(table_key, call, deadline, keep_until, start)

    async def _start_or_join(
        self,
        table_key: TableKey,
        call: ServiceCall,
        deadline: Millis,
        keep_until: Millis,
        start: StartCall,
    ) -> CallOutcome:
        begin, entry = self._table.begin(table_key, call.request_hash(), keep_until)
        if begin is BeginResult.FULL:
            detail = "too many idempotency keys are in use on this VM"
            return problem_outcome(
                Progress.NOT_SENT, 503, "Busy", detail, RETRY_AFTER_MS
            )
        if begin is BeginResult.CONFLICT:
            return _conflict()
        if begin is BeginResult.START:
            task = asyncio.create_task(self._run(table_key, start))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return await self._wait(entry, deadline)

    async def _run(self, table_key: TableKey, start: StartCall) -> None:
        detail = "the call was interrupted"
        outcome = problem_outcome(Progress.SENT, 502, "Service failed", detail)
        try:
            outcome = await start()
        finally:
            self._table.finish(table_key, outcome, self._clock.now())

    async def _wait(self, entry: Entry, deadline: Millis) -> CallOutcome:
        left = deadline + WAIT_GRACE_MS - self._clock.now()
        try:
            if entry.outcome is None:
                async with asyncio.timeout(max(0, left) / 1000):
                    await entry.done.wait()
        except TimeoutError:
            detail = "the call with this idempotency key still runs"
            return problem_outcome(
                Progress.SENT, 504, "Still running", detail, RETRY_AFTER_MS
            )
        return entry.outcome

    async def _claim_and_run(
        self,
        call: ServiceCall,
        service: Service,
        key: str,
        deadline: Millis,
        forwarded: bool,
    ) -> CallOutcome:
        nonce = secrets.token_bytes(NONCE_BYTES)
        claim = Claim(
            key_hash(call.account, key),
            call.request_hash(),
            self._issuer.vm,
            self._issuer.incarnation,
            nonce,
            self._clock.wall(),
        )
        claimed = await self.claims.claim(claim, deadline)
        if isinstance(claimed, Err):
            self._record_unused(nonce)
            # The verdict covers this request only. Without the store, this VM cannot
            # determine whether an earlier request with the same key ran at another VM.
            detail = f"{claimed.err_value.value}; repeat the call with the same key"
            return problem_outcome(
                Progress.NOT_SENT, 503, KEY_NOT_CLAIMED, detail, RETRY_AFTER_MS
            )
        holder = claimed.ok_value
        if holder.request != claim.request:
            return _conflict()
        own = (holder.vm, holder.incarnation) == (claim.vm, claim.incarnation)
        if not own and not forwarded and holder.vm != claim.vm:
            return await self._forward(
                holder.vm, holder.incarnation, call, key, deadline
            )
        if not own or (holder.nonce != nonce and not self._take_unused(holder)):
            return _owner_unreachable(holder.vm)
        outcome = await self._dispatcher.run(call, service, deadline)
        if outcome.progress is Progress.NOT_SENT:
            self._record_unused(holder.nonce)
        return outcome

    def _record_unused(self, nonce: bytes) -> None:
        self._unused_nonces[nonce] = None
        while len(self._unused_nonces) > MAX_UNUSED_CLAIMS:
            self._unused_nonces.popitem(last=False)

    def _take_unused(self, claim: Claim) -> bool:
        """Return whether a claim of this VM may still start its call.

        An old claim is not used: a VM whose clock is ahead may already have removed it
        from the store and claimed the key itself.
        """
        if claim.nonce not in self._unused_nonces:
            return False
        del self._unused_nonces[claim.nonce]
        return self._clock.wall() - claim.at_ms < DEDUPLICATION_WINDOW_MS

    async def _forward(
        self, vm: str, incarnation: int, call: ServiceCall, key: str, deadline: Millis
    ) -> CallOutcome:
        """Forward the call to the owner of its key.

        If the owner does not answer, the outcome says that an earlier call may have
        run.
        """
        if self.forwarder is None:
            return _owner_unreachable(vm)
        left = max(1, deadline - self._clock.now())
        outcome = await self.forwarder.call(vm, incarnation, call, key, left)
        if isinstance(outcome, Err):
            return _owner_unreachable(vm)
        return CallOutcome(outcome.ok_value, Progress.ANSWERED, is_kept=False)


def _owner_unreachable(vm: str) -> CallOutcome:
    detail = (
        f"the idempotency key belongs to {vm}, which does not answer for it; "
        "an earlier call with it may have run"
    )
    outcome = problem_outcome(Progress.SENT, 502, "Key owner gone", detail)
    return replace(outcome, is_kept=False)


def _conflict() -> CallOutcome:
    detail = "the idempotency key belongs to another request; this one was not started"
    return problem_outcome(Progress.NOT_SENT, UNPROCESSABLE, "Key used", detail)


def _expired(*, unused: bool) -> CallOutcome:
    if unused:
        detail = "the idempotency key has expired; no call was started with it"
        return problem_outcome(Progress.NOT_SENT, UNPROCESSABLE, "Key expired", detail)
    detail = "the idempotency key has expired; an earlier call with it may have run"
    return problem_outcome(Progress.SENT, UNPROCESSABLE, "Key expired", detail)
