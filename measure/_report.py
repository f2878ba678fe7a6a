"""Figures of a measurement: one tab-separated line each, and latency histograms."""

import os
from pathlib import Path

from hdrh.histogram import HdrHistogram

MICROSECONDS_PER_MILLISECOND = 1000
HIGHEST_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 3
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
STAT_UTIME, STAT_STIME = 11, 12


def emit(name: str, value: float, unit: str, bound: str = "-") -> None:
    """Print one figure.

    :param bound: the bound or baseline the value is read against, in words.
    """
    text = f"{value:.4g}" if isinstance(value, float) else str(value)
    print(f"{name}\t{text}\t{unit}\t{bound}", flush=True)


def emit_conditions(measurement: str, seed: int) -> None:
    """Print the seed and the load of the machine."""
    emit(f"{measurement}.seed", seed, "seed")
    emit(f"{measurement}.machine_load", os.getloadavg()[0], "processes", "10 cores")


class Latencies:
    """Histogram of latencies in milliseconds, with microsecond resolution."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)

    def add(self, milliseconds: float) -> None:
        """Record one latency."""
        value = max(1, round(milliseconds * MICROSECONDS_PER_MILLISECOND))
        self._histogram.record_value(value)

    def add_encoded(self, encoded: bytes) -> None:
        """Add a histogram that another process encoded."""
        self._histogram.decode_and_add(encoded)

    def encode(self) -> bytes:
        """Return the histogram for another process."""
        return self._histogram.encode()

    @property
    def count(self) -> int:
        """Return the number of latencies recorded."""
        return self._histogram.get_total_count()

    def centile(self, percent: float) -> float:
        """Return the latency that ``percent`` of the records do not exceed."""
        value = self._histogram.get_value_at_percentile(percent)
        return value / MICROSECONDS_PER_MILLISECOND

    def emit(self, name: str, bound: str = "-", centiles=(50, 95, 99)) -> None:
        """Print one figure for each centile."""
        for percent in centiles:
            emit(f"{name}.p{percent}", self.centile(percent), "ms", bound)


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[STAT_UTIME]) + int(fields[STAT_STIME])) / TICKS_PER_SECOND


def resident_megabytes(pid: int) -> float:
    """Return the resident memory of a process."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0
