from dataclasses import replace

import pytest
from hypothesis import given, settings, strategies as st

from heathershunt.routing import (
    Router,
    RoutingConfig,
    RunnerLoadReport,
    RunnerView,
    pipeline_capacity,
)

CONFIG = RoutingConfig(other_domain_ms=0.6, near_equal=0.0)


def view(name, first, end, **fields):
    load = fields.pop(
        "load", RunnerLoadReport(batch_limit=8, step_ms=20.0, token_ms=0.5)
    )
    place = {"vm": name, "domain": "a", "kind": "x", "model": "m", "version": "1"}
    place |= {"first_layer": first, "end_layer": end, "load": load, **fields}
    return RunnerView(name, f"{name}:1", f"{name}:2", **place)


def choose(views, *, layers=4, config=CONFIG, now=0, adapter=None, **options):
    router = Router.from_config(config, seed=1)
    by_runner = {v.runner: v for v in views}
    return router.choose_chain("m", "1", adapter, layers, by_runner, now, **options)


def runners(result):
    return result.ok_value.runners()


@given(
    st.lists(st.tuples(st.integers(0, 7), st.integers(1, 8)), max_size=30),
    st.integers(0, 3),
)
@settings(max_examples=80, deadline=None)
def test_chain_covers_every_layer_once_or_no_chain_is_found(ranges, seed):
    """Guards against gaps, overlaps and missed chains where ranges do not align."""
    views = [
        view(f"r{i}", first, first + size) for i, (first, size) in enumerate(ranges)
    ]
    reachable = {0}
    for first, size in sorted(ranges):
        if first in reachable:
            reachable.add(first + size)
    router = Router.from_config(RoutingConfig(), seed)
    by_runner = {v.runner: v for v in views}
    result = router.choose_chain("m", "1", None, 8, by_runner, 0)
    assert result.is_ok() == (8 in reachable)
    if result.is_ok():
        at = 0
        for stage in result.ok_value.stages:
            assert stage.first_layer == at < stage.end_layer
            at = stage.end_layer
        assert at == 8


RANGES = [(0, 1), (0, 2), (0, 2), (0, 4), (1, 2), (1, 4), (2, 3), (2, 4), (3, 4)]
LOADS = st.lists(
    st.tuples(st.integers(0, 60), st.sampled_from("ab")),
    min_size=len(RANGES),
    max_size=len(RANGES),
)


def cheapest(router, views, at=0, domain=None):
    """Return the cost of the best chain from layer ``at`` on, by exhaustive search."""
    if at == 4:
        return 0.0
    costs = [
        router._stage_cost(v, 0, (), 0)
        + router._hop_costs(domain, [v.domain])[v.domain]
        + cheapest(router, views, v.end_layer, v.domain)
        for v in views
        if v.first_layer == at and v.end_layer <= 4
    ]
    return min(costs, default=float("inf"))


@given(LOADS)
@settings(max_examples=80, deadline=None)
def test_chosen_chain_is_the_cheapest(loads):
    """Guards against a greedy choice: a cheap first stage before expensive ones."""
    views = [
        view(f"r{i}", *layers, domain=domain, load=RunnerLoadReport(busy, 0, 8, 20.0))
        for i, (layers, (busy, domain)) in enumerate(zip(RANGES, loads, strict=True))
    ]
    router = Router.from_config(CONFIG, seed=1)
    by_runner = {v.runner: v for v in views}
    chain = router.choose_chain("m", "1", None, 4, by_runner, 0).ok_value
    expected = cheapest(router, views)
    chosen = [by_runner[runner] for runner in chain.runners()]
    assert cheapest(router, chosen) == pytest.approx(expected)
    assert chain.cost_ms == pytest.approx(expected)


@pytest.mark.parametrize(
    "unusable",
    [
        {"version": "2"},
        {"model": "other"},
        {"leaving": True},
        {"role": "spare"},
        {"adapters": frozenset()},
        {"end_layer": 2},
        {"end_layer": 1},
        {"load": RunnerLoadReport(batch_limit=0)},
    ],
    ids=str,
)
def test_unusable_runners_get_no_new_work(unusable):
    """Guards against a wrong version, leaving runners and reports without capacity."""
    usable = view("ok", 2, 4, adapters=frozenset({"lora"}))
    first = view("first", 0, 2, adapters=frozenset({"lora"}))
    bad = view("bad", 2, 4, **{"adapters": frozenset({"lora"}), **unusable})
    assert runners(choose([first, usable, bad], adapter="lora")) == ("first", "ok")
    error = choose([first, bad], adapter="lora").err_value
    assert (error.layer, error.model) == (2, "m")


def test_excluded_runner_is_not_used_even_if_it_holds_the_kv_cache():
    """Guards against a recovery that uses the failed runner again."""
    views = [view("a", 0, 4), view("b", 0, 4)]
    assert runners(choose(views, exclude={"a"}, keep={"a"})) == ("b",)


def test_runner_that_holds_the_kv_cache_is_chosen_although_busier():
    """Guards against recomputing a KV cache that still exists."""
    busy = RunnerLoadReport(running=60, batch_limit=8, step_ms=20.0)
    config = RoutingConfig(near_equal=10.0)
    views = [view("a", 0, 2), view("b", 2, 4, load=busy), view("c", 2, 4)]
    assert runners(choose(views, keep={"b"}, config=config)) == ("a", "b")


