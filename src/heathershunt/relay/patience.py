"""How long a stream waits for what, from the times that its route states."""

from dataclasses import dataclass

from heathershunt.catalog import Route

# Pause after which the runners are asked who stalls, over the longest pause at which a
# stream is still on time.
SUSPECT_GAP_FACTOR = 1.25
# Part of the longest pause in time after which runners are asked how slow they are.
SLOW_GAP_PART = 0.6
# Time to the first event after which the runners are asked, over its target.
SUSPECT_FIRST_FACTOR = 0.5
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
    :param gap_ms: without a further event; the runners are then asked.
    :param slow_gap_ms: a pause after which runners are asked how slow they are.
    :param room_ms: wait for a chain with room.
    :param leave_ms: pause at a sound chain that is then left for another.

    .. versionadded:: 0.2
    """

    first_ms: float
    gap_ms: float
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
            gap_ms=gap_ms * SUSPECT_GAP_FACTOR,
            slow_gap_ms=gap_ms * SLOW_GAP_PART,
            room_ms=abandoned_ms * WAIT_PART,
            leave_ms=abandoned_ms * GIVE_UP_PART,
        )
