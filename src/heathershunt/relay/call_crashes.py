"""What one plain call shows about itself, and whether it may be sent."""

from heathershunt.clock import Millis
from heathershunt.crashes import Evidence, RunnerCrash
from heathershunt.discovery import Target
from heathershunt.logs.request_events import CallBroken
from heathershunt.relay.crashes import Witness
from heathershunt.relay.endings import Ending


class CallWitness(Witness):
    """Reports the crashes of one call's targets, and checks the call.

    .. versionadded:: 0.8
    """

    async def on_broken_off(self, target: Target, sent_at: Millis) -> None:
        """Report a call that its target broke off, if the target's process ended.

        What had begun at the target is not known, so all calls that it had count as
        begun: those that are sound are cleared by their next answer.
        """
        context = self._context
        ending = await context.endings.find(target)
        event = CallBroken(self._request.id, target.id, ending.value, self._keys.own)
        context.events.emit(event)
        if ending is not Ending.CRASHED:
            return
        self._crashes += 1
        self._guard.record_crash(
            self._account,
            self._keys,
            RunnerCrash(target.id, target.incarnation),
            sent_at,
            Evidence.BEGUN,
        )
