import pytest

from heathershunt.discovery import Target
from heathershunt.http import Address
from heathershunt.logs.events import TargetEjected, TargetReadmitted
from heathershunt.pipelines import PeerNotes, RunnerNote
from heathershunt.relay import SuspectList
from heathershunt.relay.suspects import BASE_MS, MOST_MS, TIMEOUTS_IN_A_ROW


@pytest.fixture
def emitted():
    return []


@pytest.fixture
def suspects(clock, emitted):
    return SuspectList(clock, emitted.append)


def target(born=1):
    return Target("t1", "s", Address("10.0.0.1", 80), "a", 4, born)


def test_time_doubles_with_each_failure_up_to_a_bound(suspects, clock):
    for expected in (BASE_MS, 2 * BASE_MS, 4 * BASE_MS, 8 * BASE_MS, MOST_MS):
        suspects.blame(target())
        clock.advance(expected - 1)
        assert suspects.is_suspect(target())
        clock.advance(1)
        assert not suspects.is_suspect(target())


def test_requests_that_fail_together_count_once(suspects, clock):
    for _ in range(10):
        suspects.blame(target())
    clock.advance(BASE_MS)
    assert not suspects.is_suspect(target())


def test_restart_clears_a_target(suspects):
    suspects.blame(target(born=1))
    assert not suspects.is_suspect(target(born=2))


def test_one_timeout_says_little_but_several_in_a_row_do(suspects):
    # Guards against short time limits of a route that make sound targets look broken.
    for _ in range(TIMEOUTS_IN_A_ROW - 1):
        suspects.note_timeout(target())
    suspects.clear(target())
    for _ in range(TIMEOUTS_IN_A_ROW - 1):
        suspects.note_timeout(target())
    assert not suspects.is_suspect(target())
    suspects.note_timeout(target())
    assert suspects.is_suspect(target())


def test_pause_ends_by_itself_and_is_no_blame(suspects, clock):
    suspects.pause(target(), 300)
    assert suspects.is_suspect(target())
    assert not suspects.is_blamed(target())
    clock.advance(300)
    assert not suspects.is_suspect(target())


def test_ejection_is_told_once_and_so_is_readmission(suspects, emitted):
    for _ in range(3):
        suspects.blame(target())
    suspects.clear(target())
    suspects.clear(target())
    assert emitted == [TargetEjected("t1", 1, BASE_MS), TargetReadmitted("t1")]


def test_runner_that_other_vms_found_failing_is_avoided_but_not_blamed(clock):
    # A pause of a stream through it is still examined here.
    others = PeerNotes(clock, list, print)
    others.set_others([RunnerNote("t1", 1, is_failed=True)])
    suspects = SuspectList(clock, print, others)
    assert suspects.is_suspect(target(born=1))
    assert not suspects.is_blamed(target(born=1))
    assert not suspects.is_suspect(target(born=2))
    assert suspects.notes() == []


def test_only_own_findings_are_told(suspects, clock):
    suspects.blame(target())
    assert suspects.notes() == [RunnerNote("t1", 1, is_failed=True)]
    clock.advance(BASE_MS)
    assert suspects.notes() == []
