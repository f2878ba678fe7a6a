"""Reading of a run's events, and the checks of its chain during pauses."""

import asyncio

import h11
import logbook

from heathershunt.clock import Clock, Millis
from heathershunt.relay.crashes import CrashWitness
from heathershunt.relay.events import StreamEvent
from heathershunt.relay.pauses import PauseMonitor
from heathershunt.relay.progress import StreamProgress
from heathershunt.relay.repair import ChainRepair
from heathershunt.relay.runs import Run, StreamBrokenError

READ_ERRORS = (OSError, TimeoutError, h11.RemoteProtocolError)

log = logbook.Logger("heathershunt.relay")


class RunReader:
    """Reads the events of one stream, and replaces runners that stall it.

    :param deadline: time by which the stream must have ended.
    :param crashes: told how far the runs of the stream come.

    .. versionadded:: 0.4
    """

    def __init__(
        self,
        clock: Clock,
        deadline: Millis,
        pauses: PauseMonitor,
        repair: ChainRepair,
        progress: StreamProgress,
        crashes: CrashWitness,
    ) -> None:
        self._clock = clock
        self._deadline = deadline
        self._pauses = pauses
        self._repair = repair
        self._progress = progress
        self._crashes = crashes

    async def next_events(
        self, run: Run, check_after_ms: float
    ) -> list[StreamEvent] | None:
        """Return the next complete events; ``None`` at the end of the stream.

        A pause lasts until an event is complete, whatever other bytes arrive.

        :param check_after_ms: pause after which the chain is first examined.
        :raises RunPausedError: if the run is silent and another one may take over.
        :raises ConnectionError: if the run broke off, its first runner is known to have
            ended, or the deadline has passed.
        """
        now = self._clock.now
        check_at = now() + check_after_ms
        while True:
            try:
                data = await self._read_until(run, check_at)
            except TimeoutError:
                check_at = now() + await self._handle_pause(run)
                continue
            events = run.next_events(data)
            if events is None:
                self._crashes.on_whole(run)
                return None
            if events:
                self._crashes.on_events(run)
                return events

    async def _handle_pause(self, run: Run) -> float:
        """Find and replace the runner at fault for a pause.

        :return: milliseconds until the next check, if the chain is kept.
        """
        faulty = await self._pauses.examine(run.chain)
        if faulty is not None and await self._repair.replace(run, faulty):
            # The new chain may contain a dead runner too.
            return self._pauses.first_check_ms()
        paused_ms = self._progress.paused_ms
        self._pauses.judge(run, faulty, paused_ms)
        return self._pauses.next_check_ms(paused_ms)

    async def _read_until(self, run: Run, check_at: float) -> bytes | None:
        """Read bytes; raise ``TimeoutError`` if none arrive by ``check_at``."""
        now = self._clock.now()
        if now >= self._deadline:
            raise StreamBrokenError("the time limit has passed")
        left_ms = max(0, min(check_at, self._deadline) - now)
        async with asyncio.timeout(left_ms / 1000):
            return await run.response.read_some()


async def read_error_body(run: Run, left_ms: int) -> bytes | None:
    """Return the body of an error reply; ``None`` if it is not complete in time."""
    try:
        async with asyncio.timeout(left_ms / 1000):
            return await run.response.read()
    except READ_ERRORS as error:
        head = run.chain.head.id
        log.info("error body from runner {} is incomplete: {!r}", head, error)
        return None
