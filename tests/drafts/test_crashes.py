"""Ends of engines that say nothing about the prompt of a draft."""

from types import SimpleNamespace

import pytest

from heathershunt.clock import Millis, SystemClock
from heathershunt.crashes import PartGuard
from heathershunt.drafts.crashes import DraftCrashes

PROMPT = "a prompt that is long enough to have a part of its own " * 20


class EndedEngine:
    """Client of engines that have all ended."""

    async def has_ended(self, stage, incarnation):
        return True


@pytest.fixture
def guard():
    return PartGuard(SystemClock(), lambda event: None, lambda: 1)


async def fail(guard, is_leaving):
    """Record an epoch that failed as its only runner ended."""
    request = SimpleNamespace(prompt=PROMPT, account="a")
    draft = SimpleNamespace(request=request, may_have_started=True)
    state = SimpleNamespace(report=SimpleNamespace(incarnation=1))
    registry = SimpleNamespace(
        states_by_runner={"r1": state},
        views_by_runner={"r1": SimpleNamespace(leaving=is_leaving)},
    )
    crashes = DraftCrashes(draft, guard, EndedEngine(), registry, SystemClock())
    chain = SimpleNamespace(stages=[SimpleNamespace(runner="r1")])
    failure = SimpleNamespace(is_confirmed=True, suspects=frozenset({"r1"}))
    await crashes.on_failed_epoch(chain, failure, Millis(1))


# Guards against drafts that are refused as engines ended that were being released.
@pytest.mark.parametrize("is_leaving", [False, True])
async def test_engine_that_was_leaving_is_no_evidence(guard, is_leaving):
    await fail(guard, is_leaving)
    assert guard.has_evidence is not is_leaving
