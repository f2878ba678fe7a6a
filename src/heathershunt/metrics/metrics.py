"""The metrics registry of one daemon."""

from collections import Counter as Tally
from collections.abc import Callable

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from heathershunt.verdict import Verdict

PREFIX = "heathershunt_"
# Bounds of the buckets; they include the latency targets: 0.39 s to the first token and
# 34 ms between tokens.
FIRST_TOKEN_SECONDS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.39, 0.5, 1.0, 2.5, 5.0, 10.0)
GAP_SECONDS = (0.001, 0.0025, 0.005, 0.01, 0.02, 0.034, 0.05, 0.1, 0.25, 0.5, 1.0)
LAG_SECONDS = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1.0)
MILLISECONDS_PER_SECOND = 1000


class Metrics:
    """Counters, histograms and gauges of one daemon.

    Counts are kept as plain integers and copied to the registry when the metrics are
    rendered: an increment of a labelled counter of the registry takes microseconds, and
    a busy VM relays 13,334 tokens per second.

    :ivar tokens: tokens relayed to callers; add 1 for each.

    .. versionadded:: 0.1
    """

    def __init__(self) -> None:
        self.tokens = 0
        self._requests: Tally[tuple[str, str]] = Tally()
        self._epochs: Tally[str] = Tally()
        self._retries: Tally[str] = Tally()
        self._cuts: Tally[tuple[str, bool]] = Tally()
        self._gauge_readers: list[tuple[Gauge, Callable[[], float]]] = []
        self._registry = Registry()
        self._requests_counter = self._counter("requests_total", "ended requests")
        self._tokens_counter = self._counter(
            "tokens_total", "tokens relayed to callers"
        )
        self._epochs_counter = self._counter(
            "epochs_total", "epochs of drafts by outcome"
        )
        self._retries_counter = self._counter(
            "retries_total", "retried attempts by cause"
        )
        self._cuts_counter = self._counter(
            "answers_cut_total",
            "requests whose connection closed before the end of their answer",
        )
        self._first_token = self._histogram(
            "first_token_seconds",
            "from the request to its first token",
            FIRST_TOKEN_SECONDS,
        )
        self._token_gap = self._histogram(
            "token_gap_seconds", "mean gap between the tokens of a draft", GAP_SECONDS
        )
        self._loop_lag = self._histogram(
            "event_loop_lag_seconds",
            "lateness of timers of the event loop",
            LAG_SECONDS,
        )

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(PREFIX + name, doc, registry=self._registry)

    def _histogram(self, name: str, doc: str, buckets: tuple[float, ...]) -> Histogram:
        return Histogram(PREFIX + name, doc, registry=self._registry, buckets=buckets)

    def count_request(self, verdict: Verdict, account_class: str) -> None:
        """Count a request that has ended, by verdict and account class.

        :param account_class: priority of the client account; empty without an account.
        """
        self._requests[verdict.value, account_class] += 1

    def count_epoch(self, outcome: str) -> None:
        """Count an epoch by its outcome: ``failed`` or ``whole``."""
        self._epochs[outcome] += 1

    def count_retry(self, cause: str) -> None:
        """Count a retried attempt by the cause of the retry."""
        self._retries[cause] += 1

    def count_cut(self, cause: str, has_begun: bool) -> None:
        """Count a connection that closed before the end of an answer, by its cause.

        :param has_begun: whether the head of the answer was written.
        """
        self._cuts[cause, has_begun] += 1

    def observe_first_token(self, milliseconds: float) -> None:
        """Record the time from a request to its first token."""
        self._first_token.observe({}, milliseconds / MILLISECONDS_PER_SECOND)

    def observe_mean_gap(self, tokens: int, milliseconds: float) -> None:
        """Record the mean gap between the tokens of a complete draft.

        :param tokens: number of tokens of the draft; no gap is recorded below two.
        :param milliseconds: time from the first to the last token.
        """
        if tokens > 1:
            mean = milliseconds / (tokens - 1)
            self._token_gap.observe({}, mean / MILLISECONDS_PER_SECOND)

    def observe_lag(self, milliseconds: float) -> None:
        """Record the lateness of a timer of the event loop."""
        self._loop_lag.observe({}, milliseconds / MILLISECONDS_PER_SECOND)

    def add_gauge(self, name: str, doc: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value is read whenever the metrics are rendered."""
        gauge = Gauge(PREFIX + name, doc, registry=self._registry)
        self._gauge_readers.append((gauge, read))

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return all metrics in the text format, and the headers of the response."""
        for (verdict, account_class), count in self._requests.items():
            labels = {"verdict": verdict, "account_class": _escape_label(account_class)}
            self._requests_counter.set(labels, count)
        self._tokens_counter.set({}, self.tokens)
        for outcome, count in self._epochs.items():
            self._epochs_counter.set({"outcome": _escape_label(outcome)}, count)
        for cause, count in self._retries.items():
            self._retries_counter.set({"cause": _escape_label(cause)}, count)
        for (cause, has_begun), count in self._cuts.items():
            labels = {"cause": _escape_label(cause), "begun": str(has_begun).lower()}
            self._cuts_counter.set(labels, count)
        for gauge, read in self._gauge_readers:
            gauge.set({}, read())
        body, headers = render(self._registry, [])
        return body, {name.lower(): value for name, value in headers.items()}


def _escape_label(value: str) -> str:
    """Return a label value escaped, because the library writes values unescaped."""
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
