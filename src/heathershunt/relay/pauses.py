"""Checks of a chain that sends no events, and when to leave it."""

from heathershunt.discovery import Step, Target, allows
from heathershunt.logs.run_events import PauseExamined
from heathershunt.pipelines import Chain
from heathershunt.relay.attempts import Attempts
from heathershunt.relay.context import RelayContext
from heathershunt.relay.progress import StreamProgress
from heathershunt.relay.runs import Run, RunPausedError, StreamBrokenError
from heathershunt.relay.spec import StreamSpec


class PauseMonitor:
    """Examines the pauses of one stream, and decides when to leave its chain.

    .. versionadded:: 0.3
    """

    def __init__(
        self,
        context: RelayContext,
        spec: StreamSpec,
        attempts: Attempts,
        progress: StreamProgress,
    ) -> None:
        self._context = context
        self._spec = spec
        self._attempts = attempts
        self._progress = progress
        self._timeouts = spec.timeouts

    async def examine(self, chain: Chain) -> Target | None:
        """Return the runner that is at fault for a pause, if one is found."""
        faulty = await self._context.diagnosis.find_faulty(chain)
        event = PauseExamined(
            self._spec.request.id,
            target=chain.head.id,
            after=self._progress.last_id,
            faulty=faulty.id if faulty else None,
        )
        self._context.events.emit(event)
        return faulty

    def judge(self, run: Run, faulty: Target | None, paused_ms: float) -> None:
        """Return if a silent run is to be waited for; else raise.

        Neither a silence nor a missing entry means that a runner has ended.

        :param faulty: runner at fault for the silence; ``None`` if all seem sound.
        :raises RunPausedError: if another run may take over.
        :raises StreamBrokenError: if the first runner is known to have ended.
        """
        if not run.is_patient:
            detail = self.reroute_reason(run.chain, faulty, paused_ms)
            if detail is not None:
                raise RunPausedError(detail, faulty)
            return
        head = run.chain.head
        is_head_faulty = faulty is not None and faulty.id == head.id
        if is_head_faulty and allows(Step.CUT, self._context.registry.facts(head)):
            raise StreamBrokenError(f"runner {head.id} has ended")

    def reroute_reason(
        self, chain: Chain, faulty: Target | None, paused_ms: float
    ) -> str | None:
        """Return why a chain without events is to be left; ``None`` to keep it.

        Another chain has to process all tokens again, so a slow one is left late, and
        only while another first runner is allowed and a retry is left. A stream that
        may not be sent again is left to a chain that has no fault.
        """
        if faulty is not None:
            return f"runner {faulty.id} does not answer"
        context = self._context
        if not self._spec.route.is_retryable:
            return None
        if paused_ms < self._timeouts.reroute_ms or not self._attempts.may_reroute(
            chain.head
        ):
            return None
        if not context.budget.may_reroute(self._spec.service, context.vm_count()):
            return None
        return f"no event for {paused_ms:.0f} ms"

    def first_check_ms(self) -> float:
        """Return the pause after which a running chain is first examined."""
        return self._timeouts.gap_check_ms(self._progress.p99_gap_ms)

    def next_check_ms(self, paused_ms: float) -> float:
        """Return the time until a chain that was kept is examined again.

        Reports are some hundred milliseconds old, so an early check may have missed a
        runner that waits for another one.
        """
        timeouts = self._timeouts
        for check_ms in (timeouts.recheck_ms, timeouts.reroute_ms):
            if paused_ms < check_ms:
                return check_ms - paused_ms
        return timeouts.reroute_ms
