"""A local view of the store, kept up to date by a watch, and its age."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import logbook
from result import Err

from heathershunt.clock import Clock, Millis
from heathershunt.coordination.backoff import Backoff
from heathershunt.coordination.revisions import era_of
from heathershunt.coordination.store import (
    Changes,
    Snapshot,
    Store,
    StoreError,
    StoreFailure,
)

log = logbook.Logger("heathershunt.coordination")


@dataclass(frozen=True)
class ViewConfig:
    """Times of a :class:`StoreView`, in milliseconds.

    :param wait_ms: maximum wait of one watch; it bounds the age of the view.
    :param pause_ms: minimum time between two watches, so that changes in quick
        succession are received together.
    :param retry_min_ms: shortest delay after a failed call.
    :param retry_max_ms: longest delay after failed calls.
    :param outage_ms: time without an answer, beyond the wait of a watch, after which
        leases may have expired.

    .. versionadded:: 0.2
    """

    wait_ms: int = 1800
    pause_ms: int = 150
    retry_min_ms: int = 50
    retry_max_ms: int = 400
    outage_ms: int = 1000


class StoreView:
    """Watches all keys under a prefix.

    :param on_snapshot: called with all entries.
    :param on_changes: called with changes in order.
    :param wait_ms: returns the maximum wait of one watch in milliseconds; it bounds the
        age of the view.
    :param on_recovery: called before the first data after an outage, with the time
        without an answer in milliseconds.
    :param on_restored: called before the first snapshot after the store was restored
        from a copy, with its new era.
    :param on_loss: called with the reason when a call fails after a successful one.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        config: ViewConfig,
        prefix: str,
        on_snapshot: Callable[[Snapshot], None],
        on_changes: Callable[[Changes], None],
        on_recovery: Callable[[int], None],
        wait_ms: Callable[[], int] | None = None,
        on_loss: Callable[[str], None] | None = None,
        on_restored: Callable[[int], None] = lambda era: None,
    ) -> None:
        self._store = store
        self._clock = clock
        self._config = config
        self._prefix = prefix
        self._on_snapshot = on_snapshot
        self._on_changes = on_changes
        self._on_recovery = on_recovery
        self._on_loss = on_loss
        self._on_restored = on_restored
        self._era: int | None = None
        self._wait_ms = wait_ms or (lambda: config.wait_ms)
        self._backoff = Backoff(config.retry_min_ms, config.retry_max_ms)
        self._answered_at: Millis | None = None
        self.revision: int | None = None
        self.confirmed_at: Millis | None = None

    @property
    def age_ms(self) -> int | None:
        """Return the time since the view was last known to be current, in ms."""
        if self.confirmed_at is None:
            return None
        return self._clock.now() - self.confirmed_at

    async def run(self) -> None:
        """Keep the view up to date until cancelled."""
        while True:
            started = self._clock.now()
            try:
                error = await (self._load() if self.revision is None else self._watch())
            except Exception:
                # The entries were applied in part, so all of them are read again.
                self.revision = None
                raise
            if error is None:
                elapsed_ms = self._clock.now() - started
                await asyncio.sleep(max(0, self._config.pause_ms - elapsed_ms) / 1000)
            else:
                await asyncio.sleep(self._record_failure(error) / 1000)

    async def _load(self) -> StoreError | None:
        sent_at = self._clock.now()
        outcome = await self._store.read_all(self._prefix)
        if isinstance(outcome, Err):
            return outcome.err_value
        self._record_answer(sent_at - outcome.ok_value.age_ms)
        self.revision = outcome.ok_value.revision
        self._record_era(era_of(self.revision))
        self._on_snapshot(outcome.ok_value)
        return None

    async def _watch(self) -> StoreError | None:
        sent_at = self._clock.now()
        # After a failure the first reply must not wait: it tells whether the store was
        # restored meanwhile.
        wait_ms = 0 if self._backoff.failures else self._wait_ms()
        outcome = await self._store.watch(self._prefix, self.revision, wait_ms)
        if isinstance(outcome, Err):
            return outcome.err_value
        changes = outcome.ok_value
        # A watch without changes waited at the store for its whole time.
        waited_ms = wait_ms if changes.waited_ms is None else changes.waited_ms
        current_at = sent_at if changes.entries else sent_at + waited_ms
        self._record_answer(current_at - changes.age_ms)
        self.revision = changes.revision
        if changes.entries:
            self._on_changes(changes)
        return None

    def _record_era(self, era: int) -> None:
        if self._era is not None and era != self._era:
            log.notice("the store was restored from a copy; its era is {}", era)
            self._on_restored(era)
        self._era = era

    def _record_answer(self, confirmed_at: int) -> None:
        now = self._clock.now()
        silent_ms = 0 if self._answered_at is None else now - self._answered_at
        # A process that was suspended also detects the outage here: its clock advanced
        # by more than the wait of a watch.
        if silent_ms > self._config.wait_ms + self._config.outage_ms:
            log.notice("store recovered after {} ms", silent_ms)
            self._on_recovery(silent_ms)
        self._answered_at = now
        self.confirmed_at = Millis(min(now, max(confirmed_at, self.confirmed_at or 0)))
        self._backoff.reset()

    def _record_failure(self, error: StoreError) -> float:
        """Return the delay before the next call, in milliseconds."""
        if error.failure is StoreFailure.HISTORY_LOST:
            log.notice("the store has dropped its history; reading all entries again")
            self.revision = None
            return 0
        pause_ms = self._backoff.next_ms()
        if self._backoff.failures == 1:
            log.warning("store call failed: {}", error.detail)
            if self._on_loss is not None:
                self._on_loss(error.detail)
        return pause_ms
