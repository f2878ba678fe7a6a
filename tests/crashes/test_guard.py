"""On which parts of a prompt evidence is kept."""

import pytest

from heathershunt.crashes import Evidence, PartGuard, RunnerCrash
from heathershunt.crashes.guard import MAX_PARTS_OF_PROMPT


@pytest.fixture
def guard(clock):
    return PartGuard(clock, lambda event: None, lambda: 1)


# Guards against prompts that end runner after runner, as the deadly part is far behind
# those that sound prompts have too.
def test_part_behind_many_sound_ones_is_blocked(guard, clock):
    shared = [f"shared-{number}" for number in range(MAX_PARTS_OF_PROMPT + 8)]
    for number in (1, 2):
        clock.advance(1000)
        guard.record_writing(shared)
        sent_at = clock.now()
        clock.advance(100)
        parts = [*shared, "deadly", f"own-{number}"]
        crash = RunnerCrash(f"runner-{number}", 1)
        guard.record_crash("a", parts, crash, sent_at, Evidence.BEGUN)
        clock.advance(1)
        guard.record_writing(shared)
    assert guard.is_blocked("deadly")
    assert not any(map(guard.is_blocked, shared))
