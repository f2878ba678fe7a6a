"""Search for the cheapest chain by dynamic programming over cut points."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from heathershunt.discovery import Target
from heathershunt.pipelines.chain import Chain, ChainPart

# Added to the cost of a chain for a runner without room in its KV cache, or a first
# runner without a slot, so that such a chain is chosen only if there is no other.
FULL_MS = 1_000_000.0


@dataclass(slots=True)
class Candidate:
    """A runner with its costs and limits for one request.

    :param first: first layer that the runner holds.
    :param end: layer after the last one.
    :param layer_ms: estimated time of the whole request for one layer.
    :param room: number of layers for which the free KV cache fits the request.
    :param may_be_head: whether the runner may be the first one of the chain.
    :param has_slot: whether the runner accepts one more request as the first one.

    .. versionadded:: 0.4
    """

    runner: Target
    first: int
    end: int
    layer_ms: float
    room: float
    may_be_head: bool = True
    has_slot: bool = True


@dataclass(frozen=True, slots=True)
class SearchTerms:
    """Costs and constraints of a search.

    :param layers: number of layers of the model.
    :param hop_ms: time of a hop inside a failure domain, for the whole request.
    :param cross_ms: the same for a hop to another domain.
    :param head: required first part, if any.
    :param needs_room: exclude chains with a runner that lacks room or a slot, instead
        of adding ``FULL_MS``.

    .. versionadded:: 0.4
    """

    layers: int
    hop_ms: float
    cross_ms: float
    head: ChainPart | None = None
    needs_room: bool = False


class _Path(NamedTuple):
    """Cheapest partial chain up to a layer, linked from its last part to its first.

    :param first: first layer of the last part.
    :param candidate: runner of the last part; ``None`` for the empty chain.
    :param previous: partial chain before the last part.
    """

    cost: float
    first: int
    candidate: Candidate | None
    previous: "_Path | None"


class _BestPaths(NamedTuple):
    """The two cheapest paths to a layer that end with different runners.

    A runner must not follow itself, so it follows the second path if the best one ends
    with it.
    """

    best: _Path
    second: _Path | None = None

    def excluding(self, candidate: Candidate) -> _Path | None:
        """Return the cheapest path that does not end with ``candidate``."""
        return self.second if self.best.candidate is candidate else self.best

    def with_path(self, path: _Path) -> "_BestPaths":
        """Return the best two of these paths and a new one."""
        is_same = self.best.candidate is path.candidate
        if path.cost < self.best.cost:
            return _BestPaths(path, self.second if is_same else self.best)
        if not is_same and (self.second is None or path.cost < self.second.cost):
            return _BestPaths(self.best, path)
        return self


# The cost of a hop depends on the domain before it, so the best paths are kept for each
# domain of the last runner.
_PathsByDomain = dict[str, _BestPaths]


def ranges_cover(ranges: Iterable[tuple[int, int]], layers: int) -> bool:
    """Return whether ranges together cover all ``layers`` layers.

    A chain may change runners at any layer, so it exists if and only if they do.

    :param ranges: first layer, and layer after the last one, of each range.
    """
    reached = 0
    for first, end in sorted(ranges):
        if first > reached:
            return False
        reached = max(reached, end)
    return reached >= layers


def find_cheapest(
    candidates: Sequence[Candidate], terms: SearchTerms
) -> tuple[float, Chain] | None:
    """Return the cost in milliseconds and the cheapest chain; ``None`` without any."""
    if terms.needs_room:
        candidates = [item for item in candidates if item.room >= 1]
    ranges = ((item.first, item.end) for item in candidates)
    if not ranges_cover(ranges, terms.layers):
        return None
    cuts = _cut_points(candidates, terms)
    holders_by_cut = _holders_by_cut(candidates, cuts)
    best: list[_PathsByDomain] = [{} for _ in cuts]
    best[0][""] = _BestPaths(_Path(0.0, 0, None, None))
    for index, holders in enumerate(holders_by_cut):
        if best[index]:
            predecessors = _Predecessors(best[index], terms)
            for candidate, last_index in holders:
                predecessor = predecessors.cheapest(candidate)
                if predecessor is not None:
                    _extend(
                        candidate, predecessor, cuts, index, last_index, best, terms
                    )
    if not best[-1]:
        return None
    final = min((paths.best for paths in best[-1].values()), key=lambda p: p.cost)
    return final.cost, _build_chain(final, terms.layers)


def _cut_points(candidates: Iterable[Candidate], terms: SearchTerms) -> list[int]:
    cuts = {0, terms.layers}
    if terms.head is not None:
        cuts.add(terms.head.end)
    for candidate in candidates:
        cuts.add(candidate.first)
        cuts.add(candidate.end)
    return sorted(cuts)


def _holders_by_cut(
    candidates: Iterable[Candidate], cuts: list[int]
) -> list[list[tuple[Candidate, int]]]:
    """Return for each cut the runners that hold the layer after it.

    Each runner comes with the index of the cut at which its layers end.
    """
    index_by_cut = {cut: index for index, cut in enumerate(cuts)}
    holders: list[list[tuple[Candidate, int]]] = [[] for _ in cuts]
    for candidate in candidates:
        last_index = index_by_cut[candidate.end]
        for index in range(index_by_cut[candidate.first], last_index):
            holders[index].append((candidate, last_index))
    return holders


class _Predecessors:
    """The paths to a cut, for the runners that hold the layer after it."""

    def __init__(self, paths_by_domain: _PathsByDomain, terms: SearchTerms) -> None:
        self._paths_by_domain = paths_by_domain
        self._terms = terms
        self._cheapest = min(paths_by_domain.values(), key=lambda p: p.best.cost)

    def cheapest(self, candidate: Candidate) -> tuple[float, _Path] | None:
        """Return the least cost before a runner, with the hop, and the path to it."""
        terms = self._terms
        if self._cheapest.best.candidate is None:
            if not candidate.may_be_head or (
                terms.needs_room and not candidate.has_slot
            ):
                return None
            return (0.0 if candidate.has_slot else FULL_MS), self._cheapest.best
        found = None
        inside = self._paths_by_domain.get(candidate.runner.domain)
        previous = inside.excluding(candidate) if inside is not None else None
        if previous is not None:
            found = previous.cost + terms.hop_ms, previous
        across = self._cheapest.excluding(candidate)
        if across is None:
            return found
        across_ms = across.cost + terms.cross_ms
        return found if found and found[0] <= across_ms else (across_ms, across)


def _extend(
    candidate: Candidate,
    predecessor: tuple[float, _Path],
    cuts: list[int],
    index: int,
    last_index: int,
    best: list[_PathsByDomain],
    terms: SearchTerms,
) -> None:
    """Add the paths in which a runner computes the layers up to each later cut."""
    base_cost, previous = predecessor
    start = cuts[index]
    domain = candidate.runner.domain
    layer_ms, room = candidate.layer_ms, candidate.room
    required_end = terms.head.end if terms.head is not None and start == 0 else None
    for end_index in range(index + 1, last_index + 1):
        size = cuts[end_index] - start
        cost = base_cost + layer_ms * size
        if size > room:
            if terms.needs_room:
                return
            cost += FULL_MS
        if required_end is not None and cuts[end_index] != required_end:
            continue
        known = best[end_index].get(domain)
        # Skip the path early, as most cost more than both that are known.
        if known is not None and known.second is not None and cost >= known.second.cost:
            continue
        path = _Path(cost, start, candidate, previous)
        paths = _BestPaths(path) if known is None else known.with_path(path)
        best[end_index][domain] = paths


def _build_chain(path: _Path, layers: int) -> Chain:
    parts = []
    end, cost_ms = layers, path.cost
    while path.candidate is not None:
        parts.append(ChainPart(path.candidate.runner, path.first, end))
        end = path.first
        path = path.previous
    return Chain.from_parts(reversed(parts), cost_ms)
