"""Leader election by a leased key in the store."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

import logbook
from result import Err

from heathershunt.clock import Clock, Millis
from heathershunt.coordination.lease import LeaseKeeper
from heathershunt.coordination.store import (
    Expectation,
    LeasedValue,
    Store,
    StoreFailure,
)
from heathershunt.logs import Event, RepeatLimiter
from heathershunt.logs.events import LeadershipLost, LeadershipTaken

log = logbook.Logger("heathershunt.coordination")


@dataclass(frozen=True)
class LeadershipConfig:
    """Settings of a leader election.

    :param key: key that the leader writes under its lease.
    :param poll_ms: interval at which the key is checked in the local view.
    :param jitter_ms: maximum random delay before a claim, so that few claims collide.

    .. versionadded:: 0.2
    """

    key: str
    poll_ms: int = 200
    jitter_ms: int = 300


def _is_claim(held: tuple[bytes, int] | None) -> bool:
    """Return whether a key holds a value that some process may have claimed it with.

    A value of another writer has no lease that ends: it would stay for ever.
    """
    if held is None:
        return False
    vm, _, lease = held[0].rpartition(b"/")
    return bool(vm) and lease.isdigit()


class Leadership:
    """Claims a key under the lease of this process whenever the key is free.

    The store revision of the claim is the fencing token: it grows with each leader.

    :param holder: returns the key's value and revision in the local view; ``None`` if
        the key is free.
    :param emit: called with an event when leadership is taken or lost.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        store: Store,
        keeper: LeaseKeeper,
        clock: Clock,
        config: LeadershipConfig,
        vm: str,
        holder: Callable[[], tuple[bytes, int] | None],
        emit: Callable[[Event], None],
    ) -> None:
        self._store = store
        self._keeper = keeper
        self._clock = clock
        self._claims_from = Millis(0)
        self._config = config
        self._vm = vm
        self._holder = holder
        self._emit = emit
        self._was_leader = False
        self._lines = RepeatLimiter(clock)
        self._claimed_lease: int | None = None
        self.fencing_token = 0

    @property
    def is_leader(self) -> bool:
        """Return whether this process is known to hold the key now."""
        keeper = self._keeper
        return keeper.is_valid and keeper.lease == self._claimed_lease

    async def run(self) -> None:
        """Claim the key whenever the key is free, until cancelled."""
        config = self._config
        while True:
            await asyncio.sleep(config.poll_ms / 1000)
            held = self._holder()
            if held is not None and not self.is_leader:
                self._adopt(*held)
            self._emit_change()
            if _is_claim(held) or not self._keeper.is_valid or self._is_paused:
                continue
            await asyncio.sleep(random.uniform(0, config.jitter_ms) / 1000)
            if not _is_claim(self._holder()) and not self.is_leader:
                await self._claim()

    def pause_claims(self, pause_ms: int) -> None:
        """Claim nothing for some time.

        After a restoration of the store the key may be free though another VM, which
        has not seen it, still acts as the leader.
        """
        self._claims_from = Millis(self._clock.now() + pause_ms)

    @property
    def _is_paused(self) -> bool:
        return self._clock.now() < self._claims_from

    def _value(self) -> bytes:
        """Return a value that is unique to this process and its lease."""
        return f"{self._vm}/{self._keeper.lease}".encode()

    def _adopt(self, value: bytes, revision: int) -> None:
        """Accept a claim of this process that succeeded although its reply was lost."""
        if self._keeper.lease is not None and value == self._value():
            self._claimed_lease = self._keeper.lease
            self.fencing_token = revision

    async def _claim(self) -> None:
        lease = self._keeper.lease
        if lease is None:
            return
        held = self._holder()
        revision = 0 if held is None else held[1]
        if held is not None and self._lines.take(self._config.key):
            log.warning("claiming {}: its value is no claim", self._config.key)
        outcome = await self._store.commit(
            (Expectation(self._config.key, revision),),
            (LeasedValue(self._config.key, self._value(), lease),),
        )
        if isinstance(outcome, Err):
            if outcome.err_value.failure is not StoreFailure.CONFLICT:
                log.warning("leadership claim failed: {}", outcome.err_value.detail)
            return
        self._claimed_lease = lease
        self.fencing_token = outcome.ok_value
        self._emit_change()

    def _emit_change(self) -> None:
        is_leader = self.is_leader
        if is_leader == self._was_leader:
            return
        self._was_leader = is_leader
        event_type = LeadershipTaken if is_leader else LeadershipLost
        self._emit(event_type(self.fencing_token))
