"""What one stream makes of blocked parts while it waits for its reply."""

import asyncio
from types import SimpleNamespace

import pytest

from heathershunt.clock import Millis, SystemClock
from heathershunt.crashes import (
    CrashEvidence,
    Evidence,
    PartGuard,
    PartJudge,
    PartKey,
    RunnerCrash,
)
from heathershunt.crashes.messages import CrashDigest
from heathershunt.relay.crashes import CrashWitness

WAIT_MS = 120


@pytest.fixture
def guard():
    return PartGuard(SystemClock(), lambda event: None, lambda: 1)


@pytest.fixture
def witness(guard):
    context = SimpleNamespace(clock=SystemClock(), guard=guard)
    request = SimpleNamespace(
        id="id",
        method="POST",
        target="/drafts/x",
        body=b"",
        prompt_parts=("shared", "own"),
    )
    return CrashWitness(context, SimpleNamespace(account="a", request=request))


def block(guard, part):
    judge = PartJudge()
    for number, at in enumerate((1000, 2000)):
        crash = RunnerCrash(f"r{number}", 1)
        key = PartKey("a", part)
        item = CrashEvidence(key, crash, Millis(at - 50), Millis(at), Evidence.BEGUN)
        judge.add(item, Millis(at))
    guard.merge(CrashDigest.from_judge(judge, Millis(2100)))


async def time_of_wait(witness):
    reply = asyncio.get_running_loop().create_future()
    started = asyncio.get_running_loop().time()
    assert not await witness.wait_for(reply, WAIT_MS)
    return 1000 * (asyncio.get_running_loop().time() - started)


# Guards against streams that all poll their runners when any part is blocked.
async def test_block_of_another_part_does_not_end_the_wait(guard, witness):
    waiting = asyncio.create_task(time_of_wait(witness))
    await asyncio.sleep(0.02)
    block(guard, "other")
    assert await waiting >= WAIT_MS - 5
    assert not witness.is_blocked()


async def test_block_of_an_own_part_ends_the_wait(guard, witness):
    waiting = asyncio.create_task(time_of_wait(witness))
    await asyncio.sleep(0.02)
    block(guard, "shared")
    assert await waiting < WAIT_MS - 5
    assert witness.is_blocked()
