"""One printed line per measured figure."""

import time
from collections.abc import Callable


def figure(name: str, value: float, unit: str, baseline: str = "-") -> None:
    """Print name, value, unit and baseline, separated by tabs."""
    print(f"{name}\t{value:.3g}\t{unit}\t{baseline}", flush=True)


def microseconds_each(work: Callable[[], object], count: int) -> float:
    """Return the mean time of one call; the best of five rounds."""
    best = float("inf")
    for _ in range(5):
        begin = time.perf_counter()
        for _ in range(count):
            work()
        best = min(best, time.perf_counter() - begin)
    return best / count * 1e6
