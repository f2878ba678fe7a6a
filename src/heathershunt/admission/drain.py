"""Estimate of the rate at which running tickets free their slots."""

from heathershunt.clock import Millis

# Weight of one released ticket in the moving averages; about the last 50 count.
MEAN_WEIGHT = 0.02
# A run is expected to need its mean run time plus this many mean deviations, which
# covers 96 % of an exponential distribution. With load at 3 times the capacity,
# goodput is 0.59 of the capacity with none, 0.94 with 2 and 0.98 with 3.
DEVIATIONS = 3.0
# The drain counts as stalled if this many releases were expected and none occurred. If
# releases occur at random times, the chance of that is about one in 20,000.
STALLED_AFTER_RELEASES = 10


class DrainEstimate:
    """Estimates the drain rate from the mean run time of one unit of cost.

    The measured rate of releases cannot serve as the estimate, because below
    saturation it equals the rate of arrivals.

    :param hold_ms: run time per unit of cost to assume before the first release.
    """

    def __init__(self, hold_ms: float) -> None:
        self.hold_ms = hold_ms
        self._mean_cost = 1.0
        self._mean_held_ms = hold_ms
        self._deviation_ms = 0.0
        self._samples = 0
        self._last_progress_at = Millis(0)

    def start_busy_period(self, now: Millis) -> None:
        """Record that a ticket starts at ``now`` while none is running."""
        self._last_progress_at = now

    def record_release(self, cost: float, held_ms: int, now: Millis) -> None:
        """Record that a ticket of ``cost`` ran for ``held_ms``."""
        self._samples += 1
        weight = max(MEAN_WEIGHT, 1 / self._samples)
        self._mean_cost += weight * (cost - self._mean_cost)
        self._mean_held_ms += weight * (held_ms - self._mean_held_ms)
        deviation = abs(held_ms - self.hold_ms * cost)
        self._deviation_ms += weight * (deviation - self._deviation_ms)
        # The ratio of the means: small tickets would dominate a mean of the ratios.
        self.hold_ms = max(self._mean_held_ms / self._mean_cost, 1e-3)
        self._last_progress_at = now

    def upper_bound_ms(self, cost: float) -> float:
        """Return a run time in ms that nearly all tickets of ``cost`` stay below."""
        return self.hold_ms * cost + DEVIATIONS * self._deviation_ms

    def rate(self, limit: float, running: int, now: Millis) -> float:
        """Return the cost completed per millisecond when ``limit`` tickets run.

        The rate is reduced while releases are overdue for the ``running`` tickets.
        """
        rate = limit / self.hold_ms
        elapsed_ms = now - self._last_progress_at
        expected = elapsed_ms * running / (self.hold_ms * self._mean_cost)
        if expected > STALLED_AFTER_RELEASES:
            rate *= STALLED_AFTER_RELEASES / expected
        return rate
