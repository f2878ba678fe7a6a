"""Chain choice by dynamic programming and power of two random choices.

The backward pass computes the lowest cost from each layer boundary and failure domain
to the last layer. The forward pass then draws two of the nearly equal next stages at
each boundary and takes the cheaper one, so that VMs that decide on the same outdated
report do not all choose the same runner. Stages are nearly equal if the estimated runs
that other VMs have placed since the report would raise them to the same cost.
"""

import random
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass
from operator import itemgetter

from result import Err, Ok, Result

from heathershunt.clock import Millis
from heathershunt.routing.arrivals import ArrivalRate
from heathershunt.routing.inflight import InFlight
from heathershunt.routing.views import Chain, NoChain, RunnerView, Stage

# Most runs of all VMs that one run of this VM may stand for; higher factors overload
# single runners: with 64 VMs, throughput on crossing ranges is 0.954 of the bound with
# a limit of 8 and 0.946 with 64.
MAX_OWN_FACTOR = 8.0
# Older reports count as this old when the runs of other VMs are estimated. They are
# a poor estimate of the load; ejection handles runners with such reports.
MAX_UNREPORTED_AGE_MS = 10_000

# A candidate is (stage cost, view). Costs are milliseconds for the whole draft.
Candidate = tuple[float, RunnerView]
# An option is (cost to the last layer, stage cost, view).
Option = tuple[float, float, RunnerView]
_TOTAL = itemgetter(0)


@dataclass(frozen=True)
class RoutingConfig:
    """Constants of the chain choice.

    :param answer_tokens: tokens that a draft is expected to produce.
    :param block_tokens: prompt tokens that each prefix hash adds.
    :param prefix_half_life_ms: age at which a reported cached prefix counts half.
    :param near_equal: stages that cost at most this share of the best stage's cost more
        always count as nearly equal.
    :param keep_bonus_ms: cost reduction of a runner that holds the draft's KV cache.
    :param kv_full_ms: extra cost of a runner without KV cache space for the draft.
    :param same_domain_ms: one-way link delay within a failure domain.
    :param other_domain_ms: one-way link delay between two failure domains.
    :param unused_roles: roles of runners that get no drafts.

    .. versionadded:: 0.1
    """

    answer_tokens: int = 128
    block_tokens: int = 16
    prefix_half_life_ms: int = 60_000
    near_equal: float = 0.02
    keep_bonus_ms: float = 1e6
    kv_full_ms: float = 5_000.0
    same_domain_ms: float = 0.1
    other_domain_ms: float = 0.6
    unused_roles: frozenset[str] = frozenset({"idle", "loading", "spare"})


