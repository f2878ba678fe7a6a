"""Chain choice: dynamic programming over layer boundaries, then a random pair.

The backward pass computes the cheapest way from each layer boundary and failure
domain to the last layer. The forward walk then draws two of the nearly equal next
stages at each boundary and takes the cheaper, so that VMs that decide on the same
late report do not all choose the same runner.
"""

import random
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass
from operator import itemgetter

from result import Err, Ok, Result

from heathershunt.clock import Millis
from heathershunt.routing.inflight import InFlight
from heathershunt.routing.views import Chain, NoChain, RunnerView, Stage

# A candidate is (own cost, view); costs are milliseconds for the whole draft.
Candidate = tuple[float, RunnerView]
_TOTAL = itemgetter(0)


@dataclass(frozen=True)
class RoutingConfig:
    """Constants of the chain choice.

    :param answer_tokens: tokens that a draft is expected to produce.
    :param block_tokens: tokens that one prefix hash stands for.
    :param prefix_half_life_ms: age at which a reported prefix counts half.
    :param near_equal: share of a stage's cost within which stages are near-equal.
    :param keep_bonus_ms: advantage of a runner that holds the draft's KV cache.
    :param kv_full_ms: cost of a runner whose KV cache lacks room for the draft.
    :param same_domain_ms: one-way link delay within a failure domain.
    :param other_domain_ms: one-way link delay between two failure domains.
    :param unused_roles: roles whose runners take no drafts.

    .. versionadded:: 0.1
    """

    answer_tokens: int = 128
    block_tokens: int = 16
    prefix_half_life_ms: int = 60_000
    near_equal: float = 0.1
    keep_bonus_ms: float = 1e6
    kv_full_ms: float = 5_000.0
    same_domain_ms: float = 0.1
    other_domain_ms: float = 0.6
    unused_roles: frozenset[str] = frozenset({"spare"})


