"""Relay of streams over chains of runners."""

from heathershunt.http import Response, StreamResponse
from heathershunt.relay.capacity import CapacityGate
from heathershunt.relay.context import RelayContext
from heathershunt.relay.earlier import Fallback, no_fallback
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

    def waiting(self, service: str) -> int:
        """Return how many streams of a service wait for a chain.

        .. versionadded:: 0.10
        """
        return self._capacity.waiting(service)

    async def relay(
        self, spec: StreamSpec, fallback: Fallback = no_fallback
    ) -> Response | StreamResponse:
        """Return the stream once its first event has arrived, or a refusal.

        :param fallback: asked for an answer before the stream is refused.
        """
        if not spec.earlier.is_counted:
            self._context.budget.record_request(spec.service)
        self._context.limits.record_request()
        session = StreamSession(self._context, self._capacity, spec, fallback)
        try:
            return await session.open()
        except BaseException:
            session.close()
            raise
