"""Ends of engines that say nothing about the prompt of a draft."""

import asyncio
from types import SimpleNamespace

import pytest

from heathershunt.clock import SystemClock
from heathershunt.crashes import PartGuard
from heathershunt.drafts.crashes import DraftCrashes
from heathershunt.runners.prefixes import WORDS_PER_BLOCK

PROMPT = "a prompt that is long enough to have a part of its own " * 20


class EndedEngine:
    """Client of engines that have all ended."""

    async def has_ended(self, stage, incarnation):
        return True


@pytest.fixture
def guard():
    return PartGuard(SystemClock(), lambda event: None, lambda: 1)


async def fail(guard, is_leaving=False, prompt=PROMPT, runner="r1"):
    """Record an epoch that failed as its only runner ended; return the crashes."""
    state = SimpleNamespace(report=SimpleNamespace(incarnation=1))
    registry = SimpleNamespace(
        states_by_runner={runner: state},
        views_by_runner={runner: SimpleNamespace(leaving=is_leaving)},
    )
    crashes = draft_crashes(guard, prompt, registry)
    chain = SimpleNamespace(stages=[SimpleNamespace(runner=runner)])
    failure = SimpleNamespace(is_confirmed=True, suspects=frozenset({runner}))
    await crashes.on_failed_epoch(chain, failure, SystemClock().now())
    return crashes


def draft_crashes(guard, prompt, registry=None):
    request = SimpleNamespace(prompt=prompt, account="a", model="m")
    draft = SimpleNamespace(request=request, may_have_started=True)
    return DraftCrashes(draft, guard, EndedEngine(), registry, SystemClock())


# Guards against drafts that are refused as engines ended that were being released.
@pytest.mark.parametrize("is_leaving", [False, True])
async def test_engine_that_was_leaving_is_no_evidence(guard, is_leaving):
    await fail(guard, is_leaving)
    assert guard.has_evidence is not is_leaving


LONG = " ".join(f"shared{number}" for number in range(40 * WORDS_PER_BLOCK))


# Guards against prompts that end engine after engine, as no part of them is known:
# shorter than a block, deadly by the words after the last block, or by a block far
# behind those that others share.
@pytest.mark.parametrize(
    "prompt", ["poison", f"{LONG} poison", f"{LONG} {'poison ' * WORDS_PER_BLOCK}"]
)
async def test_prompt_is_blocked_whatever_its_length(guard, prompt):
    for runner in ("r1", "r2"):
        draft_crashes(guard, LONG).on_first_token()
        await fail(guard, prompt=prompt, runner=runner)
        await asyncio.sleep(0.005)
        draft_crashes(guard, LONG).on_first_token()
    assert draft_crashes(guard, prompt).refusal() is not None
    assert draft_crashes(guard, LONG).refusal() is None
