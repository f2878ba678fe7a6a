"""Size of the fleet in the store, for processes that do not know the other VMs yet.

If all VMs stop as planned, no entry of a VM is left. A process that starts then would
take itself for the only one, and all of them together would exceed the budget.
"""

import asyncio
from collections.abc import Callable

import logbook
import msgspec
from result import Err

from heathershunt.clock import Clock, Millis
from heathershunt.coordination import LeasedValue, Store
from heathershunt.schema.decoding import decode_untrusted
from heathershunt.schema.fields import Count

FLEET_SIZE_KEY = "retries/vms"
POLL_MS = 1000
# Time for which the size differs until it is written. While all VMs restart, fewer are
# listed for a moment.
CHANGE_MS = 10_000
# Part of the written size below which a smaller size is written: few VMs that come and
# go cause no writes.
SHRINK_FRACTION = 0.6

log = logbook.Logger("heathershunt.retrybudget")

_decode = msgspec.json.Decoder(Count).decode


def decode_fleet_size(value: bytes) -> int:
    """Return the VMs that a value of the store states.

    :raises ValueError: if the value is malformed.
    """
    return decode_untrusted(_decode, value)


class FleetSizeKeeper:
    """Writes the size of a large fleet to the store, if this VM is the first one.

    :param vms: returns the number of VMs that are listed.
    :param written: returns the size in the store; 0 without one.
    :param rank: returns the number of VMs in the list before this one.
    :param is_current: returns whether this VM sees the store as it is now.
    :param max_flat_vms: largest fleet whose size is not written.

    .. versionadded:: 0.10
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        vms: Callable[[], int],
        written: Callable[[], int],
        rank: Callable[[], int],
        is_current: Callable[[], bool],
        max_flat_vms: int,
    ) -> None:
        self._store = store
        self._clock = clock
        self._vms = vms
        self._written = written
        self._rank = rank
        self._is_current = is_current
        self._max_flat_vms = max_flat_vms
        self._differs_since: Millis | None = None

    async def run(self) -> None:
        """Follow the size until cancelled."""
        while True:
            await asyncio.sleep(POLL_MS / 1000)
            await self.run_once()

    async def run_once(self) -> None:
        """Write or remove the size if that is due."""
        now = self._clock.now()
        if self._rank() or not self._is_current() or not self._is_due():
            self._differs_since = None
            return
        if self._differs_since is None:
            self._differs_since = now
        if now - self._differs_since < CHANGE_MS:
            return
        self._differs_since = now
        values, removed = (), (FLEET_SIZE_KEY,)
        if self._vms() > self._max_flat_vms:
            value = msgspec.json.encode(self._vms())
            values, removed = (LeasedValue(FLEET_SIZE_KEY, value),), ()
        outcome = await self._store.commit((), values, removed)
        if isinstance(outcome, Err):
            log.info("size of the fleet not written: {}", outcome.err_value.detail)

    def _is_due(self) -> bool:
        """Return whether the size in the store is no bound of the real one."""
        vms, written = self._vms(), self._written()
        if vms <= self._max_flat_vms:
            return written > 0
        return vms > written or vms < written * SHRINK_FRACTION
