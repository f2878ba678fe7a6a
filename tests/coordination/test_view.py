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
from heathershunt.coordination.revisions import join

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


class Recorder:
    def __init__(self):
        self.snapshots, self.changes, self.recoveries = [], [], []


@pytest.fixture
def store(clock):
    return ScriptedStore(clock)


@pytest.fixture
def recorder():
    return Recorder()


@pytest.fixture
def view(store, clock, recorder):
    return StoreView(
        store,
        clock,
        CONFIG,
        "",
        recorder.snapshots.append,
        recorder.changes.append,
        recorder.recoveries.append,
    )


async def run_all(view, store):
    while store.replies:
        await (view._load() if view.revision is None else view._watch())


def snapshot(revision=1):
    return Ok(Snapshot((), revision))


def no_changes(revision=1):
    return Ok(Changes((), revision))


def change(revision):
    return Ok(Changes((("k", Entry("k", b"", revision)),), revision))


async def test_watch_without_changes_confirms_the_view_up_to_its_wait(view, store):
    store.replies = [(4, snapshot()), (1504, no_changes())]
    await run_all(view, store)
    assert view.age_ms == 4


async def test_watch_with_changes_confirms_the_view_up_to_its_request(view, store):
    # The reply may have been delayed in the network, with a later change already made.
    store.replies = [(4, snapshot()), (1200, change(2))]
    await run_all(view, store)
    assert view.age_ms == 1200


async def test_watches_that_end_early_with_changes_are_no_outage(view, store, recorder):
    # Two changes in a row leave the view 2.9 s old, but the store was never down.
    store.replies = [(4, snapshot()), (1450, change(2)), (1450, change(3))]
    await run_all(view, store)
    assert recorder.recoveries == []


async def test_recovery_after_an_outage_is_reported_before_the_data(
    view, store, recorder
):
    store.replies = [(4, snapshot()), (8000, change(2))]
    changes_at_recovery = []
    view._on_recovery = lambda silent_ms: changes_at_recovery.append(
        len(recorder.changes)
    )
    await run_all(view, store)
    assert changes_at_recovery == [0]


async def test_lost_history_leads_to_a_complete_read(view, store, recorder):
    store.replies = [(4, snapshot(5))]
    await run_all(view, store)
    error = StoreError(StoreFailure.HISTORY_LOST, "gone")
    store.replies = [(4, Err(error))]
    assert await view._watch() is error
    view._record_failure(error)
    assert view.revision is None
    store.replies = [(4, snapshot(9))]
    await run_all(view, store)
    assert (len(recorder.snapshots), view.revision) == (2, 9)


# Guards against a change that is seen late, as the first watch after an outage waits
# though the store was restored.
async def test_first_watch_after_a_failure_does_not_wait(view, store, clock):
    waits = []
    answered = store.watch

    async def watch(prefix, revision, wait_ms):
        waits.append(wait_ms)
        return await answered(prefix, revision, wait_ms)

    store.watch = watch
    store.replies = [(0, snapshot()), (0, Err(StoreError(StoreFailure.UNKNOWN, "")))]
    await run_all(view, store)
    view._record_failure(StoreError(StoreFailure.UNKNOWN, ""))
    store.replies = [(0, no_changes()), (0, no_changes())]
    await run_all(view, store)
    assert waits == [1500, 0, 1500]


async def test_restoration_is_reported_before_the_snapshot(clock, store, recorder):
    seen = []
    view = StoreView(
        store,
        clock,
        CONFIG,
        "",
        lambda snapshot: seen.append("snapshot"),
        recorder.changes.append,
        recorder.recoveries.append,
        on_restored=seen.append,
    )
    store.replies = [(0, snapshot(join(1, 9)))]
    await run_all(view, store)
    view._record_failure(StoreError(StoreFailure.HISTORY_LOST, ""))
    store.replies = [(0, snapshot(join(2, 5)))]
    await run_all(view, store)
    assert seen == ["snapshot", 2, "snapshot"]


async def test_view_reads_all_entries_again_after_an_error(view, store, recorder):
    # Guards against changes that are missing for ever: the revision had moved on when
    # applying them failed.
    def fail(changes):
        raise RuntimeError("a change cannot be applied")

    view._on_changes = fail
    entry = Entry("a", b"", 2)
    store.replies = [(0, snapshot()), (0, Ok(Changes((("a", entry),), 2, 0)))]
    with pytest.raises(RuntimeError):
        await view.run()
    assert view.revision is None
