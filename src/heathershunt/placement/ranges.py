"""Cutting a model's layers into ranges; pure."""

from collections.abc import Mapping
from typing import NamedTuple


class Range(NamedTuple):
    """Layers ``[first, end)``."""

    first: int
    end: int


def choose_ranges(
    layers: int, held: Mapping[Range, int], layers_per_runner: int
) -> tuple[Range, ...]:
    """Return ranges that cover ``[0, layers)`` without a gap or an overlap.

    The cut keeps as many layers as possible in ranges that runners hold already,
    then as many runners as possible; gaps are filled with ranges of at most
    ``layers_per_runner`` layers.
    """
    usable = {r: n for r, n in held.items() if 0 <= r.first < r.end <= layers}
    cuts = sorted({0, layers} | {cut for one in usable for cut in one})
    # Cost of the best cut of [0, cut): layers in gaps, runners out of use, ranges.
    best: dict[int, tuple[int, int, int]] = {0: (0, 0, 0)}
    last: dict[int, Range] = {}
    for index, end in enumerate(cuts[1:], 1):
        options = [(one, 0, -usable[one]) for one in usable if one.end == end]
        gap = Range(cuts[index - 1], end)
        options.append((gap, gap.end - gap.first, 0))
        for one, missing, used in options:
            cost = best[one.first]
            total = (cost[0] + missing, cost[1] + used, cost[2] + 1)
            if end not in best or total < best[end]:
                best[end], last[end] = total, one
    ranges: list[Range] = []
    end = layers
    while end > 0:
        one = last[end]
        ranges[:0] = [one] if one in usable else split_evenly(one, layers_per_runner)
        end = one.first
    return tuple(ranges)


def split_evenly(one: Range, layers_per_runner: int) -> list[Range]:
    """Cut a range into the fewest even parts of at most ``layers_per_runner``."""
    size = one.end - one.first
    parts = -(-size // layers_per_runner)
    cuts = [one.first + size * index // parts for index in range(parts + 1)]
    return [Range(*pair) for pair in zip(cuts, cuts[1:], strict=False)]
