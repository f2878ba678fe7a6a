"""Estimates of the time between two events of a stream."""

from dataclasses import dataclass

GAP_FACTOR = 4
DEVIATIONS_TO_P99 = 3.0


@dataclass(frozen=True, slots=True)
class GapWeights:
    """Weight of one gap in the running means.

    .. versionadded:: 0.4
    """

    mean: float
    deviation: float


# For an estimate that many streams share.
SHARED_WEIGHTS = GapWeights(1 / 64, 1 / 32)
# For an estimate of one stream of some dozen events.
STREAM_WEIGHTS = GapWeights(1 / 8, 1 / 4)


class GapEstimator:
    """Estimates the 99th centile of a gap from its mean and mean deviation.

    :param floor_ms: least deadline.
    :param mean_ms: mean before the first gap.
    :param deviation_ms: mean deviation before the first gap.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        floor_ms: float,
        mean_ms: float,
        deviation_ms: float = 0.0,
        weights: GapWeights = SHARED_WEIGHTS,
    ) -> None:
        self._floor_ms = floor_ms
        self._mean = mean_ms
        self._deviation = deviation_ms
        self._weights = weights

    @classmethod
    def from_first_gap(cls, gap_ms: float) -> "GapEstimator":
        """Return the estimator of one stream after its first gap."""
        return cls(0.0, gap_ms, gap_ms / 2, STREAM_WEIGHTS)

    def observe(self, gap_ms: float) -> None:
        """Take one gap into account."""
        error = gap_ms - self._mean
        self._mean += self._weights.mean * error
        self._deviation += self._weights.deviation * (abs(error) - self._deviation)

    @property
    def p99_ms(self) -> float:
        """Return the estimated 99th centile."""
        return self._mean + DEVIATIONS_TO_P99 * self._deviation

    def deadline_ms(self) -> float:
        """Return the longest gap that is not yet a stall."""
        return max(self._floor_ms, GAP_FACTOR * self.p99_ms)
