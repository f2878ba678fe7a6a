import itertools

import pytest
from hypothesis import given, strategies

from heathershunt.relay.events import (
    MAX_EVENT_BYTES,
    EventSplitter,
    EventTooLongError,
)

STREAM = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nversion: 3\nid: 3\ndata: c\n\n"


@pytest.mark.parametrize("size", [1, 2, 3, 7, 20, 100])
def test_events_are_complete_however_the_bytes_are_split(size):
    splitter = EventSplitter()
    events = []
    for at in range(0, len(STREAM), size):
        events += splitter.feed(STREAM[at : at + size])
    assert [event.id for event in events] == [1, 2, 3]
    assert b"".join(event.data for event in events) == STREAM
    assert not splitter.has_partial


def test_incomplete_event_is_not_returned():
    splitter = EventSplitter()
    events = splitter.feed(b"id: 1\ndata: a\n\nid: 2\ndata: b\n")
    assert [event.id for event in events] == [1]
    assert splitter.has_partial


def test_event_without_id_is_passed_on():
    events = EventSplitter().feed(b"data: a\n\n")
    assert [(event.id, event.data) for event in events] == [(None, b"data: a\n\n")]


def test_comments_are_returned_with_the_next_event():
    # Guards against a stalled runner whose keep-alives pass for progress.
    splitter = EventSplitter()
    assert splitter.feed(b": still here\n\n: still here\n\n") == []
    (event,) = splitter.feed(b"id: 1\ndata: a\n\n")
    assert event.id == 1
    assert event.data == b": still here\n\n: still here\n\nid: 1\ndata: a\n\n"


def test_comments_after_the_last_event_are_returned_at_the_end():
    splitter = EventSplitter()
    assert len(splitter.feed(b"id: 1\ndata: a\n\n: bye\n\n")) == 1
    assert [event.data for event in splitter.end()] == [b": bye\n\n"]
    assert splitter.end() == []


@pytest.mark.parametrize("piece", [b": still here\n\n", b"data: more\n", b"x"])
def test_bytes_without_an_event_are_bounded(piece):
    splitter = EventSplitter()
    with pytest.raises(EventTooLongError):
        for _ in range(MAX_EVENT_BYTES):
            assert splitter.feed(piece * 1000) == []


@pytest.mark.timeout(10)
@pytest.mark.parametrize("piece", [b":\n\n" * 2000, b"data: more\n"])
def test_work_does_not_grow_with_bytes_without_an_event(piece):
    # Guards against one runner that blocks the process for all others: each block was
    # copied together with all bytes before it, which took a minute.
    splitter = EventSplitter()
    with pytest.raises(EventTooLongError):
        for _ in range(MAX_EVENT_BYTES):
            assert splitter.feed(piece) == []


BLOCKS = [
    b"id: 7\ndata: a\n\n",
    b"data\n\n",
    b": c\r\n\r\n",
    b"\n\n",
    b"\r\n\n",
    b"id: x",
]


@given(
    strategies.lists(strategies.sampled_from(BLOCKS), max_size=12).map(b"".join),
    strategies.lists(strategies.integers(1, 9), min_size=1, max_size=9),
)
def test_events_do_not_depend_on_how_the_bytes_are_split(stream, sizes):
    # Guards against a separator that is missed when two reads split it.
    whole = EventSplitter()
    expected = whole.feed(stream)
    splitter = EventSplitter()
    events, at = [], 0
    for size in itertools.cycle(sizes):
        events += splitter.feed(stream[at : at + size])
        at += size
        if at >= len(stream):
            break
    assert events == expected
    assert splitter.has_partial == whole.has_partial
    assert splitter.end() == whole.end()
