"""Printing and timing for the measurements of the decision modules."""

import time
from collections.abc import Callable


def print_figure(name: str, value: float, unit: str, baseline: str = "-") -> None:
    """Print name, value, unit and baseline, separated by tabs."""
    print(f"{name}\t{value:.3g}\t{unit}\t{baseline}", flush=True)


def microseconds_each(work: Callable[[], object], count: int) -> float:
    """Return the mean processor time of one call in microseconds, best of 20 rounds.

    :param count: calls in each round.
    """
    best = float("inf")
    for _ in range(20):
        start = time.process_time()
        for _ in range(count):
            work()
        best = min(best, time.process_time() - start)
    return best / count * 1e6
