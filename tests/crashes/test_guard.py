"""On which parts of a prompt evidence is kept."""

import pytest

from heathershunt.crashes import Evidence, PartGuard, RequestKeys, RunnerCrash
from heathershunt.crashes.guard import MAX_KEYS_OF_REQUEST


@pytest.fixture
def guard(clock):
    return PartGuard(clock, lambda event: None, lambda: 1)


# Guards against prompts that end runner after runner, as the deadly part is far behind
# those that sound prompts have too.
def test_part_behind_many_sound_ones_is_blocked(guard, clock):
    shared = [f"shared-{number}" for number in range(MAX_KEYS_OF_REQUEST + 8)]
    for number in (1, 2):
        clock.advance(1000)
        guard.record_writing(shared)
        sent_at = clock.now()
        clock.advance(100)
        parts = (*shared, "deadly", f"own-{number}")
        keys = RequestKeys(f"request:{number}", parts)
        crash = RunnerCrash(f"runner-{number}", 1)
        guard.record_crash("a", keys, crash, sent_at, Evidence.BEGUN)
        clock.advance(1)
        guard.record_writing(shared)
    assert guard.is_blocked("deadly")
    assert not any(map(guard.is_blocked, shared))


# Guards against a request that ends runner after runner before a byte of its answer,
# as a run that was waiting counts against the parts that others share only.
def test_request_that_crashes_before_any_reply_is_blocked(guard, clock):
    keys = RequestKeys("request:deadly", ("shared", "session"))
    for number in range(3):
        sent_at = clock.now()
        clock.advance(100)
        crash = RunnerCrash(f"runner-{number}", 1)
        guard.record_crash("a", keys, crash, sent_at, Evidence.WAITING)
        guard.record_writing(("shared", "session"))
        clock.advance(1)
    assert guard.block("a", keys.all, draw=1.0) is not None
    sibling = RequestKeys("request:sound", ("shared", "session"))
    assert guard.block("a", sibling.all, draw=1.0) is None