class Router:
    """Chooses chains and keeps the VM's own in-flight work.

    .. versionadded:: 0.1
    """

    def __init__(self, config: RoutingConfig, seed: int) -> None:
        self.config = config
        self.in_flight = InFlight()
        self._peer_factor = 1.0
        self._link_ms_by_domains: Mapping[tuple[str, str], float] = {}
        self._hop_costs_by_source: dict[str | None, dict[str, float]] = {}
        self._random = random.Random(seed)

    @classmethod
    def from_config(cls, config: RoutingConfig, seed: int) -> "Router":
        """Return a router; ``seed`` must differ between VMs."""
        return cls(config, seed)

    def set_peer_factor(self, factor: float) -> None:
        """Set how many runs all VMs place for each own run.

        The load of other VMs since a report is unknown; it is assumed to follow the
        own choices. ``factor`` is the rate of all VMs over the own rate, at most the
        number of VMs.
        """
        self._peer_factor = max(1.0, factor)

    def set_link_ms(self, link_ms_by_domains: Mapping[tuple[str, str], float]) -> None:
        """Replace the measured one-way delays between failure domains."""
        self._link_ms_by_domains = dict(link_ms_by_domains)
        self._hop_costs_by_source.clear()

    def choose_chain(
        self,
        model: str,
        version: str,
        adapter: str | None,
        layers: int,
        views_by_runner: Mapping[str, RunnerView],
        now: Millis,
        exclude: Collection[str] = frozenset(),
        prefix_hashes: Sequence[str] = (),
        keep: Collection[str] = frozenset(),
        prompt_tokens: int = 0,
    ) -> Result[Chain, NoChain]:
        """Return the chain on which a draft is expected to finish first.

        :param exclude: runners that must not be used.
        :param prefix_hashes: hashes of the growing prefixes of the prompt.
        :param keep: surviving runners that hold the draft's KV cache.
        :param prompt_tokens: prompt length, if longer than the hashed prefix.
        """
        candidates: dict[int, list[Candidate]] = {}
        prompt = max(prompt_tokens, len(prefix_hashes) * self.config.block_tokens)
        unused_roles = self.config.unused_roles
        for view in views_by_runner.values():
            if (
                view.model != model
                or view.version != version
                or view.leaving
                or (adapter is not None and adapter not in view.adapters)
                or view.runner in exclude
                or view.role in unused_roles
                or view.end_layer <= view.first_layer
            ):
                continue
            cost = self._stage_cost(view, now, prefix_hashes, prompt)
            if view.runner in keep:
                cost -= self.config.keep_bonus_ms
            candidates.setdefault(view.first_layer, []).append((cost, view))
        to_go = self._costs_to_go(candidates, layers)
        if None not in to_go.get(0, {}):
            return Err(_no_chain(model, version, layers, candidates))
        picked = self._walk(candidates, to_go, layers)
        stages = tuple(
            Stage(v.runner, v.address, v.fabric, v.first_layer, v.end_layer)
            for v in picked
        )
        return Ok(Chain(0, model, version, adapter, stages, to_go[0][None]))

    def _stage_cost(
        self,
        view: RunnerView,
        now: Millis,
        prefix_hashes: Sequence[str],
        prompt: int,
    ) -> float:
        load = view.load
        change = view.own.change_since(view.reported_at) * self._peer_factor
        runs = load.running + load.queued + change + 1
        limit = load.batch_limit
        if runs > limit:
            token_ms = (load.step_ms + load.token_ms * limit) * runs / limit
        else:
            token_ms = load.step_ms + load.token_ms * (runs if runs > 1 else 1)
        cost = self.config.answer_tokens * (token_ms + 2 * view.link_ms)
        if load.kv_free_tokens < prompt + self.config.answer_tokens:
            # The draft would wait for room or push out another draft's cache.
            cost += self.config.kv_full_ms
        if prompt:
            hit = self._expected_hit(view, now, prefix_hashes)
            cost += (prompt - hit) * load.prefill_token_ms
        return cost

    def _expected_hit(
        self, view: RunnerView, now: Millis, prefix_hashes: Sequence[str]
    ) -> float:
        seen_by_hash = view.prefix_seen_by_hash
        if not seen_by_hash:
            return 0.0
        for count in range(len(prefix_hashes), 0, -1):
            seen = seen_by_hash.get(prefix_hashes[count - 1])
            if seen is not None:
                age = max(0, now - seen)
                decay = 0.5 ** (age / self.config.prefix_half_life_ms)
                return count * self.config.block_tokens * decay
        return 0.0

    def _hop_costs(self, source: str | None, domains: Iterable[str]) -> dict:
        """Return the cost of a hop from ``source`` by target domain."""
        costs = self._hop_costs_by_source.setdefault(source, {})
        config = self.config
        for target in domains:
            if target in costs:
                continue
            delay = 0.0
            if source is not None:
                same = source == target
                delay = config.same_domain_ms if same else config.other_domain_ms
                delay = self._link_ms_by_domains.get((source, target), delay)
            costs[target] = config.answer_tokens * delay
        return costs

    def _costs_to_go(
        self, candidates: Mapping[int, list[Candidate]], layers: int
    ) -> dict[int, dict[str | None, float]]:
        """Return the cost to the last layer by boundary and previous domain.

        The hop from the last stage back to the first is left out: by the triangle
        inequality it costs at most as much as the forward hops.
        """
        domains = {v.domain for found in candidates.values() for _, v in found}
        ends = {layers: dict.fromkeys((*domains, None), 0.0)}
        for boundary in sorted(candidates, reverse=True):
            best_by_domain: dict[str, float] = {}
            for cost, view in candidates[boundary]:
                rest = ends.get(view.end_layer)
                if rest is None:
                    continue
                total = cost + rest[view.domain]
                if total < best_by_domain.get(view.domain, float("inf")):
                    best_by_domain[view.domain] = total
            if best_by_domain:
                ends[boundary] = self._cheapest_by_source(domains, best_by_domain)
        return ends

    def _cheapest_by_source(
        self, domains: Iterable[str], best_by_domain: Mapping[str, float]
    ) -> dict[str | None, float]:
        cheapest: dict[str | None, float] = {None: min(best_by_domain.values())}
        for source in domains:
            hops = self._hop_costs(source, best_by_domain)
            cheapest[source] = min(
                [hops[target] + total for target, total in best_by_domain.items()]
            )
        return cheapest

    def _walk(
        self,
        candidates: Mapping[int, list[Candidate]],
        to_go: Mapping[int, Mapping[str | None, float]],
        layers: int,
    ) -> Iterable[RunnerView]:
        boundary, domain = 0, None
        picked = []
        while boundary < layers:
            found = candidates[boundary]
            hops = self._hop_costs(domain, {view.domain for _, view in found})
            options = [
                (
                    cost + to_go[view.end_layer][view.domain] + hops[view.domain],
                    cost,
                    view,
                )
                for cost, view in found
                if view.end_layer in to_go
            ]
            view = self._pick(options)
            picked.append(view)
            boundary, domain = view.end_layer, view.domain
        return picked

    def _pick(self, options: list[tuple[float, float, RunnerView]]) -> RunnerView:
        best, own, view = min(options, key=_TOTAL)
        limit = best + self.config.near_equal * abs(own)
        if own < 0:
            # A kept runner is taken outright: its bonus exceeds any real cost.
            return view
        near = [option for option in options if option[0] <= limit]
        if len(near) == 1:
            return view
        chosen = min(self._random.sample(near, 2), key=_TOTAL)
        return chosen[2]


def _no_chain(
    model: str,
    version: str,
    layers: int,
    candidates: Mapping[int, list[Candidate]],
) -> NoChain:
    """Describe the first layer that cannot be passed from layer 0."""
    reached = {0}
    for boundary in sorted(candidates):
        if boundary in reached:
            reached.update(view.end_layer for _, view in candidates[boundary])
    layer = max((end for end in reached if end < layers), default=0)
    detail = f"no usable runner holds {model} {version} from layer {layer} on"
    return NoChain(model, version, layer, detail)
