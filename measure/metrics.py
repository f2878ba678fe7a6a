"""Cost of the product's counters, compared with those of the metrics library.

Run with ``python -m measure.metrics``; it prints the median and range of nanoseconds
per operation over all rounds.
"""

import statistics
import time
from collections.abc import Callable

from aioprometheus import Counter, Registry

from heathershunt.metrics import Metrics
from heathershunt.verdict import Verdict

OPERATIONS = 100_000
ROUNDS = 7


def _time(name: str, work: Callable[[], None]) -> None:
    times = []
    for _ in range(ROUNDS):
        start = time.perf_counter_ns()
        for _ in range(OPERATIONS):
            work()
        times.append((time.perf_counter_ns() - start) / OPERATIONS)
    median = statistics.median(times)
    print(f"{name}: {median:.0f} ns ({min(times):.0f} to {max(times):.0f})")


def main() -> None:
    """Print the cost of each operation."""
    metrics = Metrics()
    library = Counter("tokens", "tokens", registry=Registry())

    def token() -> None:
        metrics.tokens += 1

    _time("token, plain integer", token)
    _time("token, counter of the library", lambda: library.inc({}))
    _time(
        "request, plain integer by labels",
        lambda: metrics.count_request(Verdict.RAN, "normal"),
    )
    labels = {"verdict": "ran", "account_class": "normal"}
    _time("request, counter of the library", lambda: library.inc(labels))
    _time("first token, histogram", lambda: metrics.observe_first_token(100.0))


if __name__ == "__main__":
    main()
