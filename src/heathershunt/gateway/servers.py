"""Servers of one gateway: for callers, readiness checks, the directory and VMs."""

import asyncio

import logbook

from heathershunt.clock import Clock, Millis
from heathershunt.coordination import ViewMirror
from heathershunt.forwarding import ForwardReceiver
from heathershunt.gateway.config import Listeners
from heathershunt.gateway.configurations import (
    CONFIGURATION_PATH,
    ConfigurationInquiry,
)
from heathershunt.gateway.directory import Directory, check_get
from heathershunt.gateway.exchanges import PeerExchanges
from heathershunt.gateway.metrics import GatewayMetrics, MetricsServer
from heathershunt.gateway.ports import Decoder
from heathershunt.gateway.request_handler import RequestHandler
from heathershunt.gateway.where import Where
from heathershunt.http import (
    AnswerCut,
    HttpLimits,
    HttpServer,
    Request,
    Response,
    StreamResponse,
    correlated,
)
from heathershunt.logs import EventLog
from heathershunt.logs.request_events import AnswerLost
from heathershunt.verdict import Refusal

log = logbook.Logger("heathershunt.gateway")

# Time after the stop signal during which new connections are still accepted, as callers
# use addresses from earlier directory answers.
ACCEPT_AFTER_STOP_MS = 1000
# Part of the grace time that is reserved for closing connections.
STOP_MARGIN_MS = 500
DRAIN_POLL_MS = 50
# Requests that arrive so shortly before the end of the grace time are refused.
LATE_REQUEST_MS = 500
# Size of a forwarded request beyond its header fields and its body.
FORWARD_MARGIN_BYTES = 65_536


class GatewayServers:
    """Decodes requests and passes each to the part that answers it.

    :ivar callers: server for callers' requests.

    .. versionadded:: 0.8
    """

    def __init__(
        self,
        clock: Clock,
        decoder: Decoder,
        events: EventLog,
        request_handler: RequestHandler,
        directory: Directory,
        inquiry: ConfigurationInquiry,
        exchanges: PeerExchanges,
        receiver: ForwardReceiver,
        mirror: ViewMirror,
        metrics: GatewayMetrics,
        where: Where,
    ) -> None:
        self._clock = clock
        self._decoder = decoder
        self._events = events
        self._request_handler = request_handler
        self._answers = directory
        self._inquiry = inquiry
        self._exchanges = exchanges
        self._receiver = receiver
        self._mirror = mirror
        self.callers = HttpServer(
            self._handle_caller, cancels_handlers=True, on_cut=self._on_cut
        )
        self._readiness = HttpServer(self._handle_readiness)
        self._directory = HttpServer(self._handle_directory)
        self._peers = HttpServer(
            correlated(self._handle_peer), cancels_handlers=receiver.takes
        )
        self._metrics = MetricsServer(metrics, where)

    async def start(self, listeners: Listeners, metrics_port: int) -> None:
        """Bind all listeners.

        :raises OSError: if one cannot be bound; the gateway runs without metrics.
        """
        for server, address in (
            (self.callers, listeners.callers),
            (self._readiness, listeners.readiness),
            (self._directory, listeners.directory),
            (self._peers, listeners.peers),
        ):
            await server.start(address.host, address.port)
        await self._metrics.start(listeners.callers.host, metrics_port)

    def set_limits(self, limits: HttpLimits) -> None:
        """Set the limits on callers' requests, also on those that VMs forward."""
        self.callers.limits = limits
        size = limits.header_bytes + limits.body_bytes + FORWARD_MARGIN_BYTES
        body_bytes = max(HttpLimits.body_bytes, size)
        self._peers.limits = HttpLimits(body_bytes=body_bytes)

    async def finish_requests(self, started: Millis, grace_ms: int) -> None:
        """Wait until the callers' requests have ended, at most for the grace time.

        :param started: time of the stop signal.
        """
        deadline = started + grace_ms - STOP_MARGIN_MS
        self._request_handler.gate.ends_at = Millis(deadline)
        accepting_until = started + ACCEPT_AFTER_STOP_MS
        is_accepting = True
        while (now := self._clock.now()) < deadline:
            self.callers.drain()
            self._request_handler.is_stopping = now >= deadline - LATE_REQUEST_MS
            if is_accepting and now >= accepting_until:
                self.callers.stop_accepting()
                is_accepting = False
            if not is_accepting and not self._has_requests():
                break
            await asyncio.sleep(DRAIN_POLL_MS / 1000)

    def _has_requests(self) -> bool:
        active = self._receiver.active_requests
        return bool(active or self.callers.pending_connections)

    def close_now(self, refusal: Refusal) -> None:
        """Close all listeners and connections.

        :param refusal: answer to callers whose answer has not begun.
        """
        self.callers.close_now(refusal)
        for server in (self._readiness, self._directory, self._peers, self._metrics):
            server.close_now()

    async def _handle_caller(self, request: Request) -> Response | StreamResponse:
        try:
            decoded = self._decoder.request(request)
        except ValueError as error:
            log.info("malformed request: {}", error)
            return Response(400, {"content-type": "text/plain"}, str(error).encode())
        return await self._request_handler.handle(decoded)

    def _on_cut(self, cut: AnswerCut) -> None:
        request = cut.request
        request_id = "" if request is None else self._decoder.request_id(request)
        event = AnswerLost(request_id, cut.cause.value, cut.has_begun, cut.detail)
        self._events.emit(event)

    async def _handle_readiness(self, request: Request) -> Response:
        refusal = check_get(request, self._decoder.ready_path)
        return refusal or self._answers.readiness()

    async def _handle_directory(self, request: Request) -> Response:
        refusal = check_get(request, self._decoder.resolve_path)
        return refusal or self._answers.answer(self._decoder.caller_domain(request))

    async def _handle_peer(self, request: Request) -> Response | StreamResponse:
        if self._receiver.takes(request):
            return await self._receiver.handle(request)
        if request.path == CONFIGURATION_PATH:
            return await self._inquiry.handle(request)
        response = await self._exchanges.handle(request)
        return response or await self._mirror.handle(request)
