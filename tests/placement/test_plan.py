from dataclasses import replace

import pytest
from hypothesis import given, settings, strategies as st

from heathershunt.bundle import Model
from heathershunt.clock import Millis
from heathershunt.http import Address
from heathershunt.placement.plan import allocate_runners, plan
from heathershunt.placement.ranges import Range, choose_ranges
from heathershunt.runners import ReportedLoad, RunnerReport, RunnerState

LOAD = ReportedLoad(0, 0, 16, 2.0, 0.2, 0.05, 1000, 0)
M2 = Model("m", 12, "v2")


def state(name, version="v1", layers=(0, 4), domain="a", **fields):
    report = RunnerReport(
        runner=name,
        incarnation=1,
        kind="k1",
        fence=0,
        checks_fence=True,
        leaving=False,
        vm=name,
        domain=domain,
        model="m",
        version=version,
        adapters=(),
        first_layer=layers[0],
        end_layer=layers[1],
        role="drafting",
        fabric="",
        load=LOAD,
    )
    return RunnerState(
        Address("127.0.0.1", 1), replace(report, **fields), Millis(0), Millis(0), 1.0
    )


def fleet(replicas, version="v1"):
    return [
        state(f"s{first}r{index}", version, (first, first + 4), "abc"[index % 3])
        for first in (0, 4, 8)
        for index in range(replicas)
    ]


def make_plan(states, models=(M2,), model=M2, max_loads=4, token=0):
    return plan(
        model, models, states, layers_per_runner=4, max_loads=max_loads, token=token
    )


def apply_order(states, order, role):
    """Return the states after a runner accepted an order and reports ``role``."""
    return [
        replace(
            s,
            report=replace(
                s.report,
                model=order.model,
                version=order.version,
                first_layer=order.first_layer,
                end_layer=order.end_layer,
                role=role,
            ),
        )
        if s.report.runner == order.runner
        else s
        for s in states
    ]


def full_chains(states):
    serving = {
        (s.report.version, s.report.first_layer)
        for s in states
        if s.report.role == "drafting" and not s.report.leaving
    }
    return {v for v, _ in serving if {(v, x) for x in (0, 4, 8)} <= serving}


@settings(max_examples=150, derandomize=True, deadline=None)
@given(
    counts=st.tuples(*[st.integers(2, 4)] * 3),
    max_loads=st.integers(1, 5),
    data=st.data(),
)
def test_rollout_always_keeps_a_complete_chain(counts, max_loads, data):
    """Loads end in any order; one version must have a complete chain throughout."""
    states = [
        state(f"s{first}r{index}", "v1", (first, first + 4))
        for first, count in zip((0, 4, 8), counts, strict=True)
        for index in range(count)
    ]
    had_new = False
    for step in range(60):
        loading = [s.report for s in states if s.report.role == "loading"]
        for order in make_plan(states, max_loads=max_loads):
            states = apply_order(states, order, "loading")
        assert sum(s.report.role == "loading" for s in states) <= max_loads
        chains = full_chains(states)
        assert "v2" in chains if had_new else "v1" in chains or "v2" in chains
        had_new = had_new or "v2" in chains
        if not loading and all(s.report.version == "v2" for s in states):
            break
        for report in [s.report for s in states if s.report.role == "loading"]:
            if step > 20 or data.draw(st.booleans()):
                states = [
                    replace(s, report=replace(report, role="drafting"))
                    if s.report.runner == report.runner
                    else s
                    for s in states
                ]
    assert {s.report.version for s in states} == {"v2"}


def test_stable_fleet_gets_no_orders():
    assert make_plan(fleet(2, "v2")) == ()


def test_only_chain_is_kept_without_a_spare_runner():
    """Guards against a rollout that leaves no version with a complete chain."""
    assert make_plan(fleet(1)) == ()


def test_leaving_runner_gets_no_order_and_its_range_is_covered():
    states = fleet(2, "v2")
    leaving_states = [
        replace(s, report=replace(s.report, leaving=True)) for s in states[:2]
    ]
    orders = make_plan(leaving_states + states[2:])
    assert [(o.first_layer, o.end_layer) for o in orders] == [(0, 4)]
    assert orders[0].runner not in {s.report.runner for s in leaving_states}


def test_move_prefers_a_domain_that_the_target_range_lacks():
    """Guards against a move that leaves both runners of a range in one domain."""
    states = [
        state("a1", "v2", (0, 4), "a"),
        state("a2", "v2", (0, 4), "a"),
        state("b1", "v2", (0, 4), "b"),
        state("a3", "v2", (4, 8), "a"),
        state("b2", "v2", (8, 12), "b"),
        state("c2", "v2", (8, 12), "c"),
    ]
    assert [o.runner for o in make_plan(states)] == ["b1"]


def test_new_token_is_sent_to_runners_that_check_tokens():
    """Guards against a runner that still accepts a late order of the old holder."""
    states = fleet(2, "v2")
    states[0] = replace(states[0], report=replace(states[0].report, checks_fence=False))
    orders = make_plan(states, token=9, max_loads=0)
    assert {o.runner for o in orders} == {s.report.runner for s in states[1:]}


def test_unassigned_runners_go_to_the_model_with_the_fewest():
    other = Model("n", 8, "v1")
    states = [*fleet(2, "v2"), state("x", model=""), state("y", model="gone")]
    reports = [s.report for s in states]
    shares = allocate_runners((M2, other), reports, 4)
    assert sorted(r.runner for r in shares["n"]) == ["x", "y"]
    orders = make_plan(states, (M2, other), other)
    assert {(o.first_layer, o.end_layer) for o in orders} == {(0, 4), (4, 8)}


def test_model_without_runners_takes_the_surplus_of_another():
    other = Model("n", 4, "v1")
    reports = [s.report for s in fleet(2, "v2")]
    shares = allocate_runners((M2, other), reports, 4)
    assert (len(shares["m"]), len(shares["n"])) == (5, 1)


@pytest.mark.parametrize(
    ("held", "expected"),
    [
        ({}, [(0, 4), (4, 8), (8, 12)]),
        ({Range(0, 6): 1, Range(6, 12): 1}, [(0, 6), (6, 12)]),
        ({Range(0, 6): 1}, [(0, 6), (6, 9), (9, 12)]),
        (
            {Range(0, 6): 1, Range(6, 12): 1, Range(0, 4): 3, Range(4, 12): 3},
            [(0, 4), (4, 12)],
        ),
        ({Range(0, 8): 2, Range(4, 12): 1}, [(0, 8), (8, 12)]),
        ({Range(0, 99): 5, Range(3, 3): 1}, [(0, 4), (4, 8), (8, 12)]),
    ],
)
def test_ranges_cover_every_layer_once(held, expected):
    assert [tuple(span) for span in choose_ranges(12, held, 4)] == expected
