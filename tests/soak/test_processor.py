"""Waits for a processor in the soak."""

import os

from soak import processor
from soak.processor import ProcessorWaits, waited_seconds


def test_own_wait_is_known():
    assert waited_seconds(os.getpid()) >= 0.0


def test_unknown_process_has_no_wait():
    assert waited_seconds(0) is None


def test_waits_are_counted_in_the_time_in_which_they_ended(monkeypatch):
    waited = iter((1.0, 1.5, 1.5, 3.5))
    monkeypatch.setattr(processor, "waited_seconds", lambda pid: next(waited))
    waits = ProcessorWaits()
    for now in (10.0, 11.0, 12.0, 13.0):
        waits.sample("vm-0", 1, now)
    assert waits.between("vm-0", 10.5, 12.5) == 0.5
    assert waits.between("vm-0", 10.5, 13.0) == 2.5
    assert waits.between("vm-1", 0.0, 99.0) == 0.0
    assert waits.total("vm-0") == 3.5
