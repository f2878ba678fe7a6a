"""Output of the measurements, one tab-separated line per figure, and process costs."""

import os
from pathlib import Path

from standins.latencies import Latencies

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
# Fields of /proc/PID/stat, counted from the one after the command name.
STAT_UTIME, STAT_STIME = 11, 12


def emit(name: str, value: float, unit: str, bound: str = "-") -> None:
    """Print one figure.

    :param bound: bound or baseline to compare the value with, as text.
    """
    text = f"{value:.4g}" if isinstance(value, float) else str(value)
    print(f"{name}\t{text}\t{unit}\t{bound}", flush=True)


def emit_conditions(measurement: str, seed: int) -> None:
    """Print the seed and the load average of the machine over the last minute."""
    emit(f"{measurement}.seed", seed, "seed")
    emit(f"{measurement}.machine_load", os.getloadavg()[0], "processes", "10 cores")


def emit_percentiles(
    name: str, latencies: Latencies, bound: str = "-", percentiles=(50, 95, 99)
) -> None:
    """Print one figure in milliseconds for each percentile."""
    for percent in percentiles:
        emit(f"{name}.p{percent}", latencies.centile(percent), "ms", bound)


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[STAT_UTIME]) + int(fields[STAT_STIME])) / TICKS_PER_SECOND


def resident_megabytes(pid: int) -> float:
    """Return the resident memory of a process in MiB, 0 if the kernel reports none."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0
