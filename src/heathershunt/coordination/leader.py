"""One VM at a time that performs a duty, by a leased key in the store."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

import logbook
from result import Err

from heathershunt.coordination.lease import LeaseKeeper
from heathershunt.coordination.store import (
    Expectation,
    LeasedValue,
    Store,
    StoreFailure,
)
from heathershunt.logs import Event
from heathershunt.logs.events import LeadershipLost, LeadershipTaken

log = logbook.Logger("heathershunt.coordination")


@dataclass(frozen=True)
class LeadershipConfig:
    """Constants of an election.

    :param key: key that the leader holds.
    :param poll_ms: time between two looks at the key in the local view.
    :param jitter_ms: longest extra wait before a claim, so that few VMs collide.

    .. versionadded:: 0.2
    """

    key: str
    poll_ms: int = 200
    jitter_ms: int = 300


class Leadership:
    """Claims a key under the lease of this process whenever it is free.

    The revision of the claim serves as a fencing token: it grows with each leader.

    :param holder: called for the key's value and revision in the local view; ``None``
        if the key is free.
    :param emit: called when leadership is taken or lost.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        store: Store,
        keeper: LeaseKeeper,
        config: LeadershipConfig,
        vm: str,
        holder: Callable[[], tuple[bytes, int] | None],
        emit: Callable[[Event], None],
    ) -> None:
        self._store = store
        self._keeper = keeper
        self._config = config
        self._vm = vm
        self._holder = holder
        self._emit = emit
        self._was_leader = False
        self._claimed_lease: int | None = None
        self.fencing_token = 0

    @property
    def is_leader(self) -> bool:
        """Return whether this process certainly holds the key now."""
        keeper = self._keeper
        return keeper.is_valid and keeper.lease == self._claimed_lease

    async def run(self) -> None:
        """Claim the key whenever it is free, until cancelled."""
        config = self._config
        while True:
            await asyncio.sleep(config.poll_ms / 1000)
            held = self._holder()
            if held is not None and not self.is_leader:
                self._adopt(*held)
            self._note_change()
            if held is not None or not self._keeper.is_valid:
                continue
            await asyncio.sleep(random.uniform(0, config.jitter_ms) / 1000)
            if self._holder() is None and not self.is_leader:
                await self._claim()

    def _value(self) -> bytes:
        """Return a value that no other process, and no other lease, writes."""
        return f"{self._vm}/{self._keeper.lease}".encode()

    def _adopt(self, value: bytes, revision: int) -> None:
        """Take up a claim of this process whose reply was lost."""
        if self._keeper.lease is not None and value == self._value():
            self._claimed_lease = self._keeper.lease
            self.fencing_token = revision

    async def _claim(self) -> None:
        lease = self._keeper.lease
        if lease is None:
            return
        outcome = await self._store.commit(
            (Expectation(self._config.key, 0),),
            (LeasedValue(self._config.key, self._value(), lease),),
        )
        if isinstance(outcome, Err):
            if outcome.err_value.failure is not StoreFailure.CONFLICT:
                log.warning("claim failed: {}", outcome.err_value.detail)
            return
        self._claimed_lease = lease
        self.fencing_token = outcome.ok_value
        self._note_change()

    def _note_change(self) -> None:
        is_leader = self.is_leader
        if is_leader == self._was_leader:
            return
        self._was_leader = is_leader
        event_type = LeadershipTaken if is_leader else LeadershipLost
        self._emit(event_type(self.fencing_token))
