"""What the store has of a large fleet, for processes that have just started.

If all VMs stop as planned, no entry of a VM is left. A process that starts then would
take itself for the only one, and all of them together would exceed the budget. The
record also tells whether all VMs may have restarted a moment ago.
"""

import asyncio
from collections.abc import Callable
from typing import Annotated

import logbook
import msgspec
from msgspec import Meta
from result import Err

from heathershunt.clock import Clock, Millis
from heathershunt.coordination import LeasedValue, Store
from heathershunt.schema.decoding import decode_untrusted
from heathershunt.schema.fields import Count, Whole

FLEET_KEY = "retries/fleet"
POLL_MS = 1000
# Time for which the size differs until it is written. While all VMs restart, fewer are
# listed for a moment.
CHANGE_MS = 10_000
# Part of the written size below which a smaller size is written: few VMs that come and
# go cause no writes.
SHRINK_FRACTION = 0.6
# Starts of the first VM that are kept.
MAX_STARTS = 4
# Starts so shortly before that of a process belong to the same restart of all VMs.
SAME_RESTART_MS = 2500
# Difference between the clocks of two VMs.
CLOCK_MARGIN_MS = 1000

log = logbook.Logger("heathershunt.retrybudget")


class FleetRecord(msgspec.Struct, frozen=True):
    """Size of a large fleet, and when processes of its first VM started.

    :param vms: VMs of the fleet; 0 if it is small.
    :param starts: wall times in milliseconds, the last ones.

    .. versionadded:: 0.10
    """

    vms: Count = 0
    starts: Annotated[list[Whole], Meta(max_length=MAX_STARTS)] = []

    def had_restart(self, started_at: int, window_ms: int) -> bool:
        """Return whether all VMs may have restarted in the window before a start.

        :param started_at: wall time of the start of a process.
        """
        since = started_at - window_ms - CLOCK_MARGIN_MS
        until = started_at - SAME_RESTART_MS
        return not self.starts or any(since < at < until for at in self.starts)


NO_RECORD = FleetRecord()
_decode = msgspec.json.Decoder(FleetRecord).decode


def decode_fleet(value: bytes) -> FleetRecord:
    """Return the record that a value of the store holds.

    :raises ValueError: if the value is malformed.
    """
    return decode_untrusted(_decode, value)


class FleetKeeper:
    """Writes the record of a large fleet to the store, if this VM is the first one.

    That is one call for each start of the first VM, and one for each change of the size
    that lasts.

    :param vms: returns the number of VMs that are listed.
    :param written: returns the record in the store.
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
        written: Callable[[], FleetRecord],
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
        self._started_at = clock.wall()
        self._has_written_start = False

    async def run(self) -> None:
        """Follow the size until cancelled."""
        while True:
            await asyncio.sleep(POLL_MS / 1000)
            await self.run_once()

    async def run_once(self) -> None:
        """Write or remove the record if that is due."""
        now, written = self._clock.now(), self._written()
        if self._rank() or not self._is_current():
            self._differs_since = None
            return
        is_large = self._vms() > self._max_flat_vms
        starts = written.starts
        if is_large and not self._has_written_start:
            starts = [*starts, self._started_at][-MAX_STARTS:]
        vms = written.vms
        if not self._has_changed(written.vms):
            self._differs_since = None
        elif self._differs_since is None:
            self._differs_since = now
        elif now - self._differs_since >= CHANGE_MS:
            vms = self._vms() if is_large else 0
        if vms != written.vms or starts != written.starts:
            await self._write(FleetRecord(vms, starts))

    async def _write(self, record: FleetRecord) -> None:
        values, removed = (), (FLEET_KEY,)
        if record.vms or record.starts:
            values = (LeasedValue(FLEET_KEY, msgspec.json.encode(record)),)
            removed = ()
        outcome = await self._store.commit((), values, removed)
        if isinstance(outcome, Err):
            log.info("record of the fleet not written: {}", outcome.err_value.detail)
        elif self._started_at in record.starts:
            self._has_written_start = True

    def _has_changed(self, written: int) -> bool:
        """Return whether the size in the store is no bound of the real one."""
        vms = self._vms()
        if vms <= self._max_flat_vms:
            return written > 0
        return vms > written or vms < written * SHRINK_FRACTION
