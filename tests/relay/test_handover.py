"""Race between a silent run and its successor."""

import asyncio

import pytest

from heathershunt.relay.handover import Produced, hand_over
from heathershunt.verdict import not_run

OLD = Produced([])
NEW = Produced(None)
REFUSAL = not_run(503, "No chain", "no capacity")
RETRY_MS = 10


async def after(delay_ms, outcome):
    await asyncio.sleep(delay_ms / 1000)
    return outcome


def produce_in_turn(*steps):
    """Return a function that starts successors, and the list of those started."""
    left, started = list(steps), []

    async def produce():
        step = left.pop(0) if len(left) > 1 else left[0]
        started.append(step)
        return await after(*step)

    return produce, started


async def test_silent_run_that_goes_on_first_answers():
    # Guards against an answer that waits for a slower successor.
    produce, _ = produce_in_turn((500, NEW))
    assert await hand_over(after(20, OLD), produce, RETRY_MS) == (OLD, True)


async def test_successor_that_delivers_first_answers():
    # Guards against a caller that waits for a silent run though another one delivers.
    produce, _ = produce_in_turn((20, NEW))
    assert await hand_over(after(500, OLD), produce, RETRY_MS) == (NEW, False)


async def test_silent_run_is_kept_while_successors_are_refused():
    # Guards against an answer that ends as no other run can be started.
    produce, started = produce_in_turn((0, REFUSAL))
    assert await hand_over(after(60, OLD), produce, RETRY_MS) == (OLD, True)
    assert len(started) > 1


async def test_refused_successor_is_tried_again():
    # Guards against a stream that stays with a dead runner once a first successor was
    # refused.
    produce, _ = produce_in_turn((0, REFUSAL), (0, NEW))
    assert await hand_over(after(500, OLD), produce, RETRY_MS) == (NEW, False)


async def test_refusal_is_the_answer_once_the_silent_run_has_failed():
    # Guards against a wait without an end where neither run can answer.
    produce, _ = produce_in_turn((0, REFUSAL))
    assert await hand_over(after(30, None), produce, RETRY_MS) == (REFUSAL, False)


async def test_both_runs_are_cancelled_with_the_caller():
    # Guards against runs that go on after their caller has left.
    ended = []

    async def wait(name):
        try:
            await asyncio.sleep(9)
        finally:
            ended.append(name)

    task = asyncio.create_task(hand_over(wait("old"), lambda: wait("new"), RETRY_MS))
    await asyncio.sleep(0.02)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    assert sorted(ended) == ["new", "old"]


async def test_successor_is_tried_at_once_when_the_silent_run_fails():
    # Guards against a caller that waits for the next try though nothing else is left.
    produce, _ = produce_in_turn((0, REFUSAL), (0, NEW))
    async with asyncio.timeout(1):
        assert await hand_over(after(30, None), produce, 5000) == (NEW, False)
