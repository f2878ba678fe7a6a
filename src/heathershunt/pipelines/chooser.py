"""Choice of the chain with the least estimated time for a request."""

import random
from collections.abc import Collection, Iterable
from itertools import groupby

from heathershunt.catalog import Engine
from heathershunt.discovery import Target
from heathershunt.pipelines.candidates import ANY_HEAD, CandidateMaker, Heads
from heathershunt.pipelines.chain import Chain, ChainPart
from heathershunt.pipelines.estimates import Job
from heathershunt.pipelines.load import LoadLedger
from heathershunt.pipelines.newcomers import Newcomers
from heathershunt.pipelines.notes import USUAL_PACE
from heathershunt.pipelines.pace import PaceTracker
from heathershunt.pipelines.search import (
    FULL_MS,
    Candidate,
    SearchTerms,
    find_cheapest,
    ranges_cover,
)
from heathershunt.pipelines.versions import has_valid_layers, of_newest_version

# Time of a hop inside a failure domain, for each token.
HOP_MS = 0.1
# Extra time of a hop to another failure domain, for each token: the network delay, and
# the wait for a link that all chains share and that the transfer of prompts blocks.
CROSS_DOMAIN_MS = 25.0
# Largest random factor on the cost of a runner that may replace a dead one.
REPLACEMENT_JITTER = 1.5
# From this number of VMs on, requests are spread (``spread.py``) and search
# DOMAINS_TRIED random domains first. So many VMs with the same view of the load would
# all choose one domain, and the same runners in it, until the next exchange of loads. A
# small fleet sends few requests between two exchanges.
LARGE_FLEET_VMS = 16
# Number of runners that indicates so many VMs: a VM that has just started does not have
# the other VMs in its list yet.
LARGE_FLEET_RUNNERS = 64
DOMAINS_TRIED = 2
# The same while the load of the other VMs is stale or incomplete, as after a restart of
# all VMs at once.
DOMAINS_TRIED_STALE_LOAD = 1
# Largest random factor on the cost of each runner in that case, in a small fleet.
STALE_LOAD_JITTER = 1.5
# Runners of each domain that a search considers first. More would hardly give a better
# chain, and the time of the search grows with their number.
MAX_SAMPLED_RUNNERS = 64


# Cost in milliseconds, and the chain; ``None`` if no chain was found.
Found = tuple[float, Chain] | None