class Router:
    """Chooses chains and tracks the runs that this VM placed.

    .. versionadded:: 0.1
    """

    def __init__(self, config: RoutingConfig, seed: int) -> None:
        self.config = config
        self.in_flight = InFlight()
        self._peer_factor = self._own_factor = 1.0
        self._rates_by_model: dict[str, ArrivalRate] = {}
        self._link_ms_by_domains: Mapping[tuple[str, str], float] = {}
        self._hop_costs_by_source: dict[str | None, dict[str, float]] = {}
        self._random = random.Random(seed)

    @classmethod
    def from_config(cls, config: RoutingConfig, seed: int) -> "Router":
        """Return a router; ``seed`` must differ between VMs."""
        return cls(config, seed)

    def set_peer_factor(self, factor: float) -> None:
        """Set how many runs all VMs place for each run of this VM.

        The runs that other VMs placed since a report are unknown. They are assumed to
        be spread like those of this VM. ``factor`` is the request rate of all VMs
        divided by that of this VM, at most the number of VMs.
        """
        self._peer_factor = max(1.0, factor)
        self._own_factor = min(self._peer_factor, MAX_OWN_FACTOR)

    def set_link_ms(self, link_ms_by_domains: Mapping[tuple[str, str], float]) -> None:
        """Replace the measured one-way delays, by (source, target) failure domains."""
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
        :param keep: runners that still hold the draft's KV cache, preferred to others.
        :param prompt_tokens: prompt length, if longer than the hashed prefix.
        """
        candidates: dict[int, list[Candidate]] = {}
        prompt = max(prompt_tokens, len(prefix_hashes) * self.config.block_tokens)
        for view in views_by_runner.values():
            if (
                view.model != model
                or view.version != version
                or (adapter is not None and adapter not in view.adapters)
                or view.runner in exclude
                or not self._is_usable(view)
            ):
                continue
            cost = self._stage_cost(view, now, prefix_hashes, prompt)
            if view.runner in keep:
                cost -= self.config.keep_bonus_ms
            candidates.setdefault(view.first_layer, []).append((cost, view))
        to_go = self._costs_to_go(candidates, layers)
        if None not in to_go.get(0, {}):
            return Err(_no_chain(model, version, layers, candidates))
        unreported_per_ms = self._unreported_per_ms(model, now)
        picked = self._choose_stages(candidates, to_go, layers, now, unreported_per_ms)
        stages = tuple(
            Stage(v.runner, v.address, v.fabric, v.first_layer, v.end_layer)
            for v in picked
        )
        return Ok(Chain(0, model, version, adapter, stages, to_go[0][None]))

    def _is_usable(self, view: RunnerView) -> bool:
        return (
            not view.leaving
            and view.role not in self.config.unused_roles
            and view.first_layer < view.end_layer
            and view.load.batch_limit > 0
        )

    def _unreported_per_ms(self, model: str, now: Millis) -> float:
        """Count one choice and return the estimated choices per ms of other VMs."""
        rate = self._rates_by_model.get(model)
        if rate is None:
            rate = self._rates_by_model[model] = ArrivalRate(now)
        rate.add(now)
        return (self._peer_factor - 1) * rate.per_ms

    def _stage_cost(
        self,
        view: RunnerView,
        now: Millis,
        prefix_hashes: Sequence[str],
        prompt: int,
    ) -> float:
        """Return the cost of ``view`` in milliseconds for the whole draft."""
        load = view.load
        change = view.own.correction_since(view.reported_at) * self._own_factor
        runs = load.running + load.queued + change + 1
        limit = load.batch_limit
        if runs > limit:
            token_ms = (load.step_ms + load.token_ms * limit) * runs / limit
        else:
            token_ms = load.step_ms + load.token_ms * (runs if runs > 1 else 1)
        cost = self.config.answer_tokens * (token_ms + 2 * view.link_ms)
        if load.kv_free_tokens < prompt + self.config.answer_tokens:
            # The draft would wait for space or evict the KV cache of another draft.
            cost += self.config.kv_full_ms
        if prompt:
            hit_tokens = self._expected_hit_tokens(view, now, prefix_hashes)
            cost += (prompt - hit_tokens) * load.prefill_token_ms
        return cost

    def _expected_hit_tokens(
        self, view: RunnerView, now: Millis, prefix_hashes: Sequence[str]
    ) -> float:
        """Return the expected number of prompt tokens in the runner's prefix cache."""
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
        """Return the cost of the hop from ``source``, by target domain."""
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
        """Return the cost to the last layer, by boundary and previous domain.

        The hop from the last stage back to the first is ignored: by the triangle
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

    def _choose_stages(
        self,
        candidates: Mapping[int, list[Candidate]],
        to_go: Mapping[int, Mapping[str | None, float]],
        layers: int,
        now: Millis,
        unreported_per_ms: float,
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
            view = self._choose_stage(options, now, unreported_per_ms)
            picked.append(view)
            boundary, domain = view.end_layer, view.domain
        return picked

    def _choose_stage(
        self, options: list[Option], now: Millis, unreported_per_ms: float
    ) -> RunnerView:
        options.sort(key=_TOTAL)
        best, stage_cost, view = options[0]
        if stage_cost < 0:
            # Only a runner in ``keep`` has a negative cost, since its bonus exceeds any
            # real cost. It is always chosen.
            return view
        age_ms = min(max(0, now - view.reported_at), MAX_UNREPORTED_AGE_MS)
        level = self._fill_level(options, unreported_per_ms * age_ms)
        level = max(level, best + self.config.near_equal * stage_cost)
        near = [option for option in options if option[0] <= level]
        if len(near) == 1:
            return view
        capacities = [1 / self._run_cost(option[2]) for option in near]
        drawn = self._random.choices(near, capacities, k=2)
        return min(drawn, key=_TOTAL)[2]

    def _fill_level(self, options: list[Option], unreported: float) -> float:
        """Return the cost to which ``unreported`` runs raise the cheapest options.

        The runs are assigned by water-filling: each one goes to the option that is the
        cheapest by then. ``options`` must be sorted by total cost.
        """
        level, capacity = options[0][0], 0.0
        for total, _, view in options:
            taken = capacity * (total - level)
            if taken >= unreported:
                break
            unreported -= taken
            level = total
            capacity += 1 / self._run_cost(view)
        return level + unreported / capacity if unreported > 0 else level

    def _run_cost(self, view: RunnerView) -> float:
        """Return the cost that one more run adds to a runner with a full batch."""
        load = view.load
        return self.config.answer_tokens * load.full_step_ms() / load.batch_limit


def _no_chain(
    model: str,
    version: str,
    layers: int,
    candidates: Mapping[int, list[Candidate]],
) -> NoChain:
    """Return the error, with the first layer that no usable runner continues from."""
    reached = {0}
    for boundary in sorted(candidates):
        if boundary in reached:
            reached.update(view.end_layer for _, view in candidates[boundary])
    layer = max((end for end in reached if end < layers), default=0)
    detail = f"no usable runner holds {model} {version} from layer {layer} on"
    return NoChain(model, version, layer, detail)
