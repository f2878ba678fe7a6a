"""Timeouts of a stream, computed from the target times of its route."""

from dataclasses import dataclass

from heathershunt.catalog import Route

# Pause after which the chain is examined, as a multiple of the 99th percentile of the
# stream's own gaps. It is at least the first fraction of the target gap, and the second
# one while no gap is known. A fault found early can be repaired before the stream is
# late.
GAP_CHECK_FACTOR = 1.25
MIN_GAP_CHECK_FRACTION = 0.3
DEFAULT_GAP_CHECK_FRACTION = 0.6
# Pause after which the chain is examined again, as a multiple of the target gap; the
# first examination comes no later.
RECHECK_FACTOR = 1.25
# Gap after which runners are polled for their pace, as a fraction of the target gap.
SLOW_GAP_FRACTION = 0.6
# Wait for the first event after which the chain is examined, as a fraction of the
# target latency.
FIRST_EVENT_CHECK_FRACTION = 0.4
# Pause after which callers disconnect: the longest of this time, a multiple of the
# target latency and a multiple of the target gap.
MIN_ABANDON_MS = 2000
ABANDON_LATENCY_FACTOR = 4
ABANDON_GAP_FACTOR = 8
# Fraction of that pause after which a chain is left though no runner is at fault.
REROUTE_PAUSE_FRACTION = 0.6
# Fraction of that pause for which a stream waits for a chain with capacity.
CAPACITY_WAIT_FRACTION = 0.2


@dataclass(frozen=True, slots=True)
class StreamTimeouts:
    """Timeouts of one route, in milliseconds.

    :param first_event_check_ms: wait for the first event before the chain is examined.
    :param min_gap_check_ms: shortest pause before the chain is examined.
    :param default_gap_check_ms: the same while the stream's gaps are not known.
    :param recheck_ms: pause after which the chain is examined again.
    :param slow_gap_ms: gap after which the runners are polled for their pace.
    :param capacity_wait_ms: longest wait for a chain with capacity.
    :param reroute_ms: pause after which a chain without a fault is left for another.

    .. versionadded:: 0.2
    """

    first_event_check_ms: float
    min_gap_check_ms: float
    default_gap_check_ms: float
    recheck_ms: float
    slow_gap_ms: float
    capacity_wait_ms: float
    reroute_ms: float

    @classmethod
    def from_route(cls, route: Route) -> "StreamTimeouts":
        """Return the timeouts of a route."""
        abandoned_ms = max(
            MIN_ABANDON_MS,
            ABANDON_LATENCY_FACTOR * route.target_latency_ms,
            ABANDON_GAP_FACTOR * route.target_gap_ms,
        )
        gap_ms = max(1, route.target_gap_ms)
        return cls(
            first_event_check_ms=max(1, route.target_latency_ms)
            * FIRST_EVENT_CHECK_FRACTION,
            min_gap_check_ms=gap_ms * MIN_GAP_CHECK_FRACTION,
            default_gap_check_ms=gap_ms * DEFAULT_GAP_CHECK_FRACTION,
            recheck_ms=gap_ms * RECHECK_FACTOR,
            slow_gap_ms=gap_ms * SLOW_GAP_FRACTION,
            capacity_wait_ms=abandoned_ms * CAPACITY_WAIT_FRACTION,
            reroute_ms=abandoned_ms * REROUTE_PAUSE_FRACTION,
        )

    def gap_check_ms(self, p99_ms: float | None) -> float:
        """Return the pause after which the chain is examined.

        :param p99_ms: 99th percentile of the stream's gaps; ``None`` if unknown.
        """
        if p99_ms is None:
            return self.default_gap_check_ms
        check_ms = max(self.min_gap_check_ms, GAP_CHECK_FACTOR * p99_ms)
        return min(check_ms, self.recheck_ms)