class ChainChooser:
    """Finds the chains with the least estimated time.

    :param ledger: load of all VMs on each runner.
    :param paces: how slow each runner is now.
    :ivar candidate_maker: makes the candidates of a search.

    .. versionadded:: 0.2
    """

    def __init__(self, ledger: LoadLedger, paces: PaceTracker) -> None:
        self._ledger = ledger
        self._paces = paces
        self.candidate_maker = CandidateMaker(ledger, paces)
        self._newcomers = Newcomers(ledger.clock)

    def has_layers(
        self, engine: Engine, runners: Iterable[Target], avoided: Collection[str] = ()
    ) -> bool:
        """Return whether the runners hold all layers, whether they have room or not.

        :param avoided: ids of runners not to use.
        """
        held = [runner.held for runner in of_newest_version(engine, runners, avoided)]
        ranges = ((layers.first, layers.end) for layers in held)
        return ranges_cover(ranges, engine.layers)

    def candidates(
        self, engine: Engine, runners: Iterable[Target], job: Job, vms: int
    ) -> list[Candidate]:
        """Return the runners with layers and their costs.

        In a large fleet a part of the cost is random, drawn anew for each request.
        """
        valid = [runner for runner in runners if has_valid_layers(engine, runner)]
        if self._is_spread(vms, len(valid)):
            return self.candidate_maker.spread(engine, valid, job, vms, ANY_HEAD)
        make = self.candidate_maker.by_time
        return [make(engine, item, job, vms, ANY_HEAD) for item in valid]

    def pace(self, runner_id: str) -> float:
        """Return the time of a runner's work as a multiple of the usual time."""
        return self._paces.pace(runner_id)

    def choose(
        self,
        engine: Engine,
        runners: Collection[Target],
        job: Job,
        vms: int,
        avoided: Collection[str] = (),
        head: ChainPart | None = None,
        heads: Collection[str] | None = None,
        needs_room: bool = False,
        barred_heads: Collection[str] = (),
    ) -> Chain | None:
        """Return the cheapest chain, or ``None`` if no chain has all layers.

        :param vms: number of entry VMs that share the runners.
        :param avoided: ids of runners not to use.
        :param head: required first part; takes precedence over ``heads``.
        :param heads: ids of the runners that may come first; ``None`` for all.
        :param needs_room: exclude chains with a runner that lacks room or a slot.
        :param barred_heads: ids of runners that must not come first.
        """
        usable = of_newest_version(engine, runners, avoided)
        if head is not None:
            heads = {head.runner.id}
        elif heads is not None:
            heads = set(heads).difference(barred_heads)
        if heads is not None and all(runner.id not in heads for runner in usable):
            return None
        terms = SearchTerms(engine.layers, *_hop_costs(job), head, needs_room)
        needed = set(heads or ())
        sampled = _sample_each_domain(usable, needed)
        if self._is_spread(vms, len(usable)):
            service = usable[0].service if usable else ""
            sampled = self._newcomers.thinned(service, runners, sampled, needed)
        allowed = Heads(heads, barred_heads)
        found = self._search(engine, sampled, job, vms, allowed, terms)
        if _lacks_room(found) and len(sampled) < len(usable):
            found = self._search(engine, usable, job, vms, allowed, terms)
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
        """Return the chain with its dead runners replaced, or ``None``.

        All other parts stay as they are and keep their KV cache. A new part has to
        prefill all tokens so far before the next token is generated. A dead first
        runner cannot be replaced.

        :param dead: ids of the runners to replace.
        :param avoided: ids of runners that may stay in the chain, but are not added.
        """
        if chain.head.id in dead:
            return None
        in_chain = {part.runner.id for part in chain.parts}
        spares = [r for r in runners if r.id not in in_chain | set(avoided)]
        version = chain.head.held.version
        usable = [
            runner
            for runner in spares
            if has_valid_layers(engine, runner) and runner.held.version == version
        ]
        parts: list[ChainPart] = []
        for is_dead, run in groupby(chain.parts, lambda part: part.runner.id in dead):
            if not is_dead:
                parts.extend(run)
                continue
            dead_parts = tuple(run)
            added = self._replacements(engine, usable, job, vms, dead_parts)
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
        dead_parts: tuple[ChainPart, ...],
    ) -> list[ChainPart] | None:
        """Return parts that replace adjacent parts; inside their domain if possible."""
        start, end = dead_parts[0].first, dead_parts[-1].end
        candidates = []
        for runner in usable:
            first, last = max(start, runner.held.first), min(end, runner.held.end)
            if first >= last:
                continue
            item = self.candidate_maker.by_time(engine, runner, job, vms, ANY_HEAD)
            item.first, item.end = first - start, last - start
            item.has_slot = True
            candidates.append(item)
        # All streams of the dead runner, on this VM and others, search for a
        # replacement at the same moment, and must not all choose the same runner.
        _add_jitter(candidates, REPLACEMENT_JITTER)
        terms = SearchTerms(end - start, *_hop_costs(job))
        domain = dead_parts[0].runner.domain
        inside = [item for item in candidates if item.runner.domain == domain]
        found = find_cheapest(inside, terms)
        if _lacks_room(found):
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
        heads: Heads,
        terms: SearchTerms,
    ) -> Found:
        """Return the cheapest chain inside a domain, or over several where needed."""
        holders = [item for item in usable if item.held.first < engine.layers]
        is_spread = self._is_spread(vms, len(holders))
        if is_spread:
            candidates = self.candidate_maker.spread(engine, holders, job, vms, heads)
        else:
            candidates = [
                self.candidate_maker.by_time(engine, runner, job, vms, heads)
                for runner in holders
            ]
            if self._risks_herding(len(holders)):
                _add_jitter(candidates, STALE_LOAD_JITTER)
        by_domain: dict[str, list[Candidate]] = {}
        for candidate in candidates:
            by_domain.setdefault(candidate.runner.domain, []).append(candidate)
        complete = [c for c in by_domain.values() if _can_form_chain(c, terms)]
        random.shuffle(complete)
        tried = self._domains_tried(is_spread, len(holders)) or len(complete)
        found = _cheapest_of(complete[:tried], terms)
        if _lacks_room(found):
            found = _cheaper(found, _cheapest_of(complete[tried:], terms))
        # A chain over several domains may be better if a domain lacks layers or room,
        # or if each domain has a slow runner that its own chains cannot avoid.
        is_constrained = len(complete) < len(by_domain) or _lacks_room(found)
        if is_constrained or self._has_slow_runner(found):
            found = _cheaper(found, find_cheapest(candidates, terms))
        return found

    def _is_spread(self, vms: int, runners: int) -> bool:
        """Return whether so many VMs share the runners that requests are spread."""
        if vms >= LARGE_FLEET_VMS:
            return True
        return runners >= LARGE_FLEET_RUNNERS and self._ledger.is_starting

    def _risks_herding(self, runners: int) -> bool:
        """Return whether several VMs may choose now without the load of the others."""
        return runners >= LARGE_FLEET_RUNNERS and not self._ledger.is_reliable

    def _domains_tried(self, is_spread: bool, runners: int) -> int | None:
        """Return how many domains a request searches first; ``None`` for all."""
        if self._risks_herding(runners):
            return DOMAINS_TRIED_STALE_LOAD
        if not is_spread:
            return None
        return DOMAINS_TRIED if self._ledger.is_reliable else DOMAINS_TRIED_STALE_LOAD

    def _has_slow_runner(self, found: Found) -> bool:
        if found is None:
            return False
        return any(
            self._paces.pace(part.runner.id) > USUAL_PACE for part in found[1].parts
        )


