"""The lease of one model: its holder alone may send orders to the model's runners."""

import random
import secrets
from dataclasses import dataclass, replace

import logbook
from result import Err, Ok

from heathershunt.clock import Clock, Millis
from heathershunt.store import KeyValueStore, StoredValue, StoreFailure

log = logbook.Logger("heathershunt.placement")

RENEWALS_PER_TTL = 3
# The holder's lease expires before that of the store, by the time to live divided by
# this. The margin covers clocks of different speed and an order that is being sent.
EXPIRY_MARGIN_DIVISOR = 6
# Time between two attempts to acquire the lease: a random share of the time to live
# within these bounds.
ACQUIRE_INTERVAL_SHARES = (0.2, 0.4)
NONCE_BYTES = 8


def lease_key(model: str) -> str:
    """Return the store key of a model's lease."""
    return f"placement/{model}"


@dataclass(frozen=True)
class Lease:
    """A lease in the view of its holder.

    :param id: ID of the store's lease that the key is bound to.
    :param revision: revision of the key, used as the fencing token.
    :param expires_at: monotonic time of the holder, counted from before the grant or
        the last renewal was sent, less a margin.
    :param acquired_at: monotonic time at which the write of the key was confirmed.

    .. versionadded:: 0.1
    """

    id: str
    revision: int
    expires_at: Millis
    acquired_at: Millis

    def is_valid(self, now: Millis) -> bool:
        """Return whether the holder may still send orders."""
        return now < self.expires_at


class LeaseKeeper:
    """Acquires and renews the lease of one model.

    :param holder: name of this VM's incarnation, stored in the key for operators.
    :param ttl_ms: time to live of the lease in the store.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        store: KeyValueStore,
        clock: Clock,
        model: str,
        holder: str,
        ttl_ms: int,
    ) -> None:
        self._store = store
        self._clock = clock
        self._key = lease_key(model)
        self._holder = holder
        self._ttl_ms = ttl_ms
        self._renewed_at = Millis(0)
        self._next_attempt_at = Millis(0)
        self._lease: Lease | None = None
        self._value = b""

    def current(self) -> Lease | None:
        """Return the lease if it is valid by this VM's own clock, else ``None``."""
        if self._lease is not None and not self._lease.is_valid(self._clock.now()):
            log.warning("{}: the lease has expired on this VM", self._key)
            self._lease = None
        return self._lease

    async def acquire_or_renew(self) -> Lease | None:
        """Renew the lease if a renewal is due, or try to acquire the lease.

        Returns ``None`` if this VM does not hold the lease.
        """
        lease = self.current()
        if lease is None:
            return await self._acquire()
        now = self._clock.now()
        if now - self._renewed_at >= self._ttl_ms // RENEWALS_PER_TTL:
            await self._renew(lease, now)
        return self.current()

    async def _renew(self, lease: Lease, sent_at: Millis) -> None:
        outcome = await self._store.keep_alive(lease.id)
        if isinstance(outcome, Ok):
            self._renewed_at = sent_at
            if self._lease is lease:
                self._lease = replace(lease, expires_at=self._expiry(sent_at))
        elif outcome.err_value.kind is StoreFailure.LEASE_LAPSED:
            self._lease = None

    def _expiry(self, sent_at: Millis) -> Millis:
        return Millis(sent_at + self._ttl_ms - self._ttl_ms // EXPIRY_MARGIN_DIVISOR)

    async def _acquire(self) -> Lease | None:
        if self._clock.now() < self._next_attempt_at:
            return None
        self._next_attempt_at = Millis(
            self._clock.now()
            + round(self._ttl_ms * random.uniform(*ACQUIRE_INTERVAL_SHARES))
        )
        stored = await self._store.get(self._key)
        if isinstance(stored, Err) or stored.ok_value.value is not None:
            return None
        sent_at = self._clock.now()
        granted = await self._store.grant_lease(self._ttl_ms)
        if isinstance(granted, Err):
            return None
        lease_id = granted.ok_value
        self._value = f"{self._holder} {secrets.token_hex(NONCE_BYTES)}".encode()
        written = await self._write(lease_id, 0)
        if written is None:
            # A write with an unknown outcome may still take effect; the store deletes
            # the key together with its lease.
            await self._store.revoke(lease_id)
            return None
        self._renewed_at = sent_at
        expiry = self._expiry(sent_at)
        self._lease = Lease(lease_id, written.revision, expiry, self._clock.now())
        log.info(
            "{}: lease acquired with fencing token {}", self._key, written.revision
        )
        return self.current()

    async def _write(self, lease_id: str, expected: int) -> StoredValue | None:
        """Write the key; after a lost reply, read the value back to see the outcome."""
        swapped = await self._store.swap(self._key, self._value, expected, lease_id)
        if isinstance(swapped, Ok):
            return swapped.ok_value.current if swapped.ok_value.done else None
        if swapped.err_value.kind is not StoreFailure.OUTCOME_UNKNOWN:
            return None
        stored = await self._store.get(self._key)
        if isinstance(stored, Ok) and stored.ok_value.value == self._value:
            return stored.ok_value
        return None

    async def raise_token(self) -> None:
        """Write the key again to get a higher fencing token; drop the lease on failure.

        A runner that last accepted an order of another model's holder may have stored
        a higher token than this lease has.
        """
        lease = self.current()
        if lease is None:
            return
        self._value = f"{self._holder} {secrets.token_hex(NONCE_BYTES)}".encode()
        written = await self._write(lease.id, lease.revision)
        if written is None:
            log.warning("{}: the lease is held by another VM", self._key)
            self._lease = None
        elif self._lease is not None:
            self._lease = replace(self._lease, revision=written.revision)

    async def release(self) -> None:
        """Revoke the lease, so that a successor need not wait until it expires."""
        lease, self._lease = self._lease, None
        if lease is not None:
            await self._store.revoke(lease.id)
