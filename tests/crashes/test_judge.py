"""Which parts of prompts are blocked, for whom and for how long."""

import itertools

import pytest

from heathershunt.clock import Millis
from heathershunt.crashes import (
    CrashEvidence,
    Evidence,
    JudgeConfig,
    PartJudge,
    PartKey,
    Proof,
    RunnerCrash,
)

CONFIG = JudgeConfig()
runners = itertools.count(1)


@pytest.fixture
def judge():
    return PartJudge()


def crash(judge, at, parts, account="a", took=100, evidence=Evidence.BEGUN, wrote_ms=0):
    """Add a crash at a time, under a run that was sent ``took`` before it."""
    runner = RunnerCrash(f"runner-{next(runners)}", 1)
    for part in parts:
        key = PartKey(account, part)
        item = CrashEvidence(
            key, runner, Millis(at - took), Millis(at), evidence, wrote_ms
        )
        judge.add(item, Millis(at))


def is_blocked(judge, parts, at, account="a", **options):
    return judge.block(account, parts, Millis(at), **options) is not None


def test_second_crash_blocks_the_part(judge):
    crash(judge, 1000, ["deadly"])
    assert not is_blocked(judge, ["deadly", "own"], 1001)
    crash(judge, 2000, ["deadly"])
    assert is_blocked(judge, ["deadly", "own"], 2001)
    assert not is_blocked(judge, ["other", "own"], 2001)


# Guards against false blame when runners of a rack end together.
def test_runners_that_end_together_count_once(judge):
    for at in (1000, 1001, 1040, 1090):
        crash(judge, at, ["popular"])
    assert not is_blocked(judge, ["popular"], 1100)


def test_part_that_runs_write_on_is_cleared(judge):
    crash(judge, 1000, ["shared", "deadly"])
    judge.add_proof("shared", Proof(Millis(1500)))
    crash(judge, 2000, ["shared", "deadly"])
    assert is_blocked(judge, ["deadly"], 2001)
    assert not is_blocked(judge, ["shared", "own"], 2001)


def test_part_that_was_sound_before_needs_one_crash_more(judge):
    judge.add_proof("shared", Proof(Millis(500)))
    crash(judge, 1000, ["shared"])
    crash(judge, 2000, ["shared"])
    assert not is_blocked(judge, ["shared"], 2001)
    crash(judge, 3000, ["shared"])
    assert is_blocked(judge, ["shared"], 3001)


# Guards against one account that gets the parts of another one blocked.
def test_crashes_of_one_account_block_no_other_one(judge):
    for at in range(1000, 9000, 1000):
        crash(judge, at, ["stolen"], account="hostile")
    assert is_blocked(judge, ["stolen"], 9000, account="hostile")
    assert not is_blocked(judge, ["stolen"], 9000, account="owner")


# Guards against one account that prolongs the block of another one.
def test_later_crashes_of_another_account_do_not_prolong_a_block(judge):
    for at in (1000, 2000):
        crash(judge, at, ["part"], account="owner")
    until = judge.block("owner", ["part"], Millis(2001)).until
    crash(judge, 30_000, ["part"], account="hostile")
    assert judge.block("owner", ["part"], Millis(30_001)).until == until


def test_crashes_of_two_accounts_block_the_part_for_all(judge):
    crash(judge, 1000, ["deadly"], account="a")
    crash(judge, 2000, ["deadly"], account="b")
    assert not is_blocked(judge, ["deadly"], 2001, account="c")
    crash(judge, 3000, ["deadly"], account="a")
    assert is_blocked(judge, ["deadly"], 3001, account="c")


def test_runs_that_waited_weigh_half(judge):
    for at in (1000, 2000, 3000):
        crash(judge, at, ["part"], evidence=Evidence.WAITING)
    assert not is_blocked(judge, ["part"], 3001)
    crash(judge, 4000, ["part"], evidence=Evidence.WAITING)
    assert is_blocked(judge, ["part"], 4001)


def test_request_without_the_part_that_explains_the_crashes_is_tried(judge):
    for at in (1000, 2000):
        crash(judge, at, ["shared", "deadly"])
    assert is_blocked(judge, ["shared", "own"], 2001, draw=0.5, vm_count=4)
    assert not is_blocked(judge, ["shared", "own"], 2001, draw=0.2, vm_count=4)
    assert not is_blocked(judge, ["shared", "own"], 2001, draw=0.09, vm_count=390)
    assert is_blocked(judge, ["shared", "deadly", "own"], 2001, draw=0.0)
    crash(judge, 3000, ["shared"])
    assert is_blocked(judge, ["shared", "own"], 3001, draw=0.0)


