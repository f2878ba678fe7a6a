"""One lease of this process and the keys that live with it."""

import asyncio
import random
from collections.abc import Callable

import logbook
from result import Err

from heathershunt.clock import Clock, Millis
from heathershunt.coordination.backoff import Backoff
from heathershunt.coordination.store import LeasedValue, Store, StoreFailure

log = logbook.Logger("heathershunt.coordination")

RENEWALS_PER_TTL = 3
# Pauses after failed calls. The longest one leaves time to write the entry again soon
# after an outage, and bounds the priced calls during one.
RETRY_LEAST_MS = 100
RETRY_MOST_MS = 800


class LeaseKeeper:
    """Keeps a lease alive and publishes a value under it.

    :param ttl_ms: time to live to ask for.
    :param value: called for the key and value to publish; ``None`` to publish nothing.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        ttl_ms: int,
        value: Callable[[], tuple[str, bytes] | None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._ttl_ms = ttl_ms
        self._value = value
        self._published: tuple[str, bytes] | None = None
        self._wake = asyncio.Event()
        self._is_ended = False
        self._backoff = Backoff(RETRY_LEAST_MS, RETRY_MOST_MS)
        self.lease: int | None = None
        self._valid_until: Millis = Millis(0)

    @property
    def is_valid(self) -> bool:
        """Return whether the lease certainly still runs at the store."""
        return self.lease is not None and self._clock.now() < self._valid_until

    def publish(self) -> None:
        """Write the value soon, as it has changed or was removed."""
        self._published = None
        self._wake.set()

    async def run(self) -> None:
        """Keep the lease and its key until cancelled."""
        while not self._is_ended:
            # Cleared before the calls, so that a request made during one is not lost.
            self._wake.clear()
            is_kept = await self._renew()
            if is_kept and self._published != self._value():
                is_kept = await self._write()
            try:
                async with asyncio.timeout(self._pause_ms(is_kept) / 1000):
                    await self._wake.wait()
            except TimeoutError:
                pass

    def _pause_ms(self, is_kept: bool) -> float:
        if not is_kept:
            return self._backoff.next_ms()
        self._backoff.reset()
        # Jitter spreads the calls of VMs that were started together.
        return self._ttl_ms / RENEWALS_PER_TTL * random.uniform(0.8, 1.0)

    async def end(self) -> None:
        """End the lease; its keys are removed at once."""
        self._is_ended = True
        lease, self.lease = self.lease, None
        if lease is not None:
            outcome = await self._store.end_lease(lease)
            if isinstance(outcome, Err):
                log.warning("lease was not ended: {}", outcome.err_value.detail)

    async def _renew(self) -> bool:
        asked_at = self._clock.now()
        if self.lease is None:
            granted = await self._store.grant_lease(self._ttl_ms)
            if isinstance(granted, Err):
                return False
            self.lease, ttl_ms = granted.ok_value
            self._published = None
        else:
            kept = await self._store.keep_lease(self.lease)
            if isinstance(kept, Err):
                if kept.err_value.failure is StoreFailure.NO_LEASE:
                    log.notice("lease {} ran out", self.lease)
                    self.lease = None
                    return await self._renew()
                return False
            ttl_ms = kept.ok_value
        self._valid_until = Millis(asked_at + ttl_ms)
        return True

    async def _write(self) -> bool:
        value = self._value()
        if value is None:
            return True
        leased = LeasedValue(*value, self.lease)
        # The watch can tell of a removal before the reply to this write arrives.
        self._published = value
        outcome = await self._store.commit((), (leased,))
        if isinstance(outcome, Err):
            self._published = None
            if outcome.err_value.failure is StoreFailure.NO_LEASE:
                self.lease = None
            return False
        return True
