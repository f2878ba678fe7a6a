import pytest

from heathershunt.relay.events import EventSplitter

STREAM = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nversion: 3\nid: 3\ndata: c\n\n"


@pytest.mark.parametrize("size", [1, 2, 3, 7, 20, 100])
def test_events_are_whole_however_the_bytes_arrive(size):
    splitter = EventSplitter()
    events = []
    for at in range(0, len(STREAM), size):
        events += splitter.feed(STREAM[at : at + size])
    assert [event.id for event in events] == [1, 2, 3]
    assert b"".join(event.data for event in events) == STREAM
    assert not splitter.has_partial


def test_event_that_was_cut_off_is_not_given():
    splitter = EventSplitter()
    events = splitter.feed(b"id: 1\ndata: a\n\nid: 2\ndata: b\n")
    assert [event.id for event in events] == [1]
    assert splitter.has_partial


def test_event_without_id_is_passed_on():
    events = EventSplitter().feed(b"data: a\n\n")
    assert [(event.id, event.data) for event in events] == [(None, b"data: a\n\n")]
