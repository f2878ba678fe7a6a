"""Which requests without a prompt are blocked, and how soon sound ones are cleared."""

import pytest

from heathershunt.clock import Millis
from heathershunt.crashes import (
    CrashEvidence,
    Evidence,
    PartJudge,
    PartKey,
    Proof,
    RunnerCrash,
    request_key,
)

DEADLY = request_key("GET", "/status/7", "a", b"")
SOUND = request_key("GET", "/status/8", "b", b"")


@pytest.fixture
def judge():
    return PartJudge()


def crash(judge, runner, at, *keys, took=50):
    """Add the end of a runner under some requests that were sent ``took`` before."""
    for account, key in keys:
        item = CrashEvidence(
            PartKey(account, key),
            RunnerCrash(runner, 1),
            Millis(at - took),
            Millis(at),
            Evidence.BEGUN,
        )
        judge.add(item, Millis(at))


def block(judge, account, key, at, draw=1.0, vm_count=4):
    return judge.block(account, [key], Millis(at), draw, vm_count)


def test_key_follows_from_the_request_and_its_caller_alone():
    key = request_key("POST", "/a?b", "x", b"body")
    assert key == request_key("POST", "/a?b", "x", b"body")
    others = (
        request_key("GET", "/a?b", "x", b"body"),
        request_key("POST", "/a?c", "x", b"body"),
        request_key("POST", "/a?b", "y", b"body"),
        request_key("POST", "/a?b", None, b"body"),
        request_key("POST", "/a?b", "x", b"body2"),
        request_key("POST", "/a", "?bx", b"body"),
    )
    assert key not in others
    assert len({*others}) == len(others)


# Guards against a request that comes at several VMs at once, again and again: the
# crashes of one wave do not follow each other.
@pytest.mark.parametrize("copies", [3, 4, 16])
def test_three_crashes_at_the_same_time_block_a_request(judge, copies):
    for number in range(copies):
        crash(judge, f"r{number}", 1000 + number, ("a", DEADLY))
    found = block(judge, "a", DEADLY, 1100)
    assert found is not None
    assert found.is_uncertain
    # Of a wave at all VMs hardly more than one is sent, which settles it.
    assert 0 < 390 * found.try_share(Millis(1100), 390) <= 0.5
    crash(judge, "next", 2000, ("a", DEADLY))
    assert not block(judge, "a", DEADLY, 2001).is_uncertain
    assert block(judge, "a", DEADLY, 2001, draw=0.0) is not None


# Guards against the refusal of a popular request after a rack of targets has failed.
def test_request_that_was_on_three_targets_of_a_rack_is_cleared_by_an_answer(judge):
    for number in range(3):
        crash(judge, f"r{number}", 1000 + number, ("b", SOUND))
    assert block(judge, "b", SOUND, 1100, draw=0.05) is None
    judge.add_proof(SOUND, Proof(Millis(1200)))
    assert block(judge, "b", SOUND, 1201) is None


# Guards against a rack that fails with two runs of a request on it.
def test_two_crashes_at_the_same_time_do_not_block_a_request(judge):
    crash(judge, "r1", 1000, ("b", SOUND))
    crash(judge, "r2", 1001, ("b", SOUND))
    assert block(judge, "b", SOUND, 1100) is None


# Guards against a sound request that stays refused, as it was twice on the target of
# another caller's deadly one.
def test_sound_request_beside_a_deadly_one_of_another_account_is_tried(judge):
    crash(judge, "r1", 1000, ("a", DEADLY), ("b", SOUND))
    crash(judge, "r2", 2000, ("a", DEADLY), ("b", SOUND))
    crash(judge, "r3", 3000, ("a", DEADLY))
    assert not block(judge, "a", DEADLY, 3001).is_uncertain
    found = block(judge, "b", SOUND, 3001)
    assert found.is_uncertain
    assert block(judge, "b", SOUND, 3001, draw=0.2) is None
    judge.add_proof(SOUND, Proof(Millis(3100)))
    assert block(judge, "b", SOUND, 3101) is None


# Guards against deadly requests of two callers that excuse each other.
def test_deadly_requests_that_crashed_the_same_targets_are_both_found(judge):
    other = request_key("GET", "/status/9", "b", b"")
    crash(judge, "r1", 1000, ("a", DEADLY), ("b", other))
    crash(judge, "r2", 2000, ("a", DEADLY), ("b", other))
    crash(judge, "r3", 3000, ("a", DEADLY))
    crash(judge, "r4", 4000, ("b", other))
    for account, key in (("a", DEADLY), ("b", other)):
        assert not block(judge, account, key, 4001).is_uncertain
