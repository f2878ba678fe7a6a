"""Drafts whose admission or execution raises an error."""

import asyncio

import pytest
from result import Ok

from heathershunt.bundle import ClientAccount
from heathershunt.clock import ManualClock, Millis
from heathershunt.drafts import DraftHandler, DraftTable
from heathershunt.drafts.draft import DraftRequest
from heathershunt.verdict import Verdict

ACCOUNT = ClientAccount("parish", ())
REQUEST = DraftRequest("parish", "m", "v1", "", 12, "p", 2, 0, 1, Millis(9000))


class Recorder:
    """Stands for gate, executor and observer; raises in the step named ``failing``."""

    def __init__(self, failing):
        self.failing = failing
        self.admitted_tickets = 0

    def _enter(self, step):
        if step == self.failing:
            raise KeyError(step)

    async def admit(self, ticket, model, account):
        self._enter("admit")
        self.admitted_tickets += 1
        return Ok(ticket)

    def release(self, ticket, model, *, is_complete):
        self.admitted_tickets -= 1

    def admitted(self, draft, now):
        self._enter("admitted")

    async def run(self, draft):
        self._enter("run")
        draft.may_have_started = True
        self._enter("started")


# Guards against callers that wait for ever, and against places that stay taken, after
# an error in the admission or execution of a draft.
@pytest.mark.parametrize(
    ("failing", "verdict"),
    [
        ("admit", Verdict.NOT_RUN),
        ("admitted", Verdict.NOT_RUN),
        ("run", Verdict.NOT_RUN),
        ("started", Verdict.MAY_HAVE_RUN),
    ],
)
async def test_draft_ends_with_a_true_refusal_after_an_error(failing, verdict):
    recorder, clock = Recorder(failing), ManualClock()
    table = DraftTable("vm1", 1, clock, 60_000)
    handler = DraftHandler(table, recorder, recorder, clock, recorder)
    draft = handler.start(REQUEST, ACCOUNT)
    async with asyncio.timeout(1):
        await draft.ended.wait()
    assert (draft.refusal.status, draft.refusal.verdict) == (500, verdict)
    await asyncio.sleep(0)
    assert recorder.admitted_tickets == 0
