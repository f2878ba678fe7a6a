"""Test doubles: a store with faults, a recording dispatcher, and a VM of both."""

import asyncio
import random

from result import Err, Ok

from heathershunt.bundle import Service
from heathershunt.clock import Millis
from heathershunt.http import Response
from heathershunt.services import (
    CallOutcome,
    ClaimBatcher,
    ClaimRouter,
    KeyIssuer,
    KeyTable,
    ServiceCall,
)
from heathershunt.services.calls import problem_outcome
from heathershunt.services.keyed import KeyedCalls
from heathershunt.services.pacing import WritePacer
from heathershunt.store import StoredValue, StoreError, StoreFailure, SwapResult
from heathershunt.verdict import Progress

FAST = WritePacer(1e9)
SERVICE = Service("orders")
UNKNOWN_ERROR = Err(StoreError(StoreFailure.OUTCOME_UNKNOWN, "reply lost"))
UNAVAILABLE_ERROR = Err(StoreError(StoreFailure.UNAVAILABLE, "out"))


def service_call(body=b"die", account="parish"):
    return ServiceCall(account, "orders", "POST", "/orders", "/orders", {}, body)


class FaultyStore:
    """Store in memory; ``faults`` holds the fault of each of the next swaps.

    ``lost``: the swap is done, its reply is lost. ``dropped``: the swap is not done and
    has no reply. ``late``: the swap has no reply and is done after the next swap.
    ``out``: the store is unavailable. An empty text is no fault.
    """

    def __init__(self):
        self.stored_by_key = {}
        self.faults = []
        self.is_unavailable = False
        self.swaps = 0
        self._late = None

    async def get(self, key):
        return UNAVAILABLE_ERROR if self.is_unavailable else Ok(self._held(key))

    async def swap(self, key, value, expected, lease=None):
        self.swaps += 1
        await asyncio.sleep(0)
        fault = self.faults.pop(0) if self.faults else ""
        if self.is_unavailable or fault == "out":
            return UNAVAILABLE_ERROR
        late, self._late = self._late, None
        if fault == "late":
            self._late = (key, value, expected)
        outcome = None
        if fault in ("", "lost"):
            outcome = self._write(key, value, expected)
        if late:
            self._write(*late)
        return UNKNOWN_ERROR if fault else Ok(outcome)

    def _held(self, key):
        return self.stored_by_key.get(key, StoredValue(key, None, 0))

    def _write(self, key, value, expected):
        held = self._held(key)
        if held.revision != expected:
            return SwapResult(False, held)
        self.stored_by_key[key] = StoredValue(key, value, expected + 1)
        return SwapResult(True, self.stored_by_key[key])


class RecordingDispatcher:
    """Records runs; ``plan`` holds the progress of the next calls.

    While ``gate`` is set to an event, runs wait for it.
    """

    def __init__(self, runs):
        self.runs = runs
        self.plan = []
        self.gate = None

    async def run(self, call, service, deadline):
        if self.gate:
            await self.gate.wait()
        progress = self.plan.pop(0) if self.plan else Progress.ANSWERED
        if progress is not Progress.NOT_SENT:
            self.runs.append(call.body)
        if progress is Progress.ANSWERED:
            return CallOutcome(Response(200, {}, b"%d" % len(self.runs)), progress)
        return problem_outcome(progress, 502, "Service failed", "planned")


class Vm:
    """The keyed calls of one incarnation of a VM."""

    def __init__(self, name, clock, store=None, runs=None, incarnation=1, **limits):
        self.clock = clock
        self.store = store or FaultyStore()
        self.runs = [] if runs is None else runs
        self.dispatcher = RecordingDispatcher(self.runs)
        self.table = KeyTable(**limits)
        self.issuer = KeyIssuer(name, incarnation, clock, secret=name.encode())
        self.batcher = ClaimBatcher(
            self.store, clock, window_ms=0, pacer=FAST, source=random.Random(7)
        )
        claims = ClaimRouter(self.batcher, clock, name)
        self.keyed = KeyedCalls(
            self.dispatcher, self.table, self.issuer, claims, clock, None
        )

    async def call(self, key, body=b"die", account="parish", forwarded=False, ms=9000):
        deadline = Millis(self.clock.now() + ms)
        call = service_call(body, account)
        return await self.keyed.answer(
            call, SERVICE, key, deadline, forwarded=forwarded
        )


class DirectForwarder:
    """Passes calls and claims to VMs of this process; a missing VM is unreachable.

    The replies to the next ``lose_claims`` claims are lost after the home wrote them.
    """

    lose_claims = 0

    def __init__(self, vms_by_name):
        self.vms_by_name = vms_by_name

    async def call(self, vm, incarnation, call, key, timeout_ms):
        target = self.vms_by_name.get(vm)
        if target is None:
            return Err(Progress.NOT_SENT)
        outcome = await target.call(key, call.body, call.account, forwarded=True)
        return Ok(outcome.response)

    async def claim(self, vm, claim, timeout_ms):
        target = self.vms_by_name.get(vm)
        if target is None:
            return Err(Progress.NOT_SENT)
        deadline = Millis(target.clock.now() + timeout_ms)
        outcome = await target.keyed.claims.claim_here(claim, deadline)
        if self.lose_claims:
            self.lose_claims -= 1
            return Err(Progress.SENT)
        return outcome
