"""The lease of one model: who may order its runners, and until when."""

import random
import secrets
from dataclasses import dataclass, replace

import logbook
from result import Err, Ok

from heathershunt.clock import Clock, Millis
from heathershunt.store import KeyValueStore, Stored, StoreFailure

log = logbook.Logger("heathershunt.placement")

RENEWALS_PER_TTL = 3
# The holder gives up before the store does, so that clocks of different speed and an
# order that is just being sent leave the lease in force.
GIVE_UP_SHARE = 6
# Time between two attempts to acquire, as a share of the time to live.
TRY_SHARE = (0.2, 0.4)
NONCE_BYTES = 8


def lease_key(model: str) -> str:
    """Return the store key of a model's lease."""
    return f"placement/{model}"


@dataclass(frozen=True)
class Lease:
    """A lease as its holder sees it.

    :param id: lease of the store, under which the key is written.
    :param revision: revision of the key, used as the fencing token.
    :param expires_at: the holder's own monotonic time, counted from before the grant
        or the last renewal was sent, less a margin.
    :param acquired_at: monotonic time at which the key was known to be written.

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

    :param holder: name of this VM's incarnation, written for operators to read.

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
        self._next_try_at = Millis(0)
        self._lease: Lease | None = None
        self._value = b""

    def current(self) -> Lease | None:
        """Return the lease if it is valid by this VM's own clock."""
        if self._lease is not None and not self._lease.is_valid(self._clock.now()):
            log.warning("{}: the lease has expired", self._key)
            self._lease = None
        return self._lease

    async def hold(self) -> Lease | None:
        """Renew the lease if it is due, or try to acquire it."""
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
        return Millis(sent_at + self._ttl_ms - self._ttl_ms // GIVE_UP_SHARE)

    async def _acquire(self) -> Lease | None:
        if self._clock.now() < self._next_try_at:
            return None
        self._next_try_at = Millis(
            self._clock.now() + round(self._ttl_ms * random.uniform(*TRY_SHARE))
        )
        held = await self._store.get(self._key)
        if isinstance(held, Err) or held.ok_value.value is not None:
            return None
        sent_at = self._clock.now()
        granted = await self._store.grant_lease(self._ttl_ms)
        if isinstance(granted, Err):
            return None
        lease_id = granted.ok_value
        self._value = f"{self._holder} {secrets.token_hex(NONCE_BYTES)}".encode()
        written = await self._write(lease_id, 0)
        if written is None:
            # An unknown write may still land; it vanishes together with its lease.
            await self._store.revoke(lease_id)
            return None
        self._renewed_at = sent_at
        expiry = self._expiry(sent_at)
        self._lease = Lease(lease_id, written.revision, expiry, self._clock.now())
        log.info("{}: lease held with token {}", self._key, written.revision)
        return self.current()

    async def _write(self, lease_id: str, expected: int) -> Stored | None:
        """Write the key; settle a lost reply by reading the value back."""
        swapped = await self._store.swap(self._key, self._value, expected, lease_id)
        if isinstance(swapped, Ok):
            return swapped.ok_value.current if swapped.ok_value.done else None
        if swapped.err_value.kind is not StoreFailure.OUTCOME_UNKNOWN:
            return None
        held = await self._store.get(self._key)
        if isinstance(held, Ok) and held.ok_value.value == self._value:
            return held.ok_value
        return None

    async def raise_token(self) -> None:
        """Write the key again for a higher token, or lose the lease.

        A runner that last obeyed the holder of another model knows a higher token.
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
        """Give the lease back, so that a successor need not wait for its end."""
        lease, self._lease = self._lease, None
        if lease is not None:
            await self._store.revoke(lease.id)
