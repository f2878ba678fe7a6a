"""Splits the layers of a model into ranges. The functions are pure."""

from collections.abc import Mapping
from typing import NamedTuple


class Range(NamedTuple):
    """Layer range ``[first, end)``."""

    first: int
    end: int


def choose_ranges(
    layers: int, held: Mapping[Range, int], layers_per_runner: int
) -> tuple[Range, ...]:
    """Return ranges that cover ``[0, layers)`` without a gap or an overlap.

    The split covers as many layers as possible with ranges that runners already hold,
    then keeps as many of these runners as possible, then uses the fewest ranges. Gaps
    are filled with ranges of at most ``layers_per_runner`` layers.

    :param held: number of runners that hold each range.
    """
    usable = {r: n for r, n in held.items() if 0 <= r.first < r.end <= layers}
    cuts = sorted({0, layers} | {cut for span in usable for cut in span})
    # Cost of the best split of [0, end): layers in gaps, -(runners kept), ranges.
    best: dict[int, tuple[int, int, int]] = {0: (0, 0, 0)}
    last_range: dict[int, Range] = {}
    for index, end in enumerate(cuts[1:], 1):
        options = [(span, 0, -usable[span]) for span in usable if span.end == end]
        gap = Range(cuts[index - 1], end)
        options.append((gap, gap.end - gap.first, 0))
        for span, missing, used in options:
            cost = best[span.first]
            total = (cost[0] + missing, cost[1] + used, cost[2] + 1)
            if end not in best or total < best[end]:
                best[end], last_range[end] = total, span
    ranges: list[Range] = []
    end = layers
    while end > 0:
        span = last_range[end]
        ranges[:0] = [span] if span in usable else split_evenly(span, layers_per_runner)
        end = span.first
    return tuple(ranges)


def split_evenly(span: Range, layers_per_runner: int) -> list[Range]:
    """Split a range into the fewest even parts of at most ``layers_per_runner``."""
    size = span.end - span.first
    parts = -(-size // layers_per_runner)
    cuts = [span.first + size * index // parts for index in range(parts + 1)]
    return [Range(*pair) for pair in zip(cuts, cuts[1:], strict=False)]
