"""One printed line per measured figure."""

import time
from collections.abc import Callable


def figure(name: str, value: float, unit: str, baseline: str = "-") -> None:
    """Print name, value, unit and baseline, separated by tabs."""
    print(f"{name}\t{value:.3g}\t{unit}\t{baseline}", flush=True)


def microseconds_each(work: Callable[[], object], count: int) -> float:
    """Return the mean processor time of one call; the best of twenty rounds."""
    best = float("inf")
    for _ in range(20):
        begin = time.process_time()
        for _ in range(count):
            work()
        best = min(best, time.process_time() - begin)
    return best / count * 1e6