def _add_jitter(candidates: Iterable[Candidate], max_factor: float) -> None:
    """Multiply the cost of each runner by a random factor of at least 1.

    :param max_factor: largest factor.
    """
    for candidate in candidates:
        candidate.layer_ms *= random.uniform(1.0, max_factor)


def _can_form_chain(candidates: list[Candidate], terms: SearchTerms) -> bool:
    """Return whether the runners hold all layers and one of them may be first."""
    if not any(item.may_be_head for item in candidates):
        return False
    return ranges_cover(((c.first, c.end) for c in candidates), terms.layers)


def _cheapest_of(domains: list[list[Candidate]], terms: SearchTerms) -> Found:
    """Return the cheapest of the chains that lie inside one domain."""
    found = None
    for inside in domains:
        found = _cheaper(found, find_cheapest(inside, terms))
    return found


def _cheaper(left: Found, right: Found) -> Found:
    if left is None or right is None:
        return left or right
    return min(left, right, key=lambda found: found[0])


def _lacks_room(found: Found) -> bool:
    """Return whether no chain was found, or one with a runner that is full."""
    return found is None or found[0] >= FULL_MS


def _hop_costs(job: Job) -> tuple[float, float]:
    """Return the times of a hop inside and between domains, for all output tokens."""
    tokens = job.answer_tokens
    return HOP_MS * tokens, (HOP_MS + CROSS_DOMAIN_MS) * tokens


def _sample_each_domain(runners: list[Target], needed: set[str]) -> list[Target]:
    """Return a random sample of each domain's runners, spread evenly over the layers.

    :param needed: ids of runners that the sample must contain.
    """
    runners_by_domain: dict[str, list[Target]] = {}
    for runner in runners:
        runners_by_domain.setdefault(runner.domain, []).append(runner)
    sampled = []
    for inside in runners_by_domain.values():
        sampled += _sample(inside, needed)
    return sampled


def _sample(runners: list[Target], needed: set[str]) -> list[Target]:
    if len(runners) <= MAX_SAMPLED_RUNNERS:
        return runners
    # The random offset and order spread the requests of all VMs over all runners.
    ordered = sorted(runners, key=lambda r: (r.held.first, r.held.end, r.id))
    step = len(ordered) / MAX_SAMPLED_RUNNERS
    offset = random.random() * step
    drawn = [
        ordered[int(offset + index * step)] for index in range(MAX_SAMPLED_RUNNERS)
    ]
    random.shuffle(drawn)
    ids = {runner.id for runner in drawn}
    return drawn + [r for r in runners if r.id in needed and r.id not in ids]
