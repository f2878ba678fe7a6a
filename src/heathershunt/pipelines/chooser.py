"""Choice of the cheapest chain for a request."""

import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from itertools import groupby

from heathershunt.catalog import Engine
from heathershunt.discovery import Target
from heathershunt.pipelines.chain import Chain, ChainPart
from heathershunt.pipelines.load import LoadLedger, RunnerLoad
from heathershunt.pipelines.notes import USUAL_PACE
from heathershunt.pipelines.pace import PaceBook
from heathershunt.pipelines.search import (
    FULL_MS,
    Candidate,
    SearchTerms,
    find_cheapest,
    holds_all_layers,
)

# Time of a hop inside a failure domain for one token.
HOP_MS = 0.1
# Extra time of a hop to another failure domain for one token: the delay, and the wait
# for a link that all chains share and that prompts block.
CROSS_DOMAIN_MS = 25.0
MIN_FREE_KV_PART = 0.05
# Most by which the cost of a runner that replaces a dead one is raised by chance.
REPLACEMENT_SPREAD = 1.5
# VMs from which on a chain is looked for in some domains first, drawn for each request.
# So many VMs, told the same loads, would all choose the same domain until they are told
# again. A small fleet sends few requests between two exchanges of loads.
LARGE_FLEET_VMS = 16
# Runners that so many VMs have. A VM that has just started does not know the others.
LARGE_FLEET_RUNNERS = 64
DOMAINS_TRIED = 2
# The same while a VM knows little of the others, as when all were restarted at once.
DOMAINS_TRIED_UNSETTLED = 1
# Most by which the cost of a runner is raised by chance meanwhile.
UNSETTLED_SPREAD = 1.5
# Runners of a domain among which a chain is looked for. More would hardly give a better
# chain, and the time of the search grows with them.
MOST_RUNNERS = 64


# Cost and chain; ``None`` without any.
Found = tuple[float, Chain] | None


@dataclass(frozen=True, slots=True)
class Job:
    """What a request asks of a chain.

    :param prompt_tokens: tokens to read first.
    :param answer_tokens: tokens that it is expected to write.

    .. versionadded:: 0.2
    """

    prompt_tokens: float
    answer_tokens: float

    @property
    def tokens(self) -> float:
        """Return the tokens held at the end."""
        return self.prompt_tokens + self.answer_tokens


