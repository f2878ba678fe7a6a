"""Forwarding of requests through other VMs while this VM is cut off."""

from heathershunt.forwarding.choice import HopChooser
from heathershunt.forwarding.hop import HopClient
from heathershunt.forwarding.race import ForwardSpec, HopRace
from heathershunt.forwarding.streams import HopStream
from heathershunt.http import Response, StreamResponse
from heathershunt.relay.context import RelayContext
from heathershunt.verdict import Refusal


class Forwarder:
    """Gives requests to other VMs and returns their answers.

    :param vm: name of this VM.

    .. versionadded:: 0.10
    """

    def __init__(self, context: RelayContext, vm: str, chooser: HopChooser) -> None:
        self._context = context
        self._vm = vm
        self._chooser = chooser
        self._client = HopClient(context.http, context.clock, chooser)

    async def forward(self, spec: ForwardSpec) -> Response | StreamResponse | Refusal:
        """Return the answer of another VM, or why there is none."""
        race = HopRace(self._context, self._vm, self._chooser, self._client, spec)
        won = await race.run()
        if isinstance(won, Refusal):
            return won
        member, answer = won
        if answer.stream is None:
            return answer.response
        stream = HopStream(
            self._context.clock, self._chooser, race, spec, member, answer.stream
        )
        response = answer.response
        return StreamResponse(
            response.status, response.headers, stream.run, on_closed=stream.close
        )
