"""Choice of the chain with the least estimated time for a request."""

import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from itertools import groupby

from heathershunt.catalog import Engine
from heathershunt.discovery import Target
from heathershunt.pipelines.chain import Chain, ChainPart
from heathershunt.pipelines.load import LoadLedger, RunnerLoad
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
# Share of a runner's KV cache that is kept free.
MIN_FREE_KV_FRACTION = 0.05
# Largest random factor on the cost of a runner that may replace a dead one.
REPLACEMENT_JITTER = 1.5
# From this number of VMs on, a request searches DOMAINS_TRIED random domains first. So
# many VMs with the same view of the load would all choose one domain until the next
# exchange of loads. A small fleet sends few requests between two exchanges.
LARGE_FLEET_VMS = 16
# Number of runners that indicates so many VMs: a VM that has just started does not have
# the other VMs in its list yet.
LARGE_FLEET_RUNNERS = 64
DOMAINS_TRIED = 2
# The same while the load of the other VMs is stale or incomplete, as after a restart of
# all VMs at once.
DOMAINS_TRIED_STALE_LOAD = 1
# Largest random factor on the cost of each runner in that case.
STALE_LOAD_JITTER = 1.5
# Runners of each domain that a search considers first. More would hardly give a better
# chain, and the time of the search grows with their number.
MAX_SAMPLED_RUNNERS = 64


# Cost in milliseconds, and the chain; ``None`` if no chain was found.
Found = tuple[float, Chain] | None


@dataclass(frozen=True, slots=True)
class Job:
    """Size of a request, for estimates of its time and its KV cache.

    :param prompt_tokens: tokens of the prompt.
    :param answer_tokens: expected number of output tokens.

    .. versionadded:: 0.2
    """

    prompt_tokens: float
    answer_tokens: float

    @property
    def tokens(self) -> float:
        """Return the tokens in the KV cache at the end of the request."""
        return self.prompt_tokens + self.answer_tokens


@dataclass(frozen=True, slots=True)
class _Heads:
    """Ids of the runners that may come first in a chain, ``None`` for all but some."""

    allowed: Collection[str] | None = None
    barred: Collection[str] = ()

    def may_be_first(self, runner: Target) -> bool:
        if self.allowed is not None:
            return runner.id in self.allowed
        return runner.id not in self.barred


class ChainChooser:
    """Finds the chains with the least estimated time.

    :param ledger: load of all VMs on each runner.
    :param paces: how slow each runner is now.

    .. versionadded:: 0.2
    """

    def __init__(self, ledger: LoadLedger, paces: PaceTracker) -> None:
        self._ledger = ledger
        self._paces = paces

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
        """Return the runners with layers and their costs, without random factors."""
        valid = (runner for runner in runners if has_valid_layers(engine, runner))
        return [self._candidate(engine, item, job, vms, _Heads()) for item in valid]

    def pace(self, runner_id: str) -> float:
        """Return the time of a runner's work as a multiple of the usual time."""
        return self._paces.pace(runner_id)

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
        sampled = _sample_each_domain(usable, set(heads or ()))
        allowed = _Heads(heads, barred_heads)
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
            item = self._candidate(engine, runner, job, vms, _Heads())
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
        heads: "_Heads",
        terms: SearchTerms,
    ) -> Found:
        """Return the cheapest chain inside a domain, or over several where needed."""
        candidates = [
            self._candidate(engine, runner, job, vms, heads)
            for runner in usable
            if runner.held.first < engine.layers
        ]
        by_domain: dict[str, list[Candidate]] = {}
        for candidate in candidates:
            by_domain.setdefault(candidate.runner.domain, []).append(candidate)
        complete = [c for c in by_domain.values() if _can_form_chain(c, terms)]
        random.shuffle(complete)
        tried = DOMAINS_TRIED if vms >= LARGE_FLEET_VMS else len(complete)
        if self._risks_herding(vms, len(candidates)):
            tried = DOMAINS_TRIED_STALE_LOAD
            _add_jitter(candidates, STALE_LOAD_JITTER)
        found = _cheapest_of(complete[:tried], terms)
        if _lacks_room(found):
            found = _cheaper(found, _cheapest_of(complete[tried:], terms))
        # A chain over several domains may be better if a domain lacks layers or room,
        # or if each domain has a slow runner that its own chains cannot avoid.
        is_constrained = len(complete) < len(by_domain) or _lacks_room(found)
        if is_constrained or self._has_slow_runner(found):
            found = _cheaper(found, find_cheapest(candidates, terms))
        return found

    def _risks_herding(self, vms: int, runners: int) -> bool:
        """Return whether many VMs may choose now without the load of the others."""
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
        heads: "_Heads",
    ) -> Candidate:
        load = self._ledger.total(runner.id, vms)
        free = kv_capacity(engine, runner) * (1 - MIN_FREE_KV_FRACTION) - load.kv
        return Candidate(
            runner,
            runner.held.first,
            min(runner.held.end, engine.layers),
            self._request_ms(engine, runner, job, load) / engine.layers,
            free / max(1.0, job.tokens),
            heads.may_be_first(runner),
            load.head_requests < runner.slots,
        )

    def _request_ms(
        self, engine: Engine, runner: Target, job: Job, load: RunnerLoad
    ) -> float:
        """Return the estimated time of the request if this runner had all layers."""
        kind = engine.kinds_by_name.get(runner.kind)
        pace = kind.pace if kind else 1.0
        prefill_factor = kind.prefill_factor if kind else 1.0
        running = load.requests
        context = engine.context_ms * job.tokens / 1000
        step_ms = engine.step_ms + (running + 1) * (engine.sequence_ms + context)
        prefill_ms = prefill_factor * job.prompt_tokens / engine.prefill_tokens_per_ms
        # Running requests prefill too, each once, spread over its output tokens.
        prefill_share_ms = prefill_ms * running / max(1.0, job.answer_tokens)
        usual_ms = prefill_ms + job.answer_tokens * (pace * step_ms + prefill_share_ms)
        return usual_ms * self._paces.pace(runner.id)


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


def kv_capacity(engine: Engine, runner: Target) -> float:
    """Return the KV cache size of a runner in tokens times layers.

    It is infinite if the kind of the runner or the KV cache of a token is unknown.
    """
    kind = engine.kinds_by_name.get(runner.kind)
    if kind is None or not engine.kv_mb:
        return float("inf")
    held = runner.held.size if runner.held else 0
    return max(0.0, (kind.memory_mb - held * engine.layer_mb) / engine.kv_mb)
