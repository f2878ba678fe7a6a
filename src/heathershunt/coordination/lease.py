"""The lease of this process and the key that is bound to it."""

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
# Delays after failed calls. The maximum is short enough to write the entry again soon
# after an outage and long enough to limit the calls, which are billed, during one.
RETRY_MIN_MS = 100
RETRY_MAX_MS = 800


class LeaseKeeper:
    """Renews a lease and publishes a value under it.

    :param ttl_ms: time to live that is requested.
    :param value: returns the key and value to publish; ``None`` to publish nothing.

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
        self._backoff = Backoff(RETRY_MIN_MS, RETRY_MAX_MS)
        self.lease: int | None = None
        self._valid_until: Millis = Millis(0)

    @property
    def is_valid(self) -> bool:
        """Return whether the store is known to still hold the lease."""
        return self.lease is not None and self._clock.now() < self._valid_until

    def publish(self) -> None:
        """Request a prompt write, after the value changed or its key was removed."""
        self._published = None
        self._wake.set()

    async def run(self) -> None:
        """Renew the lease and write its key until cancelled or ended."""
        while not self._is_ended:
            # Cleared before the calls, so that a publish() during a call is not lost.
            self._wake.clear()
            succeeded = await self._renew()
            if succeeded and self._published != self._value():
                succeeded = await self._write()
            try:
                async with asyncio.timeout(self._pause_ms(succeeded) / 1000):
                    await self._wake.wait()
            except TimeoutError:
                pass

    def _pause_ms(self, succeeded: bool) -> float:
        if not succeeded:
            return self._backoff.next_ms()
        self._backoff.reset()
        # Jitter spreads the renewals of VMs that were started together.
        return self._ttl_ms / RENEWALS_PER_TTL * random.uniform(0.8, 1.0)

    async def end(self) -> None:
        """End the lease; the store removes its keys at once."""
        self._is_ended = True
        lease, self.lease = self.lease, None
        if lease is not None:
            outcome = await self._store.end_lease(lease)
            if isinstance(outcome, Err):
                log.warning("could not end the lease: {}", outcome.err_value.detail)

    async def _renew(self) -> bool:
        sent_at = self._clock.now()
        if self.lease is None:
            granted = await self._store.grant_lease(self._ttl_ms)
            if isinstance(granted, Err):
                return False
            self.lease, ttl_ms = granted.ok_value
            self._published = None
        else:
            renewed = await self._store.renew_lease(self.lease)
            if isinstance(renewed, Err):
                if renewed.err_value.failure is StoreFailure.NO_LEASE:
                    log.notice("lease {} expired", self.lease)
                    self.lease = None
                    return await self._renew()
                return False
            ttl_ms = renewed.ok_value
        self._valid_until = Millis(sent_at + ttl_ms)
        return True

    async def _write(self) -> bool:
        value = self._value()
        if value is None:
            return True
        leased = LeasedValue(*value, self.lease)
        # Set before the write: a watch may report the removal of the key, and publish()
        # be called, before the reply to this write arrives.
        self._published = value
        outcome = await self._store.commit((), (leased,))
        if isinstance(outcome, Err):
            self._published = None
            if outcome.err_value.failure is StoreFailure.NO_LEASE:
                self.lease = None
            return False
        return True
