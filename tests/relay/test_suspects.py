from dataclasses import replace

import pytest

from heathershunt.discovery import Target
from heathershunt.http import Address
from heathershunt.logs.events import TargetEjected, TargetReadmitted
from heathershunt.pipelines import PeerNotes, RunnerNote
from heathershunt.relay import SuspectList
from heathershunt.relay.links import SoundLinks
from heathershunt.relay.suspects import (
    BASE_EJECTION_MS,
    CONSECUTIVE_TIMEOUTS,
    MAX_EJECTION_MS,
)


@pytest.fixture
def emitted():
    return []


@pytest.fixture
def suspects(clock, emitted):
    return SuspectList(clock, emitted.append)


def target(incarnation=1):
    return Target("t1", "s", Address("10.0.0.1", 80), "a", 4, incarnation)


def test_ejection_time_doubles_with_each_failure_up_to_a_bound(suspects, clock):
    for expected in (
        BASE_EJECTION_MS,
        2 * BASE_EJECTION_MS,
        4 * BASE_EJECTION_MS,
        8 * BASE_EJECTION_MS,
        MAX_EJECTION_MS,
    ):
        suspects.eject(target())
        clock.advance(expected - 1)
        assert suspects.is_suspect(target())
        clock.advance(1)
        assert not suspects.is_suspect(target())


def test_requests_that_fail_together_count_once(suspects, clock):
    for _ in range(10):
        suspects.eject(target())
    clock.advance(BASE_EJECTION_MS)
    assert not suspects.is_suspect(target())


def test_restart_ends_the_ejection_of_a_target(suspects):
    suspects.eject(target(incarnation=1))
    assert not suspects.is_suspect(target(incarnation=2))


def test_target_is_ejected_only_after_several_timeouts_in_a_row(suspects):
    # Guards against ejection of healthy targets because of a route's short time limit.
    for _ in range(CONSECUTIVE_TIMEOUTS - 1):
        suspects.record_timeout(target())
    suspects.record_success(target())
    for _ in range(CONSECUTIVE_TIMEOUTS - 1):
        suspects.record_timeout(target())
    assert not suspects.is_suspect(target())
    suspects.record_timeout(target())
    assert suspects.is_suspect(target())


def test_back_off_expires_and_is_no_ejection(suspects, clock):
    suspects.back_off(target(), 300)
    assert suspects.is_suspect(target())
    assert not suspects.is_ejected(target())
    clock.advance(300)
    assert not suspects.is_suspect(target())


def test_ejection_and_readmission_are_each_emitted_once(suspects, emitted):
    for _ in range(3):
        suspects.eject(target())
    suspects.record_success(target())
    suspects.record_success(target())
    assert emitted == [TargetEjected("t1", 1, BASE_EJECTION_MS), TargetReadmitted("t1")]


def test_runner_that_other_vms_report_as_failed_is_avoided_but_not_ejected(clock):
    # This VM still polls the runner when a stream through it pauses.
    peer_notes = PeerNotes(clock, list, print)
    peer_notes.set_others([RunnerNote("t1", 1, is_failed=True)])
    suspects = SuspectList(clock, print, peer_notes)
    assert suspects.is_suspect(target(incarnation=1))
    assert not suspects.is_ejected(target(incarnation=1))
    assert not suspects.is_suspect(target(incarnation=2))
    assert suspects.notes() == []


def test_notes_contain_only_own_ejections(suspects, clock):
    suspects.eject(target())
    assert suspects.notes() == [RunnerNote("t1", 1, is_failed=True)]
    clock.advance(BASE_EJECTION_MS)
    assert suspects.notes() == []


class CutLinks(SoundLinks):
    is_cut_off = True
    is_sound = False


def test_failures_of_a_vm_that_is_cut_off_eject_nothing(suspects):
    # Guards against targets that are avoided as the links of this VM have failed.
    suspects.links = CutLinks()
    suspects.eject(target())
    for _ in range(CONSECUTIVE_TIMEOUTS):
        suspects.record_timeout(target())
    suspects.links = SoundLinks()
    assert not suspects.is_suspect(target())


def test_no_notes_while_the_links_are_in_doubt(suspects):
    # Guards against notes of two VMs that make all VMs avoid a sound target.
    suspects.eject(target())
    assert suspects.notes()
    suspects.links = CutLinks()
    assert not suspects.notes()


def test_ejections_since_a_cut_end_and_older_ones_stay(clock, suspects):
    # Guards against sound targets that stay ejected after a cut, and against dead ones
    # that are used again.
    suspects.eject(target())
    clock.advance(10)
    later = replace(target(), id="later")
    suspects.eject(later)
    suspects.discard_since(clock.now())
    assert suspects.is_ejected(target())
    assert not suspects.is_ejected(later)