class ChainChooser:
    """Finds chains of least estimated time.

    :param ledger: requests of all VMs at each runner.
    :param paces: how slow runners are at present.

    .. versionadded:: 0.2
    """

    def __init__(self, ledger: LoadLedger, paces: PaceBook) -> None:
        self._ledger = ledger
        self._paces = paces

    def has_layers(
        self, engine: Engine, runners: Iterable[Target], avoided: Collection[str] = ()
    ) -> bool:
        """Return whether some runners hold all layers, with room or without.

        :param avoided: ids of runners not to use.
        """
        held = [runner.held for runner in _of_newest_version(runners, avoided)]
        ranges = ((layers.first, layers.end) for layers in held)
        return holds_all_layers(ranges, engine.layers)

    def choose(
        self,
        engine: Engine,
        runners: Iterable[Target],
        job: Job,
        vms: int,
        avoided: Collection[str] = (),
        head: ChainPart | None = None,
        heads: Collection[str] | None = None,
        needs_room: bool = False,
    ) -> Chain | None:
        """Return the cheapest chain, ``None`` if the layers are not all there.

        :param vms: entry VMs that share the runners.
        :param avoided: ids of runners not to use.
        :param head: part that must come first.
        :param heads: ids of runners one of which must come first.
        :param needs_room: return no chain that has a runner without room.
        """
        usable = _of_newest_version(runners, avoided)
        if head is not None:
            heads = {head.runner.id}
        if heads is not None and all(runner.id not in heads for runner in usable):
            return None
        terms = SearchTerms(engine.layers, *_hop_costs(job), head, needs_room)
        some = _sample_each_domain(usable, set(heads or ()))
        found = self._search(engine, some, job, vms, heads, terms)
        if _is_short(found) and len(some) < len(usable):
            found = self._search(engine, usable, job, vms, heads, terms)
        return None if found is None else found[1]

    def repair(
        self,
        engine: Engine,
        runners: Iterable[Target],
        job: Job,
        vms: int,
        chain: Chain,
        dead: Collection[str],
        avoided: Collection[str] = (),
    ) -> Chain | None:
        """Return a chain in which other runners replace dead later ones.

        All other parts stay as they are and keep what they have read; a new part reads
        all tokens again before the next one is made.

        :param dead: ids of the runners to replace.
        :param avoided: ids of runners that may stay, but are not to be added.
        """
        if chain.head.id in dead:
            return None
        in_chain = {part.runner.id for part in chain.parts}
        usable = [
            runner
            for runner in _of_newest_version(runners, in_chain | set(avoided))
            if runner.held.version == chain.head.held.version
        ]
        parts: list[ChainPart] = []
        for is_dead, run in groupby(chain.parts, lambda part: part.runner.id in dead):
            if not is_dead:
                parts.extend(run)
                continue
            lost = tuple(run)
            added = self._replacements(engine, usable, job, vms, lost)
            if added is None:
                return None
            parts.extend(added)
            ids = {part.runner.id for part in added}
            usable = [runner for runner in usable if runner.id not in ids]
        return Chain(tuple(parts))

    def _replacements(
        self,
        engine: Engine,
        usable: list[Target],
        job: Job,
        vms: int,
        lost: tuple[ChainPart, ...],
    ) -> list[ChainPart] | None:
        """Return parts that take the layers of some parts in a row."""
        start, end = lost[0].first, lost[-1].end
        candidates = []
        for runner in usable:
            first, last = max(start, runner.held.first), min(end, runner.held.end)
            if first >= last:
                continue
            item = self._candidate(engine, runner, job, vms, None)
            item.first, item.end = first - start, last - start
            item.has_slot = True
            candidates.append(item)
        # All streams of the dead runner look for another one at the same moment, here
        # and at other VMs, and shall not all find the same.
        _spread(candidates, REPLACEMENT_SPREAD)
        terms = SearchTerms(end - start, *_hop_costs(job))
        domain = lost[0].runner.domain
        inside = [item for item in candidates if item.runner.domain == domain]
        found = find_cheapest(inside, terms)
        if _is_short(found):
            found = find_cheapest(candidates, terms)
        if found is None:
            return None
        return [
            ChainPart(part.runner, part.first + start, part.end + start)
            for part in found[1].parts
        ]

    def _search(
        self,
        engine: Engine,
        usable: list[Target],
        job: Job,
        vms: int,
        heads: Collection[str] | None,
        terms: SearchTerms,
    ) -> Found:
        """Return the cost and the cheapest chain inside a domain or over several."""
        candidates = [
            self._candidate(engine, runner, job, vms, heads)
            for runner in usable
            if runner.held.first < engine.layers
        ]
        by_domain: dict[str, list[Candidate]] = {}
        for candidate in candidates:
            by_domain.setdefault(candidate.runner.domain, []).append(candidate)
        whole = [c for c in by_domain.values() if _holds_all(c, terms)]
        random.shuffle(whole)
        tried = DOMAINS_TRIED if vms >= LARGE_FLEET_VMS else len(whole)
        if self._may_be_crowded(vms, len(candidates)):
            tried = DOMAINS_TRIED_UNSETTLED
            _spread(candidates, UNSETTLED_SPREAD)
        found = _cheapest_of(whole[:tried], terms)
        if _is_short(found):
            found = _cheaper(found, _cheapest_of(whole[tried:], terms))
        # Chains over several domains matter where one of them lacks layers or room, or
        # where every domain has a slow runner that its chains cannot leave out.
        is_narrow = len(whole) < len(by_domain) or _is_short(found)
        if is_narrow or self._has_slow_runner(found):
            found = _cheaper(found, find_cheapest(candidates, terms))
        return found

    def _may_be_crowded(self, vms: int, runners: int) -> bool:
        """Return whether many VMs may choose now that know little of each other."""
        is_large = vms >= LARGE_FLEET_VMS or runners >= LARGE_FLEET_RUNNERS
        return is_large and not self._ledger.is_reliable

    def _has_slow_runner(self, found: Found) -> bool:
        if found is None:
            return False
        return any(
            self._paces.pace(part.runner.id) > USUAL_PACE for part in found[1].parts
        )

    def _candidate(
        self,
        engine: Engine,
        runner: Target,
        job: Job,
        vms: int,
        heads: Collection[str] | None,
    ) -> Candidate:
        load = self._ledger.total(runner.id, vms)
        free = kv_capacity(engine, runner) * (1 - MIN_FREE_KV_PART) - load.kv
        return Candidate(
            runner,
            runner.held.first,
            min(runner.held.end, engine.layers),
            self._request_ms(engine, runner, job, load) / engine.layers,
            free / max(1.0, job.tokens),
            heads is None or runner.id in heads,
            load.head_requests < runner.slots,
        )

    def _request_ms(
        self, engine: Engine, runner: Target, job: Job, load: RunnerLoad
    ) -> float:
        """Return the estimated time of the request for all layers on this runner."""
        kind = engine.kinds_by_name.get(runner.kind)
        pace = kind.pace if kind else 1.0
        read_factor = kind.read_factor if kind else 1.0
        running = load.requests
        context = engine.context_ms * job.tokens / 1000
        step_ms = engine.step_ms + (running + 1) * (engine.sequence_ms + context)
        read_ms = read_factor * job.prompt_tokens / engine.read_tokens_per_ms
        # Running requests read too; each does so once for the tokens that it writes.
        share = read_ms * running / max(1.0, job.answer_tokens)
        usual_ms = read_ms + job.answer_tokens * (pace * step_ms + share)
        return usual_ms * self._paces.pace(runner.id)


