"""Relay of streams over chains of runners."""

from heathershunt.http import Response, StreamResponse
from heathershunt.relay.capacity import CapacityGate
from heathershunt.relay.context import RelayContext
from heathershunt.relay.session import StreamSession
from heathershunt.relay.spec import StreamSpec


class StreamRelay:
    """Opens streams and relays their events.

    .. versionadded:: 0.2
    """

    def __init__(self, context: RelayContext) -> None:
        self._context = context
        self._capacity = CapacityGate(context.clock, context.ledger.waiting)
        context.ledger.on_end = self._capacity.on_run_end

    async def relay(self, spec: StreamSpec) -> Response | StreamResponse:
        """Return the stream once its first event has arrived, or a refusal."""
        self._context.budget.record_request(spec.service)
        self._context.limits.record_request()
        session = StreamSession(self._context, self._capacity, spec)
        try:
            return await session.open()
        except BaseException:
            session.close()
            raise
