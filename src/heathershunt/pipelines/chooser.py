"""Choice of the cheapest chain for a request."""

import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from heathershunt.catalog import Engine
from heathershunt.discovery import Target
from heathershunt.pipelines.chain import Chain, ChainPart
from heathershunt.pipelines.load import LoadLedger
from heathershunt.pipelines.pace import PaceBook

# Time of a hop inside a failure domain for one token.
HOP_MS = 0.1
# Extra time of a hop to another failure domain for one token: the delay, and the wait
# for a link that all chains share and that prompts block.
CROSS_DOMAIN_MS = 25.0
# Added where a runner's KV cache or slots are full, so that such a chain comes last.
FULL_MS = 1_000_000.0
MIN_FREE_KV_PART = 0.05
# Runners of a domain among which a chain is looked for. More would hardly give a better
# chain, and the time of the search grows with them.
MOST_RUNNERS = 64


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


@dataclass(frozen=True, slots=True)
class _Step:
    """Cheapest way to a layer: the runner of the last part and where it begins.

    :param before: the way to the first layer of that part.
    """

    cost: float
    first: int
    runner: Target | None
    before: "_Step | None"


class ChainChooser:
    """Finds chains of least estimated time.

    :param ledger: requests of all VMs at each runner.
    :param paces: how slow runners are at present.

    .. versionadded:: 0.2
    """

    def __init__(self, ledger: LoadLedger, paces: PaceBook) -> None:
        self._ledger = ledger
        self._paces = paces

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
        usable = [
            runner
            for runner in runners
            if runner.held is not None and runner.id not in avoided
        ]
        version = max((runner.held.version for runner in usable), default=0)
        usable = [runner for runner in usable if runner.held.version == version]
        if head is not None and all(r.id != head.runner.id for r in usable):
            return None
        needed = set(heads or ()) | ({head.runner.id} if head else set())
        some = _sample_each_domain(usable, needed)
        cost, chain = self._search(engine, some, job, vms, head, heads)
        if cost >= FULL_MS and len(some) < len(usable):
            cost, chain = self._search(engine, usable, job, vms, head, heads)
        return None if needs_room and cost >= FULL_MS else chain

    def _search(
        self,
        engine: Engine,
        usable: list[Target],
        job: Job,
        vms: int,
        head: ChainPart | None,
        heads: Collection[str] | None,
    ) -> tuple[float, Chain | None]:
        """Return the cost and the cheapest chain inside a domain or over several."""
        found = []
        domains = sorted({runner.domain for runner in usable})
        for domain in domains:
            inside = [
                runner
                for runner in usable
                if runner.domain == domain or (head and runner.id == head.runner.id)
            ]
            found.append(self._cheapest(engine, inside, job, vms, head, heads))
        whole = [pair for pair in found if pair is not None]
        least = min((cost for cost, _ in whole), default=FULL_MS)
        # Chains over several domains matter where one of them lacks layers or room.
        if len(whole) < len(domains) or least >= FULL_MS:
            mixed = self._cheapest(engine, usable, job, vms, head, heads)
            if mixed is not None:
                whole.append(mixed)
        return min(whole, key=lambda pair: pair[0], default=(FULL_MS, None))

    def _cheapest(
        self,
        engine: Engine,
        runners: list[Target],
        job: Job,
        vms: int,
        head: ChainPart | None,
        heads: Collection[str] | None,
    ) -> tuple[float, Chain] | None:
        """Return the cost and the chain by dynamic programming over cut points."""
        cuts = sorted(
            {0, engine.layers, head.end if head else 0}
            | {runner.held.first for runner in runners}
            | {min(runner.held.end, engine.layers) for runner in runners}
        )
        rates = {runner.id: self._rate(engine, runner, job, vms) for runner in runners}
        ends_by_id = {
            runner.id: [cut for cut in cuts if cut <= runner.held.end]
            for runner in runners
        }
        # The cost of a hop depends on the domain before it, so that is kept apart.
        best: dict[int, dict[str, _Step]] = {0: {"": _Step(0.0, 0, None, None)}}
        for at in cuts:
            steps = best.get(at)
            if steps is None or at >= engine.layers:
                continue
            for runner in runners:
                if not runner.held.first <= at < runner.held.end:
                    continue
                if at == 0 and not _may_head(runner, head, heads):
                    continue
                before, base = min(
                    (
                        (step, step.cost + self._entry_cost(step, runner, job, vms))
                        for step in steps.values()
                    ),
                    key=lambda pair: pair[1],
                )
                for end in ends_by_id[runner.id]:
                    if end <= at or (at == 0 and head and end != head.end):
                        continue
                    cost = base + self._part_cost(
                        engine, runner, rates[runner.id], end - at, job, vms
                    )
                    known = best.setdefault(end, {}).get(runner.domain)
                    if known is None or cost < known.cost:
                        best[end][runner.domain] = _Step(cost, at, runner, before)
        if engine.layers not in best:
            return None
        last = min(best[engine.layers].values(), key=lambda step: step.cost)
        return last.cost, _walk_back(last, engine.layers)

    def _rate(self, engine: Engine, runner: Target, job: Job, vms: int) -> float:
        """Return the estimated time of the request for all layers on this runner."""
        kind = engine.kinds_by_name.get(runner.kind)
        pace = kind.pace if kind else 1.0
        read_factor = kind.read_factor if kind else 1.0
        running = self._ledger.total(runner.id, vms).requests
        context = engine.context_ms * job.tokens / 1000
        step_ms = engine.step_ms + (running + 1) * (engine.sequence_ms + context)
        read_ms = read_factor * job.prompt_tokens / engine.read_tokens_per_ms
        # Running requests read too; each does so once for the tokens that it writes.
        share = read_ms * running / max(1.0, job.answer_tokens)
        usual_ms = read_ms + job.answer_tokens * (pace * step_ms + share)
        return usual_ms * self._paces.pace(runner.id)

    def _entry_cost(self, before: _Step, runner: Target, job: Job, vms: int) -> float:
        if before.runner is None:
            received = self._ledger.total(runner.id, vms).received
            return FULL_MS if received >= runner.slots else 0.0
        if before.runner.domain == runner.domain:
            return HOP_MS * job.answer_tokens
        return (HOP_MS + CROSS_DOMAIN_MS) * job.answer_tokens

    def _part_cost(
        self,
        engine: Engine,
        runner: Target,
        rate: float,
        layers: int,
        job: Job,
        vms: int,
    ) -> float:
        cost = rate * layers / engine.layers
        capacity = kv_capacity(engine, runner)
        used = self._ledger.total(runner.id, vms).kv
        if used + job.tokens * layers > capacity * (1 - MIN_FREE_KV_PART):
            cost += FULL_MS
        return cost


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


def _may_head(
    runner: Target, head: ChainPart | None, heads: Collection[str] | None
) -> bool:
    if head is not None and runner.id != head.runner.id:
        return False
    return heads is None or runner.id in heads


def _walk_back(last: _Step, layers: int) -> Chain:
    parts = []
    end = layers
    step = last
    while step.runner is not None:
        parts.append(ChainPart(step.runner, step.first, end))
        end = step.first
        step = step.before
    return Chain.from_parts(reversed(parts))
