"""How long a stream waits for what, from the times that its route states."""

from dataclasses import dataclass

from heathershunt.catalog import Route

# Pause after which the runners are asked who stalls, over the 99th centile of the
# stream's own pauses, and its bounds over the longest pause in time. What is found
# early can be mended before the stream is late.
GAP_CHECK_FACTOR = 1.25
MIN_GAP_CHECK_FRACTION = 0.3
DEFAULT_GAP_CHECK_FRACTION = 0.6
# Pause after which they are asked again, over the longest pause in time.
RECHECK_FACTOR = 1.25
# Part of the longest pause in time after which runners are asked how slow they are.
SLOW_GAP_FRACTION = 0.6
# Time to the first event after which the runners are asked, over its target.
FIRST_EVENT_CHECK_FRACTION = 0.4
# Pause after which callers leave: the longest of these.
MIN_ABANDON_MS = 2000
ABANDON_LATENCY_FACTOR = 4
ABANDON_GAP_FACTOR = 8
# Part of that after which a chain is left though none of its runners is at fault.
REROUTE_PAUSE_FRACTION = 0.6
# Part of that for which a stream waits for room.
CAPACITY_WAIT_FRACTION = 0.2


@dataclass(frozen=True, slots=True)
class StreamTimeouts:
    """Times of one route, in milliseconds.

    :param first_ms: without a first event; the runners are then asked.
    :param least_gap_ms: without a further event; the runners are not asked earlier.
    :param unknown_gap_ms: the same for a stream whose usual pauses are not known.
    :param second_look_ms: pause after which the runners are asked again.
    :param slow_gap_ms: a pause after which runners are asked how slow they are.
    :param room_ms: wait for a chain with room.
    :param leave_ms: pause at a sound chain that is then left for another.

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
        """Return the times of a route."""
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
        """Return the pause after which the runners are asked who stalls.

        :param usual_p99_ms: 99th centile of the stream's pauses, ``None`` if unknown.
        """
        if p99_ms is None:
            return self.default_gap_check_ms
        suspect_ms = max(self.min_gap_check_ms, GAP_CHECK_FACTOR * p99_ms)
        return min(suspect_ms, self.recheck_ms)
