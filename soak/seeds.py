"""Which seeds a soak runs."""

import secrets
from collections.abc import Sequence

DEFAULT_SECONDS = 8.0
FRESH_SEEDS = 10
FRESH_BITS = 32
# Earlier seeds keep the faults that they always drew.
MISBEHAVING_FROM_SEED = 51
# Seeds that failed once, each with the cause; their order of faults is not the same in
# every run, as processes take their own time.
CAUSE_BY_SEED = {
    2: "17 of 20 requests served after the faults; not traced, its log was not kept",
    11: "not traced; failed just before seed 12, on a busy machine",
    12: "all runners were silent for a moment, and all were taken for dead",
    13: "not traced; failed just after seed 12, on a busy machine",
}


def chosen(arguments: Sequence[str]) -> tuple[list[int], float]:
    """Return the seeds and the seconds of faults that a command line asks for.

    :param arguments: ``FIRST [LAST [SECONDS]]``, ``regressions [SECONDS]``, or
        ``fresh [COUNT [SECONDS]]`` for seeds that were drawn just now.
    """
    if arguments and arguments[0] == "regressions":
        return list(CAUSE_BY_SEED), _seconds(arguments[1:])
    if arguments and arguments[0] == "fresh":
        count = int(arguments[1]) if len(arguments) > 1 else FRESH_SEEDS
        seeds = [secrets.randbits(FRESH_BITS) for _ in range(count)]
        return seeds, _seconds(arguments[2:])
    first = int(arguments[0]) if arguments else 1
    last = int(arguments[1]) if len(arguments) > 1 else first
    return list(range(first, last + 1)), _seconds(arguments[2:])


def _seconds(rest: Sequence[str]) -> float:
    return float(rest[0]) if rest else DEFAULT_SECONDS
