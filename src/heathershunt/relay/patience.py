"""How long a stream waits for what, from the times that its route states."""

from dataclasses import dataclass

from heathershunt.catalog import Route

# Pause after which the runners are asked who stalls, over the 99th centile of the
# stream's own pauses, and its bounds over the longest pause in time. What is found
# early can be mended before the stream is late.
SUSPECT_GAP_FACTOR = 1.25
LEAST_SUSPECT_GAP_PART = 0.3
UNKNOWN_SUSPECT_GAP_PART = 0.6
# Pause after which they are asked again, over the longest pause in time.
SECOND_LOOK_FACTOR = 1.25
# Part of the longest pause in time after which runners are asked how slow they are.
SLOW_GAP_PART = 0.6
# Time to the first event after which the runners are asked, over its target.
SUSPECT_FIRST_FACTOR = 0.4
# Pause after which callers leave: the longest of these.
LEAST_ABANDON_MS = 2000
ABANDON_TARGETS = 4
ABANDON_GAPS = 8
# Part of that after which a chain is left though none of its runners is at fault.
GIVE_UP_PART = 0.6
# Part of that for which a stream waits for room.
WAIT_PART = 0.2


@dataclass(frozen=True, slots=True)
class Patience:
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

    first_ms: float
    least_gap_ms: float
    unknown_gap_ms: float
    second_look_ms: float
    slow_gap_ms: float
    room_ms: float
    leave_ms: float

    @classmethod
    def from_route(cls, route: Route) -> "Patience":
        """Return the times of a route."""
        abandoned_ms = max(
            LEAST_ABANDON_MS,
            ABANDON_TARGETS * route.target_latency_ms,
            ABANDON_GAPS * route.target_gap_ms,
        )
        gap_ms = max(1, route.target_gap_ms)
        return cls(
            first_ms=max(1, route.target_latency_ms) * SUSPECT_FIRST_FACTOR,
            least_gap_ms=gap_ms * LEAST_SUSPECT_GAP_PART,
            unknown_gap_ms=gap_ms * UNKNOWN_SUSPECT_GAP_PART,
            second_look_ms=gap_ms * SECOND_LOOK_FACTOR,
            slow_gap_ms=gap_ms * SLOW_GAP_PART,
            room_ms=abandoned_ms * WAIT_PART,
            leave_ms=abandoned_ms * GIVE_UP_PART,
        )

    def gap_ms(self, usual_p99_ms: float | None) -> float:
        """Return the pause after which the runners are asked who stalls.

        :param usual_p99_ms: 99th centile of the stream's pauses, ``None`` if unknown.
        """
        if usual_p99_ms is None:
            return self.unknown_gap_ms
        suspect_ms = max(self.least_gap_ms, SUSPECT_GAP_FACTOR * usual_p99_ms)
        return min(suspect_ms, self.second_look_ms)
