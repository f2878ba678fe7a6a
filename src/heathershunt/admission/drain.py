"""How fast a limited number of places becomes free."""

from heathershunt.clock import Millis

# Weight of one released ticket in the mean; about the last 50 tickets count.
MEAN_WEIGHT = 0.02
# Mean deviations above the mean run time that must be left before the deadline; this
# covers 96 % of an exponential distribution. Goodput at 3 times the capacity is 0.59
# of the bound with none, 0.94 with 2 and 0.98 with 3.
DEVIATIONS = 3.0
# Expected releases without any before the drain counts as stalled; at random times
# the chance of that is about one in 20,000.
STALLED_AFTER_RELEASES = 10


class DrainEstimate:
    """Mean time that one unit of cost holds a place, and the rate this gives.

    The rate of releases itself is no estimate: below saturation it is the rate of
    arrivals.

    :param hold_ms: time per unit of cost to assume before the first release.
    """

    def __init__(self, hold_ms: float) -> None:
        self.hold_ms = hold_ms
        self._mean_cost = 1.0
        self._mean_held_ms = hold_ms
        self._deviation_ms = 0.0
        self._seen = 0
        self._quiet_since = Millis(0)

    def busy(self, now: Millis) -> None:
        """Record that a ticket starts while none is running."""
        self._quiet_since = now

    def released(self, cost: float, held_ms: int, now: Millis) -> None:
        """Record that a ticket of ``cost`` held a place for ``held_ms``."""
        self._seen += 1
        weight = max(MEAN_WEIGHT, 1 / self._seen)
        self._mean_cost += weight * (cost - self._mean_cost)
        self._mean_held_ms += weight * (held_ms - self._mean_held_ms)
        off = abs(held_ms - self.hold_ms * cost)
        self._deviation_ms += weight * (off - self._deviation_ms)
        # The ratio of the means, since small tickets would rule a mean of ratios.
        self.hold_ms = max(self._mean_held_ms / self._mean_cost, 1e-3)
        self._quiet_since = now

    def most_ms(self, cost: float) -> float:
        """Return a time within which nearly all tickets of ``cost`` end."""
        return self.hold_ms * cost + DEVIATIONS * self._deviation_ms

    def rate(self, limit: float, running: int, now: Millis) -> float:
        """Return the cost that leaves per millisecond when all places are taken."""
        rate = limit / self.hold_ms
        quiet_ms = now - self._quiet_since
        expected = quiet_ms * running / (self.hold_ms * self._mean_cost)
        if expected > STALLED_AFTER_RELEASES:
            rate *= STALLED_AFTER_RELEASES / expected
        return rate
