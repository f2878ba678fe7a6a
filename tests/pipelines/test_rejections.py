"""Rejections of full runners, as evidence for this VM and the others."""

import pytest

from heathershunt.pipelines import LoadLedger, PeerNotes, RunnerNote
from heathershunt.pipelines.notes import merge_notes
from heathershunt.pipelines.rejections import REJECTION_MAX_AGE_MS

PERIOD_MS = 250


@pytest.fixture
def ledger(clock):
    """Return a ledger that has received two reports."""
    ledger = LoadLedger(clock)
    for _ in range(2):
        clock.advance(PERIOD_MS)
        ledger.set_others({})
    return ledger


def test_rejection_counts_until_all_loads_of_a_report_are_newer(ledger, clock):
    # Guards against rejected sends to a runner that a load sent before the rejection
    # shows as free.
    ledger.rejections.record("r1")
    clock.advance(10)
    ledger.set_others({})
    assert "r1" in ledger.rejections.full()
    clock.advance(PERIOD_MS)
    ledger.set_others({})
    clock.advance(PERIOD_MS)
    ledger.set_others({})
    assert not ledger.rejections.full()
    assert not ledger.rejections.ages()


def test_rejection_expires_without_reports(ledger, clock):
    # Guards against a runner that is left out for ever while no reports arrive.
    ledger.rejections.record("r1")
    clock.advance(REJECTION_MAX_AGE_MS)
    assert ledger.rejections.ages() == {"r1": REJECTION_MAX_AGE_MS}
    clock.advance(1)
    assert not ledger.rejections.ages()
    assert not ledger.rejections.full()
    assert len(ledger.rejections) == 0


def test_other_vms_learn_the_age_of_a_rejection(ledger, clock):
    ledger.rejections.record("r1")
    clock.advance(100)
    other = LoadLedger(clock)
    other.set_others({}, ledger.rejections.notes())
    clock.advance(50)
    assert other.rejections.ages() == {"r1": 150}
    assert not other.rejections.full()
    assert other.rejections.notes() == []


def test_last_rejection_counts_of_those_that_several_vms_saw():
    notes = merge_notes(
        [[RunnerNote("r1", rejected_ms=90)], [RunnerNote("r1", rejected_ms=20)]]
    )
    assert notes == [RunnerNote("r1", rejected_ms=20)]


def test_pace_and_rejection_of_a_runner_are_one_note():
    # Guards against the loss of a slow pace at VMs of earlier versions, which read the
    # last note on a runner.
    slow, full = RunnerNote("r1", pace=5.0), RunnerNote("r1", rejected_ms=20)
    expected = [RunnerNote("r1", pace=5.0, rejected_ms=20)]
    assert merge_notes([[slow], [full]]) == expected
    assert merge_notes([[full, slow]]) == expected


def test_full_runner_is_not_avoided_as_failed_or_slow(clock):
    # Guards against healthy runners that are ejected as they are in use, and against a
    # log line for each rejection at each VM.
    emitted = []
    notes = PeerNotes(clock, list, emitted.append)
    notes.set_others([RunnerNote("r1", rejected_ms=20)])
    assert not notes.is_failed("r1", 0)
    assert notes.pace("r1") == 1.0
    assert not emitted
