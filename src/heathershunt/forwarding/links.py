"""Watch of this VM's connections to targets, with checks of its own when they fail."""

import asyncio
from collections.abc import Callable

from heathershunt.clock import Clock, Millis
from heathershunt.discovery import TargetRegistry
from heathershunt.forwarding.reachability import EVIDENCE_MS, Reachability
from heathershunt.http import Address, HttpClient
from heathershunt.logs import Event
from heathershunt.logs.forward_events import CutOff, ReachedAgain

# As long as the relays wait for a connection.
CONNECT_MS = 250
# Interval between two connections that look for the return of the links.
PROBE_INTERVAL_MS = 500
# Shortest time between two checks of a VM in doubt.
CHECK_INTERVAL_MS = 250
# Longest wait of a request for the outcome of a check: the rest of one that runs, and
# one more.
SETTLE_MS = 600
# Connections for the question whether another target is reached; some may be down, too.
OTHERS_TRIED = 3


class LinkWatch:
    """Feeds the outcomes of new connections to the decision, and probes targets.

    :param on_cut: called when the VM is cut off, with the time from which its failures
        say nothing about targets.
    :param has_others: returns whether there is another VM to forward requests through.

    .. versionadded:: 0.10
    """

    def __init__(
        self,
        clock: Clock,
        http: HttpClient,
        registry: TargetRegistry,
        emit: Callable[[Event], None],
        on_cut: Callable[[Millis], None],
        has_others: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._http = http
        self._registry = registry
        self._emit = emit
        self._on_cut = on_cut
        self._has_others = has_others
        self._reachability = Reachability(clock, lambda: len(registry))
        self._wake = asyncio.Event()
        self._changed = asyncio.Event()
        self._last_probed = ""
        http.on_connection = self._on_connection

    @property
    def is_cut_off(self) -> bool:
        """Return whether this VM reaches no target."""
        return self._reachability.is_cut_off

    @property
    def is_sound(self) -> bool:
        """Return whether no connection failed since one succeeded."""
        return self._reachability.is_sound

    @property
    def sends_locally(self) -> bool:
        """Return whether requests are sent to targets over the links of this VM."""
        return not (self._reachability.is_cut_off and self._has_others())

    async def has_reached_other(self, target_id: str, since: Millis) -> bool:
        """Return whether another target was reached after a time, or is reached now."""
        if self._reachability.has_reached_since(since):
            return True
        ended = filter(self._has_refused, self._registry.ids())
        others = self._next_targets(OTHERS_TRIED, {target_id, *ended})
        if not others:
            # There is no other target to compare with.
            return not self.is_cut_off
        return any(await asyncio.gather(*map(self._probe, others)))

    def _has_refused(self, target_id: str) -> bool:
        """Return whether a target is known to have ended."""
        target = self._registry.get(target_id)
        return target is not None and self._registry.has_refused(target)

    async def settle(self) -> None:
        """Wait until it is known whether this VM is cut off, for a bounded time."""
        if not self._reachability.is_in_doubt:
            return
        self._wake.set()
        try:
            async with asyncio.timeout(SETTLE_MS / 1000):
                while self._reachability.is_in_doubt:
                    await self._changed.wait()
        except TimeoutError:
            return

    async def run(self) -> None:
        """Check targets while in doubt, and probe them while cut off; never returns."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._reachability.is_in_doubt:
                await self._check()
            while self._reachability.is_cut_off:
                await self._probe_next()

    async def _check(self) -> None:
        """Connect to as many other targets as the decision lacks, all at once."""
        started = self._clock.now()
        failed = self._reachability.failed_ids()
        lacking = max(1, self._reachability.needed - len(failed))
        targets = self._next_targets(lacking, failed)
        await asyncio.gather(*map(self._probe, targets))
        if self._reachability.is_in_doubt:
            spent_ms = self._clock.now() - started
            await asyncio.sleep(max(0, CHECK_INTERVAL_MS - spent_ms) / 1000)

    async def _probe_next(self) -> None:
        started = self._clock.now()
        await asyncio.gather(*map(self._probe, self._next_targets(1, set())))
        if self._reachability.is_cut_off:
            spent_ms = self._clock.now() - started
            await asyncio.sleep(max(0, PROBE_INTERVAL_MS - spent_ms) / 1000)

    def _next_targets(self, count: int, excluded: set[str]) -> list[str]:
        """Return the ids of the targets to connect to, after those of the last time."""
        ids = sorted(key for key in self._registry.ids() if key not in excluded)
        later = [target_id for target_id in ids if target_id > self._last_probed]
        chosen = [*later, *ids][: min(count, len(ids))]
        if chosen:
            self._last_probed = chosen[-1]
        return chosen

    async def _probe(self, target_id: str) -> bool:
        target = self._registry.get(target_id)
        if target is None:
            return False
        return await self._http.accepts(target.address, CONNECT_MS) is True

    def _on_connection(self, address: Address, is_established: bool) -> None:
        """Record how a new connection of the HTTP client ended."""
        reachability = self._reachability
        target_id = self._registry.id_at(address)
        if target_id is None:
            return
        if is_established:
            was_sound = reachability.is_sound
            cut_ms = reachability.record_success()
            if was_sound:
                return
            if cut_ms is not None:
                self._emit(ReachedAgain(target_id, cut_ms))
        elif reachability.record_failure(target_id):
            self._record_cut()
        self._wake.set()
        self._notify()

    def _record_cut(self) -> None:
        since = self._reachability.cut_since or self._clock.now()
        failed = len(self._reachability.failed_ids())
        self._emit(CutOff(failed, self._clock.now() - since))
        # Open connections may have broken before the first new one failed.
        self._on_cut(Millis(since - EVIDENCE_MS))

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
