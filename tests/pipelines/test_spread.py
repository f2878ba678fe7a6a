"""Costs of runners for the requests of many VMs with old reports of the load."""

import random

import pytest
from hypothesis import given, strategies

from heathershunt.pipelines.spread import (
    MAX_USE_WEIGHT,
    TRUST_MS,
    UNKNOWN_USE,
    RunnerUse,
    Spread,
    fill_level,
)

VMS = 33
CAPACITY = 1000.0


def use(others=0.0, own=0.0, layer_ms=10.0, **options):
    return RunnerUse(layer_ms, CAPACITY, own, others, **options)


@given(
    strategies.dictionaries(
        strategies.floats(1, 100), strategies.floats(1, 1000), min_size=1, max_size=6
    ),
    strategies.floats(0.02, 0.95),
)
def test_level_fills_the_runners_with_the_whole_load(capacity_by_ms, part):
    # Guards against an expected load that is larger or smaller than the actual one.
    total = part * sum(capacity_by_ms.values())
    level = fill_level(capacity_by_ms, total)
    filled = [
        max(0.0, 1 - layer_ms / level) * capacity
        for layer_ms, capacity in capacity_by_ms.items()
    ]
    assert sum(filled) == pytest.approx(total, rel=1e-6)


def test_slow_runners_are_expected_to_be_free_until_fast_ones_cost_as_much():
    fast, slow = use(others=300.0, layer_ms=2.0), use(layer_ms=16.0)
    spread = Spread([fast, slow], VMS, age_ms=100_000)
    assert spread.reserved(fast) > 0.2 * CAPACITY
    assert spread.reserved(slow) == 0


def test_old_report_counts_less_than_a_fresh_one():
    # Guards against all VMs choosing the runner that an old report shows as free: by
    # now the others have chosen it too.
    free, busy = use(others=0.0), use(others=600.0)
    gaps = []
    for age_ms in (0, TRUST_MS, 5 * TRUST_MS):
        spread = Spread([free, busy], VMS, age_ms)
        gaps.append(spread.reserved(busy) - spread.reserved(free))
    assert gaps[0] == pytest.approx(600)
    assert gaps[0] > gaps[1] > gaps[2]
    assert gaps[2] < 0.01 * gaps[0]


def test_own_load_counts_fully_at_any_age_of_the_reports():
    # Guards against sends of this VM that are lost after a report was made.
    for age_ms in (0, 1000, 5000):
        mine, other = use(own=100.0), use()
        spread = Spread([mine, other], VMS, age_ms)
        gap = spread.reserved(mine) - spread.reserved(other)
        assert gap == pytest.approx(100)


def test_without_reports_the_load_is_expected_by_capacity_alone():
    # Guards against all VMs choosing the same runners after a restart of all at once.
    small, large = use(), RunnerUse(10.0, 3 * CAPACITY, 0.0, 0.0)
    spread = Spread([small, large], VMS, None)
    assert spread.reserved(small) == pytest.approx(UNKNOWN_USE * CAPACITY)
    assert spread.reserved(large) == pytest.approx(3 * UNKNOWN_USE * CAPACITY)


def test_without_reports_the_other_vms_are_expected_to_send_as_this_one():
    spread = Spread([use(own=20.0), use()], VMS, None)
    assert spread.reserved(use(own=20.0)) == pytest.approx(20 * VMS)


def test_one_request_does_not_make_a_runner_full_without_reports():
    # Guards against streams that wait for capacity in the second after a restart of 71
    # VMs, as one request of this VM on each runner stands for 71.
    mine, full = use(own=20.0), use(own=20.0, is_full=True)
    spread = Spread([mine, full], 71, None)
    assert spread.reserved(mine) > CAPACITY
    assert spread.room(mine, spread.reserved(mine)) > 0
    assert spread.room(full, spread.reserved(full)) == 0
    twice = use(own=40.0)
    assert spread.room(twice, spread.reserved(twice)) < 0


def test_last_report_still_counts_while_the_view_of_the_others_is_incomplete():
    # Guards against a VM that restarts alone and sends to runners known to be full.
    full = use(others=CAPACITY)
    spread = Spread([full, use()], VMS, None)
    assert spread.reserved(full) >= CAPACITY


def test_rejection_counts_less_as_it_gets_older():
    ages = (0, 300, 1200)
    spread = Spread([use(), use()], VMS, age_ms=200)
    reserved = [spread.reserved(use(rejected_ms=age_ms)) for age_ms in ages]
    assert reserved[0] == CAPACITY
    assert reserved[0] > reserved[1] > reserved[2] > spread.reserved(use())


def test_runner_that_rejected_a_request_of_this_vm_has_no_room():
    spread = Spread([use(), use()], VMS, age_ms=200)
    assert spread.reserved(use(rejected_ms=1200, is_full=True)) == CAPACITY


def test_runner_in_use_costs_more_than_a_free_one(monkeypatch):
    monkeypatch.setattr(random, "uniform", lambda low, high: (low + high) / 2)
    monkeypatch.setattr(random, "random", lambda: 0.0)
    spread = Spread([use()], VMS, age_ms=200)
    assert spread.cost_ms(use(), 1.0) == pytest.approx(10)
    assert spread.cost_ms(use(), 0.5) == pytest.approx(20)
    assert spread.cost_ms(use(), 0.0) > 100


@pytest.mark.parametrize(
    ("vms", "age_ms", "part"), [(390, 1000, 0.99), (390, 15, 0.1), (2, 1000, 0.5)]
)
def test_random_part_shrinks_with_fresh_reports_and_small_fleets(
    monkeypatch, vms, age_ms, part
):
    # Guards against requests over slow runners without need.
    drawn = []
    monkeypatch.setattr(random, "uniform", lambda *bounds: drawn.append(bounds) or 1.0)
    Spread([use()], vms, age_ms)
    low, high = drawn[0]
    assert (high - low) / MAX_USE_WEIGHT == pytest.approx(part, rel=0.02)