# Guards against a new series of crashes each time a block ends.
def test_few_requests_are_tried_after_a_block_and_one_crash_prolongs_it(judge):
    for at in (1000, 2000):
        crash(judge, at, ["deadly"])
    over = 2000 + CONFIG.block_ms
    assert is_blocked(judge, ["deadly"], over - 1, draw=0.0, vm_count=4)
    assert is_blocked(judge, ["deadly"], over, draw=0.3, vm_count=4)
    assert not is_blocked(judge, ["deadly"], over, draw=0.2, vm_count=4)
    crash(judge, over + 100, ["deadly"])
    again = over + 100 + 2 * CONFIG.block_ms
    assert is_blocked(judge, ["deadly"], again - 1, draw=0.0, vm_count=4)
    assert not is_blocked(judge, ["deadly"], again, draw=0.2, vm_count=4)


def test_tried_request_that_writes_ends_the_block(judge):
    for at in (1000, 2000):
        crash(judge, at, ["part"])
    assert judge.add_proof("part", Proof(Millis(70_000)))
    assert not is_blocked(judge, ["part"], 70_001)


def test_duration_is_bounded_and_all_is_forgotten_in_the_end(judge):
    for at in range(1000, 20_000, 1000):
        crash(judge, at, ["deadly"])
    block = judge.block("a", ["deadly"], Millis(20_000))
    assert block.until == 19_000 + CONFIG.max_block_ms
    judge.expire(Millis(19_000 + CONFIG.memory_ms + 1))
    assert not is_blocked(judge, ["deadly"], 19_000 + CONFIG.memory_ms + 1)
    assert not judge.keys()


def test_order_in_which_evidence_arrives_does_not_matter():
    items = []
    for number, at in enumerate((1000, 1050, 2000, 3000)):
        runner = RunnerCrash(f"r{number}", 1)
        key = PartKey("a", "deadly")
        item = CrashEvidence(key, runner, Millis(at - 100), Millis(at), Evidence.BEGUN)
        items.append(item)
    blocks = set()
    for order in itertools.permutations(items):
        judge = PartJudge()
        for item in (*order, order[0]):
            judge.add(item, Millis(3000))
        blocks.add(judge.block("a", ["deadly"], Millis(3001)))
    assert len(blocks) == 1
    assert blocks.pop().crashes == 3.0


def test_late_evidence_from_before_a_success_changes_nothing(judge):
    judge.add_proof("shared", Proof(Millis(2000)))
    crash(judge, 1000, ["shared"])
    crash(judge, 1900, ["shared"])
    assert not judge.keys()
    assert judge.proofs(10) == [("shared", Proof(Millis(2000)))]


def test_memory_is_bounded_and_keeps_what_is_blocked():
    judge = PartJudge(JudgeConfig(max_parts=20, max_sound_parts=30))
    for at in (1000, 2000):
        crash(judge, at, ["deadly"])
    for number in range(500):
        crash(judge, 3000 + number, [f"part-{number}"])
        judge.add_proof(f"sound-{number}", Proof(Millis(3000 + number)))
    assert len({key.part for key in judge.keys()}) == 20
    assert is_blocked(judge, ["deadly"], 4000)
    for at in range(5000, 60_000, 1000):
        crash(judge, at, ["deadly"])
    assert len(judge.evidence_on("deadly")) == 16
    assert len(judge.evidence(limit=7)) == 7


# Guards against memory that grows with the messages of others on parts that turned out
# to be sound.
def test_suspected_parts_are_bounded_if_all_are_sound(judge):
    parts = [f"part-{number}" for number in range(CONFIG.max_parts + 100)]
    for part in parts:
        judge.add_proof(part, Proof(Millis(2000)))
        crash(judge, 1000, [part])
    assert len(judge.proofs(limit=len(parts))) <= CONFIG.max_parts


# Guards against a part that stays blocked though runs write on it, as parts that were
# suspected later have pushed it out of the list of those that a run may clear.
def test_blocked_part_stays_suspected_beside_many_others(judge):
    for at in (1000, 2000):
        crash(judge, at, ["popular"])
    for number in range(CONFIG.max_parts + 100):
        crash(judge, 3000 + number, [f"part-{number}"])
    assert is_blocked(judge, ["popular"], 4000)
    assert judge.is_suspected("popular")


def crash_while_writing(judge, at, parts, wrote_ms):
    took = wrote_ms + 100
    crash(judge, at, parts, took=took, evidence=Evidence.WRITING, wrote_ms=wrote_ms)


