"""Selects the seeds of a soak from its command line."""

import secrets
from collections.abc import Sequence

DEFAULT_SECONDS = 8.0
FRESH_SEED_COUNT = 10
FRESH_SEED_BITS = 32
# Stalled and oversized answers are drawn from this seed on, so that lower seeds keep
# drawing the faults that they drew before.
FIRST_SEED_WITH_BAD_ANSWERS = 51
# The same for restorations of the store and for targets that name a limit.
FIRST_SEED_WITH_RESTORATIONS = 61
# The same for changes of the configuration, targets that fall silent, plain targets
# whose answers take every form, and callers that keep connections open.
FIRST_SEED_WITH_CHANGES = 71
# From that seed on, one in so many has many gateways.
MANY_GATEWAYS_EVERY = 10
# Seeds with planned stops in series in place of all other faults.
SEEDS_WITH_STOPS = range(1001, 2000)
# Seeds with gateways that lose their links to all targets, likewise.
SEEDS_WITH_CUTS = range(2001, 3000)
# Seeds that failed in the past, each with its cause. The order of their faults differs
# between runs, as the timing of the processes does.
CAUSE_BY_SEED = {
    2: "17 of 20 requests served after the faults; cause unknown, its log was not kept",
    11: "cause unknown; failed just before seed 12, on a busy machine",
    12: "all runners were silent for a moment, and all were declared dead",
    13: "cause unknown; failed just after seed 12, on a busy machine",
}


def parse_arguments(arguments: Sequence[str]) -> tuple[list[int], float]:
    """Return the seeds, and the seconds of faults in each run.

    :param arguments: ``FIRST [LAST [SECONDS]]``, ``regressions [SECONDS]``, or
        ``fresh [COUNT [SECONDS]]`` for newly drawn seeds.
    :raises ValueError: if a number is malformed.
    """
    if arguments and arguments[0] == "regressions":
        return list(CAUSE_BY_SEED), _seconds(arguments[1:])
    if arguments and arguments[0] == "fresh":
        count = int(arguments[1]) if len(arguments) > 1 else FRESH_SEED_COUNT
        seeds = [secrets.randbits(FRESH_SEED_BITS) for _ in range(count)]
        return seeds, _seconds(arguments[2:])
    first = int(arguments[0]) if arguments else 1
    last = int(arguments[1]) if len(arguments) > 1 else first
    return list(range(first, last + 1)), _seconds(arguments[2:])


def _seconds(arguments: Sequence[str]) -> float:
    return float(arguments[0]) if arguments else DEFAULT_SECONDS
