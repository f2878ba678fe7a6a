"""Figures of a measurement: one tab-separated line each, and latency histograms."""

import os
from pathlib import Path

from standins.latencies import Latencies

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


def emit_centiles(
    name: str, latencies: Latencies, bound: str = "-", centiles=(50, 95, 99)
) -> None:
    """Print one figure for each centile."""
    for percent in centiles:
        emit(f"{name}.p{percent}", latencies.centile(percent), "ms", bound)


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
