"""Wait for the head of a run's reply, and the checks of its chain meanwhile."""

from result import Err, Result

from heathershunt.clock import Clock
from heathershunt.http import ClientResponse, TransportError
from heathershunt.relay.crashes import BLOCKED_DETAIL, CrashWitness
from heathershunt.relay.pauses import PauseMonitor
from heathershunt.relay.repair import ChainRepair
from heathershunt.relay.runs import Run, StreamBrokenError
from heathershunt.verdict import Progress


class HeadWait:
    """Waits for the reply to one send of a stream.

    :param check_ms: wait after which the chain is first examined, also after a repair.

    .. versionadded:: 0.6
    """

    def __init__(
        self,
        clock: Clock,
        check_ms: float,
        pauses: PauseMonitor,
        repair: ChainRepair,
        crashes: CrashWitness,
    ) -> None:
        self._clock = clock
        self._check_ms = check_ms
        self._pauses = pauses
        self._repair = repair
        self._crashes = crashes

    async def wait_for(self, run: Run) -> Result[ClientResponse, TransportError]:
        """Return the reply once its head has arrived, which is with the first event.

        While the head is late, the runners are polled and a faulty one is replaced;
        the others keep the tokens that they have processed. The wait ends once a part
        of the stream's prompt is blocked.

        :raises RunPausedError: if the run is silent and another one may take over.
        """
        task = run.sending
        wait_ms = self._check_ms
        while not await self._crashes.wait_for(task, wait_ms):
            if self._crashes.is_blocked():
                return Err(TransportError(Progress.SENT, BLOCKED_DETAIL))
            faulty = await self._pauses.examine(run.chain)
            if task.done():
                break
            if faulty is not None and await self._repair.replace(run, faulty):
                wait_ms = self._check_ms
                continue
            paused_ms = self._clock.now() - run.sent_at
            try:
                self._pauses.judge(run, faulty, paused_ms)
            except StreamBrokenError as error:
                return Err(TransportError(Progress.SENT, str(error)))
            wait_ms = self._pauses.next_check_ms(paused_ms)
        return task.result()
