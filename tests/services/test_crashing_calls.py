"""Calls of plain services that crash each target that begins to run them."""

import asyncio
import json
import random
from dataclasses import replace

import pytest

from heathershunt.availability import AvailabilityTable, Notice
from heathershunt.bundle import Call, Service
from heathershunt.clock import Millis, SystemClock
from heathershunt.crashes import PartGuard
from heathershunt.http import (
    Address,
    AnswerError,
    CutCause,
    HttpClient,
    HttpServer,
    json_response,
)
from heathershunt.ratelimits import LimitGuard, TargetProcess
from heathershunt.services.dispatch import Dispatcher
from tests.services.doubles import service_call

HOST = "127.0.0.1"
IDEMPOTENT = Service("orders", (Call("POST", "/orders"),))
ONCE = Service("orders")
DEADLY = service_call(b"deadly")
SOUND = service_call(b"sound")
# Stated target: a call that has crashed three targets is known.
MAX_CRASHES = 3


class Target:
    """A process that ends, without an answer, when it begins to run a deadly call.

    :ivar resets: whether it closes the connection and goes on.
    :ivar is_mended: whether it runs such calls as any other.
    :ivar leaves: called with its address before it ends.
    """

    def __init__(self):
        self.has_ended = False
        self.resets = False
        self.is_mended = False
        self.leaves = lambda address: None
        self._http = HttpServer(self._handle, cancels_handlers=True)

    async def start(self):
        await self._http.start(HOST, 0)
        self.address = Address(HOST, self._http.port)
        return self

    async def _handle(self, request):
        if request.body != b"deadly" or self.is_mended:
            return json_response(200, {})
        if self.resets:
            raise AnswerError(CutCause.STREAM_FAILED, "the answer is lost")
        self.leaves(self.address)
        self.end()
        await asyncio.Event().wait()

    def end(self):
        self.has_ended = True
        self._http.close_now()


class Desk:
    """Targets of a service, and the dispatcher of a daemon that calls it."""

    def __init__(self, targets):
        self.targets = targets
        self.listed = [target.address for target in targets]
        self.client, self._clock = HttpClient(), SystemClock()
        self.guard = PartGuard(self._clock, lambda event: None, lambda: 1)
        self.availability = AvailabilityTable(
            self._clock, TargetProcess, print, random.Random(3)
        )
        self._dispatcher = Dispatcher(
            self.client,
            self._clock,
            lambda name: self.listed,
            LimitGuard(self._clock, "vm-1", list, TargetProcess, print),
            self.guard,
            self.availability,
            random.Random(3),
        )

    async def call(self, call, service=IDEMPOTENT):
        """Return the status and the verdict of a call, ``None`` after an answer."""
        deadline = Millis(self._clock.now() + 2000)
        outcome = await self._dispatcher.run(call, service, deadline)
        answer = json.loads(outcome.response.body)
        return outcome.response.status, answer.get("verdict")

    @property
    def crashes(self):
        return sum(target.has_ended for target in self.targets)


@pytest.fixture
async def desk():
    desk = Desk([await Target().start() for _ in range(10)])
    yield desk
    desk.client.close()
    for target in desk.targets:
        target.end()


# Guards against one call that, sent again and again, ends target after target.
async def test_call_that_may_be_repeated_stops_reaching_targets(desk):
    outcomes = [await desk.call(DEADLY) for _ in range(6)]
    assert desk.crashes <= MAX_CRASHES
    assert outcomes[-1] == (503, "not_run")


# Guards against a refusal that promises that a call has not run which ended a target.
async def test_call_that_may_run_once_is_refused_after_two_crashes(desk):
    outcomes = [await desk.call(DEADLY, ONCE) for _ in range(3)]
    assert outcomes == [(502, "may_have_run")] * 2 + [(503, "not_run")]
    assert desk.crashes == 2


# Guards against callers that pay for the deadly call of another one.
async def test_other_calls_are_served_beside_deadly_ones(desk):
    for _ in range(4):
        await desk.call(DEADLY)
        for call in (SOUND, replace(DEADLY, body=b"x"), service_call(b"y", "abbey")):
            assert (await desk.call(call))[0] == 200
    assert desk.crashes <= MAX_CRASHES


# Guards against calls that are refused as their answers were lost.
async def test_target_that_goes_on_is_no_evidence(desk):
    for target in desk.targets:
        target.resets = True
    for _ in range(4):
        assert (await desk.call(DEADLY, ONCE))[0] == 502
    assert not desk.guard.has_evidence


# Guards against calls that are refused as their targets were taken out on purpose.
async def test_target_that_was_leaving_is_no_evidence(desk):
    for _ in range(3):
        pending = asyncio.create_task(desk.call(DEADLY, ONCE))
        while not any(
            target.has_ended and target.address in desk.listed
            for target in desk.targets
        ):
            await asyncio.sleep(0)
        desk.listed = [
            target.address for target in desk.targets if not target.has_ended
        ]
        assert (await pending)[0] == 502
    assert not desk.guard.has_evidence


# Guards against the same where the targets said in their answers that they leave.
async def test_target_that_said_it_leaves_is_no_evidence(desk):
    for target in desk.targets:
        target.leaves = lambda address: desk.availability.record(
            TargetProcess(str(address)), Notice(is_leaving=True)
        )
    assert (await desk.call(DEADLY, ONCE))[0] == 502
    assert desk.crashes == 1
    assert not desk.guard.has_evidence


# Guards against a call that stays refused though it is sound now.
async def test_call_that_was_answered_is_cleared(desk):
    await desk.call(DEADLY, ONCE)
    assert desk.guard.has_evidence
    for target in desk.targets:
        target.is_mended = True
    assert (await desk.call(DEADLY, ONCE))[0] == 200
    assert not desk.guard.has_evidence
