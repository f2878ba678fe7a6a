"""Counters, histograms and gauges of a gateway, in the text format of Prometheus."""

from collections import Counter as Tally
from collections.abc import Callable, Mapping

import logbook
from aioprometheus import Counter, Gauge, Histogram, Registry, render

from heathershunt.gateway.where import Where
from heathershunt.gateway.where_messages import WHERE_PATH
from heathershunt.http import HttpServer, Request, Response
from heathershunt.logs import Event
from heathershunt.logs.request_events import CallEnded, Sent, StreamEnded

PREFIX = "heathershunt_gateway_"
METRICS_PATH = "/metrics"
FIRST_EVENT_SECONDS = (0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0)
GAP_SECONDS = (0.025, 0.05, 0.1, 0.2, 0.4, 1.0, 2.0, 5.0)
CALL_SECONDS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 2.0)
WAIT_SECONDS = (0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 1.0)
MILLISECONDS_PER_SECOND = 1000

log = logbook.Logger("heathershunt.gateway")


class GatewayMetrics:
    """Counts logged events and reads gauges whenever the metrics are fetched.

    No label holds a request, an API key or a client account, which bounds the number of
    time series.

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        self._registry = Registry()
        self._tally: Tally[tuple[str, str]] = Tally()
        self._gauge_readers: list[tuple[Gauge, Callable[[], float | None]]] = []
        self._labelled_readers: list[
            tuple[Gauge, str, Callable[[], Mapping[int, float]]]
        ] = []
        self._events = Counter(
            PREFIX + "events_total", "logged events", registry=self._registry
        )
        self._first_event = self._histogram(
            "first_event_seconds", "time to a stream's first event", FIRST_EVENT_SECONDS
        )
        self._gap = self._histogram(
            "longest_gap_seconds", "longest pause in a stream", GAP_SECONDS
        )
        self._call = self._histogram(
            "call_seconds", "time to the answer of a plain call", CALL_SECONDS
        )
        self._wait = self._histogram(
            "wait_seconds", "time in the gateway before the first send", WAIT_SECONDS
        )

    def _histogram(self, name: str, doc: str, buckets: tuple[float, ...]) -> Histogram:
        return Histogram(PREFIX + name, doc, registry=self._registry, buckets=buckets)

    def add_gauge(self, name: str, doc: str, read: Callable[[], float | None]) -> None:
        """Add a gauge that is read at each fetch; ``None`` if the value is unknown."""
        gauge = Gauge(PREFIX + name, doc, registry=self._registry)
        self._gauge_readers.append((gauge, read))

    def add_gauge_by(
        self,
        name: str,
        doc: str,
        label: str,
        read: Callable[[], Mapping[int, float]],
    ) -> None:
        """Add a gauge with one value for each value of a label, read at each fetch.

        :param read: returns the values by label; one that was returned once must be
            returned again, also if it is 0.
        """
        gauge = Gauge(PREFIX + name, doc, registry=self._registry)
        self._labelled_readers.append((gauge, label, read))

    def on_event(self, event: Event) -> None:
        """Count an event and observe the durations in its fields."""
        field = event.outcome_field
        outcome = "" if field is None else str(getattr(event, field))
        self._tally[event.name, outcome] += 1
        if isinstance(event, StreamEnded):
            if event.first_event_ms is not None:
                _observe(self._first_event, event.first_event_ms)
            _observe(self._gap, event.longest_gap_ms)
        elif isinstance(event, CallEnded):
            _observe(self._call, event.elapsed_ms)
        elif isinstance(event, Sent) and not event.sends:
            _observe(self._wait, event.waited_ms)

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return all metrics in the text format, and the headers of the response."""
        for (event, outcome), count in self._tally.items():
            self._events.set({"event": event, "outcome": outcome}, count)
        for gauge, read in self._gauge_readers:
            value = read()
            if value is not None:
                gauge.set({}, value)
        for gauge, label, read_by_label in self._labelled_readers:
            for key, value in read_by_label().items():
                gauge.set({label: str(key)}, value)
        body, headers = render(self._registry, [])
        return body, {name.lower(): value for name, value in headers.items()}

    async def handle(self, request: Request) -> Response:
        """Return the response to a request for the metrics."""
        if request.path != METRICS_PATH:
            return Response(404)
        body, headers = self.render()
        return Response(200, headers, body)


def _observe(histogram: Histogram, milliseconds: int) -> None:
    histogram.observe({}, milliseconds / MILLISECONDS_PER_SECOND)


class MetricsServer:
    """Serves the metrics of a gateway, and where requests would go.

    .. versionadded:: 0.7
    """

    def __init__(self, metrics: GatewayMetrics, where: Where) -> None:
        self._metrics = metrics
        self._where = where
        self._server = HttpServer(self._handle)

    async def _handle(self, request: Request) -> Response:
        if request.path == WHERE_PATH:
            return await self._where.handle(request)
        return await self._metrics.handle(request)

    async def start(self, host: str, port: int) -> None:
        """Listen; the gateway runs without metrics if the port cannot be bound."""
        try:
            await self._server.start(host, port)
        except OSError as error:
            log.warning("metrics are not served: cannot listen on {}: {}", host, error)

    def close_now(self) -> None:
        """Close the listener and its connections."""
        self._server.close_now()
