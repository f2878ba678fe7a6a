"""Latency histograms that can be merged across processes."""

from hdrh.histogram import HdrHistogram

MICROSECONDS_PER_MILLISECOND = 1000
HIGHEST_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 3


class Latencies:
    """Histogram of latencies in milliseconds, with microsecond resolution."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)

    def add(self, milliseconds: float) -> None:
        """Record one latency, limited to the range of the histogram."""
        value = round(milliseconds * MICROSECONDS_PER_MILLISECOND)
        # The histogram drops values beyond its range without an error.
        self._histogram.record_value(min(max(1, value), HIGHEST_MICROSECONDS))

    def add_encoded(self, encoded: bytes) -> None:
        """Add a histogram that another process encoded."""
        self._histogram.decode_and_add(encoded)

    def encode(self) -> bytes:
        """Return the histogram in the form that :meth:`add_encoded` reads."""
        return self._histogram.encode()

    @property
    def count(self) -> int:
        """Return the number of latencies recorded."""
        return self._histogram.get_total_count()

    def centile(self, percent: float) -> float:
        """Return the latency in ms that ``percent`` of the records do not exceed."""
        value = self._histogram.get_value_at_percentile(percent)
        return value / MICROSECONDS_PER_MILLISECOND