def test_own_runs_count_only_if_the_report_does_not_include_them():
    """Guards against counting a run twice or not at all."""
    router = Router.from_config(CONFIG, seed=1)
    own_runs = router.in_flight.runs_at("a")
    router.in_flight.start("early", ("a",), 5)
    router.in_flight.start("late", ("a",), 15)
    assert own_runs.correction_since(10) == 1
    router.in_flight.end("early", 20)
    assert own_runs.correction_since(10) == 0
    router.in_flight.end("late", 25)
    assert (own_runs.correction_since(10), own_runs.correction_since(25)) == (-1, 0)
    router.in_flight.end("late", 30)
    assert len(own_runs) == 0


def test_own_runs_since_the_report_change_the_next_choice():
    """Guards against sending every run to one runner until the next report."""
    router = Router.from_config(CONFIG, seed=1)
    by_runner = {
        n: view(n, 0, 4, own=router.in_flight.runs_at(n)) for n in ("a", "b", "c")
    }
    for number in range(9):
        chain = router.choose_chain("m", "1", None, 4, by_runner, 10).ok_value
        router.in_flight.start(f"run{number}", chain.runners(), 10)
    assert [len(router.in_flight.runs_at(n)) for n in "abc"] == [3, 3, 3]


def test_weight_of_a_prefix_hit_decays_with_age():
    """Guards against routing to a cached prefix that was evicted long ago."""
    load = RunnerLoadReport(
        batch_limit=8, step_ms=20.0, token_ms=0.5, prefill_token_ms=1
    )
    idle = view("idle", 0, 4, load=load)
    cached = view(
        "cached",
        0,
        4,
        load=replace(load, running=3),
        prefix_seen_by_hash={"p2": 0},
    )
    hashes = [f"p{i}" for i in range(1, 21)]
    hashes[19] = "p2"
    assert runners(choose([idle, cached], prefix_hashes=hashes)) == ("cached",)
    old = choose([idle, cached], prefix_hashes=hashes, now=600_000)
    assert runners(old) == ("idle",)


def test_runner_with_a_full_kv_cache_comes_last():
    """Guards against drafts that evict each other's KV cache."""
    full = RunnerLoadReport(batch_limit=8, step_ms=20.0, kv_free_tokens=100)
    views = [
        view("full", 0, 4, load=full),
        view("busy", 0, 4, load=RunnerLoadReport(30, 0, 8)),
    ]
    assert runners(choose(views, prompt_tokens=500)) == ("busy",)
    assert runners(choose(views[:1])) == ("full",)


def test_slow_links_and_hops_between_domains_are_avoided():
    """Guards against hops between failure domains without a benefit."""
    views = [
        view("a0", 0, 2),
        view("b0", 0, 2, domain="b", link_ms=30.0),
        view("a1", 2, 4),
        view("b1", 2, 4, domain="b"),
    ]
    assert runners(choose(views)) == ("a0", "a1")


def test_slower_link_delay_changes_the_choice():
    """Guards against cached hop costs from outdated link measurements."""
    router = Router.from_config(CONFIG, seed=1)
    views = [view("a0", 0, 2), view("b1", 2, 4, domain="b"), view("c1", 2, 4)]
    by_runner = {v.runner: v for v in views}
    for delays, expected in (({}, "c1"), ({("a", "a"): 9.0}, "b1")):
        router.set_link_ms(delays)
        chain = router.choose_chain("m", "1", None, 4, by_runner, 0).ok_value
        assert chain.runners() == ("a0", expected)


@pytest.mark.parametrize(("peer_factor", "wide_runs"), [(1, 200), (64, 150)])
def test_unreported_runs_of_other_vms_spread_the_choice(peer_factor, wide_runs):
    """Guards against many VMs overloading the runner that all reports show as idle."""
    wide = RunnerLoadReport(running=10, batch_limit=24, step_ms=20.0)
    narrow = RunnerLoadReport(running=9, batch_limit=8, step_ms=20.0)
    views = {"a": view("a", 0, 4, load=wide), "b": view("b", 0, 4, load=narrow)}
    router = Router.from_config(CONFIG, seed=1)
    router.set_peer_factor(peer_factor)
    chosen = []
    for now in range(0, 4000, 10):
        views = {n: replace(v, reported_at=now - 500) for n, v in views.items()}
        chain = router.choose_chain("m", "1", None, 4, views, now).ok_value
        chosen.append(chain.runners()[0])
    # Two draws by capacity (3:1) and the cheaper of them: at least 3 in 4.
    count = chosen[200:].count("a")
    assert count == 200 if peer_factor == 1 else wide_runs <= count < 200


def test_report_with_a_step_time_of_zero_allows_a_choice():
    """Guards against a division by a reported step time of zero."""
    views = [view(n, 0, 4, load=RunnerLoadReport(step_ms=0.0)) for n in "ab"]
    assert choose(views).is_ok()
    assert pipeline_capacity(views, 4).tokens_per_second == pytest.approx(2e6)


def test_seeds_spread_equal_choices():
    """Guards against several VMs choosing the same runner from the same report."""
    views = {f"r{i}": view(f"r{i}", 0, 4) for i in range(10)}
    chosen = {
        Router.from_config(RoutingConfig(), seed)
        .choose_chain("m", "1", None, 4, views, 0)
        .ok_value.runners()
        for seed in range(20)
    }
    assert len(chosen) >= 5