# Guards against a part that crashes runners after the first event and is never blocked,
# as each first event clears it.
@pytest.mark.parametrize("wrote_ms", [0, 20, 1000, 1900])
def test_part_that_crashes_runners_after_an_event_is_blocked(judge, wrote_ms):
    for at in (10_000, 20_000, 30_000):
        judge.add_proof("deadly", Proof(Millis(at - wrote_ms)))
        judge.add_proof("shared", Proof(Millis(at - wrote_ms)))
        crash_while_writing(judge, at, ["shared", "deadly"], wrote_ms)
        judge.add_proof("shared", Proof(Millis(at + 10), lasted_ms=2500))
    assert is_blocked(judge, ["deadly", "own"], 30_001)
    assert not is_blocked(judge, ["shared", "own"], 30_001)


# Guards against the same where short answers on the part are whole.
def test_run_that_wrote_for_less_long_clears_nothing(judge):
    for at in (10_000, 20_000, 30_000):
        crash_while_writing(judge, at, ["deadly"], wrote_ms=1000)
        judge.add_proof("deadly", Proof(Millis(at + 10), lasted_ms=1000))
    assert is_blocked(judge, ["deadly"], 30_001)
    judge.add_proof("deadly", Proof(Millis(40_000), lasted_ms=1200))
    assert not is_blocked(judge, ["deadly"], 41_201)


# Guards against a popular part that stays blocked beside the deadly one, as all sound
# answers are shorter than what the deadly ones wrote.
def test_short_whole_answers_free_a_part_whose_crashes_are_explained(judge):
    for at in (10_000, 20_000, 30_000):
        crash_while_writing(judge, at, ["shared", "deadly"], wrote_ms=1000)
        if at < 30_000:
            judge.add_proof("shared", Proof(Millis(at + 10), lasted_ms=300))
    assert is_blocked(judge, ["shared", "own"], 30_001)
    judge.add_proof("shared", Proof(Millis(30_010), lasted_ms=300))
    assert not is_blocked(judge, ["shared", "own"], 30_311)
    assert is_blocked(judge, ["shared", "deadly"], 30_311)


# Guards against a part that is cleared by runs that began before it was deadly.
def test_run_that_began_before_the_crashes_clears_nothing(judge):
    for number in range(4):
        crash_while_writing(judge, 10_000 + 1000 * number, ["deadly"], wrote_ms=20)
        judge.add_proof("deadly", Proof(Millis(9999), lasted_ms=1000 * number + 500))
    assert is_blocked(judge, ["deadly"], 13_001)


# Guards against popular parts that are blocked as runners end one after the other.
def test_part_that_was_outlasted_once_needs_four_crashes_while_writing(judge):
    judge.add_proof("shared", Proof(Millis(1000), lasted_ms=2500))
    for number in range(3):
        crash_while_writing(judge, 10_000 + 2000 * number, ["shared"], wrote_ms=900)
    assert not is_blocked(judge, ["shared"], 14_001)
    crash_while_writing(judge, 16_000, ["shared"], wrote_ms=900)
    assert is_blocked(judge, ["shared"], 16_001)


def test_order_of_proofs_and_evidence_does_not_matter():
    proofs = [Proof(Millis(5000), 300), Proof(Millis(2500), 2500), Proof(Millis(4000))]
    items = [
        CrashEvidence(
            PartKey("a", "part"),
            RunnerCrash(f"r{at}", 1),
            Millis(at - wrote_ms - 100),
            Millis(at),
            Evidence.WRITING,
            wrote_ms,
        )
        for at, wrote_ms in ((2000, 1000), (4500, 100), (3000, 1000), (6000, 100))
    ]
    left = set()
    for order in itertools.permutations([*proofs, *items]):
        judge = PartJudge()
        for item in order:
            if isinstance(item, Proof):
                judge.add_proof("part", item)
            else:
                judge.add(item, Millis(6000))
        left.add(frozenset(item.crash.runner for item in judge.evidence_on("part")))
    assert left == {frozenset({"r3000", "r6000"})}


# Guards against popular parts that are blocked too soon, as the proof of a long run is
# forgotten among those of the many later ones that have just begun.
def test_longest_proof_is_kept_beside_later_ones(judge):
    judge.add_proof("shared", Proof(Millis(1000), lasted_ms=2500))
    for number in range(20):
        proof = Proof(Millis(2000 + number), lasted_ms=1000 - number)
        judge.add_proof("shared", proof)
    for number in range(3):
        crash_while_writing(judge, 10_000 + 3000 * number, ["shared"], wrote_ms=1500)
    assert not is_blocked(judge, ["shared"], 16_001)
