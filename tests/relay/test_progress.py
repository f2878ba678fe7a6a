import pytest

from heathershunt.relay.events import StreamEvent
from heathershunt.relay.progress import StreamProgress


@pytest.fixture
def progress(clock):
    return StreamProgress(clock, clock.now(), None)


def events(*ids):
    return [StreamEvent(number, b"%d;" % number) for number in ids]


def test_events_that_the_caller_has_are_dropped(progress):
    # Guards against duplicate events when a second run begins too early.
    assert progress.accept(events(1, 2, 3)) == b"1;2;3;"
    assert progress.accept(events(2, 3, 4)) == b"4;"
    assert progress.last_id == 4


def test_gaps_are_measured_between_events_and_not_before_the_first(progress, clock):
    clock.advance(70)
    assert not progress.has_begun
    progress.accept(events(1))
    assert (progress.first_event_ms, progress.longest_gap_ms) == (70, 0)
    clock.advance(30)
    assert progress.paused_ms == 30
    progress.accept(events(2))
    clock.advance(10)
    progress.accept(events(3))
    assert (progress.last_gap_ms, progress.longest_gap_ms) == (10, 30)


def test_duplicate_event_does_not_end_a_pause(progress, clock):
    progress.accept(events(1))
    clock.advance(30)
    progress.accept(events(1))
    assert progress.paused_ms == 30
