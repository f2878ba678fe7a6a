import pytest
from result import Err, Ok

from heathershunt.coordination import (
    Changes,
    Entry,
    Snapshot,
    StoreError,
    StoreFailure,
    StoreView,
    ViewConfig,
)

CONFIG = ViewConfig(wait_ms=1500, pause_ms=0, outage_ms=1000)


class ScriptedStore:
    """Answers reads and watches from a list; each takes some time."""

    def __init__(self, clock):
        self._clock = clock
        self.replies = []

    async def read_all(self, prefix):
        return self._next()

    async def watch(self, prefix, revision, wait_ms):
        return self._next()

    def _next(self):
        spent_ms, reply = self.replies.pop(0)
        self._clock.advance(spent_ms)
        return reply


class Followed:
    def __init__(self):
        self.snapshots, self.changes, self.returns = [], [], []


@pytest.fixture
def store(clock):
    return ScriptedStore(clock)


@pytest.fixture
def followed():
    return Followed()


@pytest.fixture
def view(store, clock, followed):
    return StoreView(
        store,
        clock,
        CONFIG,
        "",
        followed.snapshots.append,
        followed.changes.append,
        followed.returns.append,
    )


async def run_all(view, store):
    while store.replies:
        await (view._load() if view.revision is None else view._follow())


def snapshot(revision=1):
    return Ok(Snapshot((), revision))


def quiet(revision=1):
    return Ok(Changes((), revision))


def change(revision):
    return Ok(Changes((("k", Entry("k", b"", revision)),), revision))


async def test_quiet_watch_confirms_the_view_up_to_its_wait(view, store):
    store.replies = [(4, snapshot()), (1504, quiet())]
    await run_all(view, store)
    assert view.age == 4


async def test_change_confirms_only_the_time_at_which_the_watch_was_asked(view, store):
    # The reply may have been delayed on the way, and the next change with it.
    store.replies = [(4, snapshot()), (1200, change(2))]
    await run_all(view, store)
    assert view.age == 1200


async def test_watches_that_end_early_with_changes_are_no_outage(view, store, followed):
    # Two changes in a row leave the view 2.9 s old, but the store never was away.
    store.replies = [(4, snapshot()), (1450, change(2)), (1450, change(3))]
    await run_all(view, store)
    assert followed.returns == []


async def test_return_after_an_outage_is_told_before_the_data(view, store, followed):
    store.replies = [(4, snapshot()), (8000, change(2))]
    followed_at_return = []
    view._on_return = lambda away: followed_at_return.append(len(followed.changes))
    await run_all(view, store)
    assert followed_at_return == [0]


async def test_lost_history_leads_to_a_complete_read(view, store, followed):
    store.replies = [(4, snapshot(5))]
    await run_all(view, store)
    error = StoreError(StoreFailure.HISTORY_LOST, "gone")
    store.replies = [(4, Err(error))]
    assert await view._follow() is error
    view._note_failure(error)
    assert view.revision is None
    store.replies = [(4, snapshot(9))]
    await run_all(view, store)
    assert (len(followed.snapshots), view.revision) == (2, 9)
