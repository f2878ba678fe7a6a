"""Estimator of the gap between two events of a stream."""

from dataclasses import dataclass

# A gap is a stall if it exceeds the estimated 99th percentile by this factor.
STALL_FACTOR = 4
DEVIATIONS_TO_P99 = 3.0


@dataclass(frozen=True, slots=True)
class GapWeights:
    """Weights of a new gap in the moving averages of the gap and its deviation.

    .. versionadded:: 0.4
    """

    mean: float
    deviation: float


# For an estimator that many streams share.
SHARED_WEIGHTS = GapWeights(1 / 64, 1 / 32)
# For an estimator of one stream with some dozen events.
STREAM_WEIGHTS = GapWeights(1 / 8, 1 / 4)


class GapEstimator:
    """Estimates the 99th percentile of gaps from their mean and mean deviation.

    :param min_timeout_ms: lower bound of the stall timeout.
    :param mean_ms: mean before the first gap.
    :param deviation_ms: mean absolute deviation before the first gap.
    :param weights: weights of a new gap.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        min_timeout_ms: float,
        mean_ms: float,
        deviation_ms: float = 0.0,
        weights: GapWeights = SHARED_WEIGHTS,
    ) -> None:
        self._min_timeout_ms = min_timeout_ms
        self._mean = mean_ms
        self._deviation = deviation_ms
        self._weights = weights

    @classmethod
    def from_first_gap(cls, gap_ms: float) -> "GapEstimator":
        """Return an estimator for one stream, initialized with its first gap."""
        return cls(0.0, gap_ms, gap_ms / 2, STREAM_WEIGHTS)

    def observe(self, gap_ms: float) -> None:
        """Update the estimate with one gap."""
        error = gap_ms - self._mean
        self._mean += self._weights.mean * error
        self._deviation += self._weights.deviation * (abs(error) - self._deviation)

    @property
    def p99_ms(self) -> float:
        """Return the estimated 99th percentile of the gaps in milliseconds."""
        return self._mean + DEVIATIONS_TO_P99 * self._deviation

    def stall_timeout_ms(self) -> float:
        """Return the longest gap that is not yet a stall."""
        return max(self._min_timeout_ms, STALL_FACTOR * self.p99_ms)
