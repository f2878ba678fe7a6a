"""What to do about a chain that gives no event."""

from heathershunt.discovery import Target
from heathershunt.logs.request_events import PauseExamined
from heathershunt.pipelines import Chain
from heathershunt.relay.attempts import Attempts
from heathershunt.relay.parts import RelayParts
from heathershunt.relay.progress import StreamProgress
from heathershunt.relay.spec import StreamSpec


class PauseWatch:
    """Judges the pauses of one stream.

    .. versionadded:: 0.3
    """

    def __init__(
        self,
        parts: RelayParts,
        spec: StreamSpec,
        attempts: Attempts,
        progress: StreamProgress,
    ) -> None:
        self._parts = parts
        self._spec = spec
        self._attempts = attempts
        self._progress = progress
        self._patience = spec.patience

    async def examine(self, chain: Chain) -> Target | None:
        """Return the runner that is at fault for a pause, if one is found."""
        faulty = await self._parts.diagnosis.find_faulty(chain)
        event = PauseExamined(
            self._spec.request.id,
            target=chain.head.id,
            after=self._progress.last_id,
            faulty=faulty.id if faulty else None,
        )
        self._parts.events.emit(event)
        return faulty

    def reason_to_leave(
        self, chain: Chain, faulty: Target | None, paused_ms: float
    ) -> str | None:
        """Return why a chain without events is to be left, ``None`` to stay.

        Another chain has to read all tokens again, so a slow one is left late, and only
        while the request may still go elsewhere.
        """
        if faulty is not None:
            return f"runner {faulty.id} does not answer"
        parts = self._parts
        if paused_ms < self._patience.leave_ms or not self._attempts.may_leave(
            chain.head
        ):
            return None
        if not parts.budget.may_leave(self._spec.service, parts.vms()):
            return None
        return f"no event for {paused_ms:.0f} ms"

    def first_look_ms(self) -> float:
        """Return the pause after which a running chain is examined."""
        return self._patience.gap_ms(self._progress.usual_gap_ms)

    def next_look_ms(self, paused_ms: float) -> float:
        """Return when a chain that was not left is examined again.

        Reports are some hundred milliseconds old, so an early look may have missed a
        runner that waits for another one.
        """
        patience = self._patience
        for look_ms in (patience.second_look_ms, patience.leave_ms):
            if paused_ms < look_ms:
                return look_ms - paused_ms
        return patience.leave_ms