def _spread(candidates: Iterable[Candidate], most: float) -> None:
    """Raise the cost of each runner by chance.

    :param most: largest factor.
    """
    for candidate in candidates:
        candidate.layer_ms *= random.uniform(1.0, most)


def _holds_all(candidates: list[Candidate], terms: SearchTerms) -> bool:
    """Return whether a chain of some runners is possible."""
    if not any(item.may_lead for item in candidates):
        return False
    return holds_all_layers(((c.first, c.end) for c in candidates), terms.layers)


def _cheapest_of(domains: list[list[Candidate]], terms: SearchTerms) -> Found:
    """Return the cheapest chain inside one of some domains."""
    found = None
    for inside in domains:
        found = _cheaper(found, find_cheapest(inside, terms))
    return found


def _cheaper(left: Found, right: Found) -> Found:
    if left is None or right is None:
        return left or right
    return min(left, right, key=lambda found: found[0])


def _is_short(found: Found) -> bool:
    """Return whether there is no chain that has room."""
    return found is None or found[0] >= FULL_MS


def _hop_costs(job: Job) -> tuple[float, float]:
    """Return the time of all tokens over a hop inside a domain, and to another one."""
    tokens = job.answer_tokens
    return HOP_MS * tokens, (HOP_MS + CROSS_DOMAIN_MS) * tokens


def _of_newest_version(
    runners: Iterable[Target], avoided: Collection[str]
) -> list[Target]:
    """Return runners with layers of the newest weights; versions do not mix."""
    usable = [r for r in runners if r.held is not None and r.id not in avoided]
    version = max((runner.held.version for runner in usable), default=0)
    return [runner for runner in usable if runner.held.version == version]


def _sample_each_domain(runners: list[Target], needed: set[str]) -> list[Target]:
    """Return some runners of each domain, spread evenly over the layers.

    :param needed: ids of runners that must be among them.
    """
    runners_by_domain: dict[str, list[Target]] = {}
    for runner in runners:
        runners_by_domain.setdefault(runner.domain, []).append(runner)
    sampled = []
    for inside in runners_by_domain.values():
        sampled += _sample(inside, needed)
    return sampled


def _sample(runners: list[Target], needed: set[str]) -> list[Target]:
    if len(runners) <= MOST_RUNNERS:
        return runners
    # The draw and its order spread the requests of all VMs over all runners.
    ordered = sorted(runners, key=lambda r: (r.held.first, r.held.end, r.id))
    step = len(ordered) / MOST_RUNNERS
    offset = random.random() * step
    drawn = [ordered[int(offset + index * step)] for index in range(MOST_RUNNERS)]
    random.shuffle(drawn)
    ids = {runner.id for runner in drawn}
    return drawn + [r for r in runners if r.id in needed and r.id not in ids]


def kv_capacity(engine: Engine, runner: Target) -> float:
    """Return the KV cache of a runner in tokens times layers."""
    kind = engine.kinds_by_name.get(runner.kind)
    if kind is None or not engine.kv_mb:
        return float("inf")
    held = runner.held.size if runner.held else 0
    return max(0.0, (kind.memory_mb - held * engine.layer_mb) / engine.kv_mb)
