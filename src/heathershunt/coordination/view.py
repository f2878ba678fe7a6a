"""A view of the store that is kept by watching it, and how fresh it is."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import logbook
from result import Err

from heathershunt.clock import Clock, Millis
from heathershunt.coordination.backoff import Backoff
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
    """Times of the view, in milliseconds.

    :param wait_ms: longest wait of one watch; it bounds the age of the view.
    :param pause_ms: least time between two watches, so that many changes in a row are
        taken together.
    :param retry_least_ms: first pause after a failed call.
    :param retry_most_ms: longest pause after failed calls.
    :param outage_ms: time without contact after which leases may have run out.

    .. versionadded:: 0.2
    """

    wait_ms: int = 1800
    pause_ms: int = 150
    retry_least_ms: int = 50
    retry_most_ms: int = 400
    outage_ms: int = 1000


class StoreView:
    """Follows all keys under a prefix.

    :param on_snapshot: called with a complete list of the entries.
    :param on_changes: called with changes in order.
    :param wait_ms: called for the longest wait of one watch; it bounds the age of the
        view.
    :param on_return: called before the first data that follow an outage.
    :param on_loss: called with the reason when a call fails after one that did not.

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
        on_return: Callable[[int], None],
        wait_ms: Callable[[], int] | None = None,
        on_loss: Callable[[str], None] | None = None,
    ) -> None:
        self._store = store
        self._clock = clock
        self._config = config
        self._prefix = prefix
        self._on_snapshot = on_snapshot
        self._on_changes = on_changes
        self._on_return = on_return
        self._on_loss = on_loss
        self._wait_ms = wait_ms or (lambda: config.wait_ms)
        self._backoff = Backoff(config.retry_least_ms, config.retry_most_ms)
        self._answered_at: Millis | None = None
        self.revision: int | None = None
        self.confirmed_at: Millis | None = None

    @property
    def age(self) -> int | None:
        """Return how long ago the view was known to be current, in milliseconds."""
        if self.confirmed_at is None:
            return None
        return self._clock.now() - self.confirmed_at

    async def run(self) -> None:
        """Keep the view until cancelled."""
        while True:
            started = self._clock.now()
            error = await (self._load() if self.revision is None else self._follow())
            if error is None:
                spent = self._clock.now() - started
                await asyncio.sleep(max(0, self._config.pause_ms - spent) / 1000)
            else:
                await asyncio.sleep(self._note_failure(error) / 1000)

    async def _load(self) -> StoreError | None:
        asked_at = self._clock.now()
        outcome = await self._store.read_all(self._prefix)
        if isinstance(outcome, Err):
            return outcome.err_value
        self._note_contact(asked_at - outcome.ok_value.age_ms)
        self.revision = outcome.ok_value.revision
        self._on_snapshot(outcome.ok_value)
        return None

    async def _follow(self) -> StoreError | None:
        asked_at = self._clock.now()
        wait_ms = self._wait_ms()
        outcome = await self._store.watch(self._prefix, self.revision, wait_ms)
        if isinstance(outcome, Err):
            return outcome.err_value
        changes = outcome.ok_value
        # A watch without changes has waited at the store for its whole time.
        waited_ms = wait_ms if changes.waited_ms is None else changes.waited_ms
        current_at = asked_at if changes.entries else asked_at + waited_ms
        self._note_contact(current_at - changes.age_ms)
        self.revision = changes.revision
        if changes.entries:
            self._on_changes(changes)
        return None

    def _note_contact(self, confirmed_at: int) -> None:
        now = self._clock.now()
        away_ms = 0 if self._answered_at is None else now - self._answered_at
        # A suspended process finds its own clock further on than the wait explains.
        if away_ms > self._config.wait_ms + self._config.outage_ms:
            log.notice("store regained after {} ms", away_ms)
            self._on_return(away_ms)
        self._answered_at = now
        self.confirmed_at = Millis(min(now, max(confirmed_at, self.confirmed_at or 0)))
        self._backoff.reset()

    def _note_failure(self, error: StoreError) -> float:
        """Return how long to wait before the next call, in milliseconds."""
        if error.failure is StoreFailure.HISTORY_LOST:
            log.notice("history of the store is gone; reading all entries again")
            self.revision = None
            return 0
        pause_ms = self._backoff.next_ms()
        if self._backoff.failures == 1:
            log.warning("store call failed: {}", error.detail)
            if self._on_loss is not None:
                self._on_loss(error.detail)
        return pause_ms
