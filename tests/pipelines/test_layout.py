"""Layouts of one failure domain with four kinds of cards, some lost permanently."""

from dataclasses import replace

import pytest

from heathershunt.discovery import LayerRange
from heathershunt.pipelines import LayoutConfig, Placement, plan_layout
from heathershunt.pipelines.layout import default_layer_count

CONFIG = LayoutConfig()
# Cards of a failure domain; their memory holds little more than one copy of all layers.
CARDS = ["medium"] + 8 * ["small"] + 3 * ["tiny"]


def apply(runners, plan):
    placed = {item.runner.id: item.layers for item in plan}
    return [replace(r, held=placed.get(r.id, r.held)) for r in runners]


def copies(engine, runners, domain="a"):
    counts = [0] * engine.layers
    for runner in runners:
        if runner.domain == domain and runner.held:
            for layer in range(runner.held.first, runner.held.end):
                counts[layer] += 1
    return counts


@pytest.fixture
def placed(engine, runner):
    runners = [runner(kind) for kind in CARDS]
    return apply(runners, plan_layout(engine, runners, CONFIG))


def test_empty_runners_cover_every_layer_of_their_domain(engine, placed):
    assert min(copies(engine, placed)) >= 1


def test_ordered_layers_fit_the_memory_of_each_runner(engine, placed):
    for item in placed:
        kind = engine.kinds_by_name[item.kind]
        used_mb = item.held.size * engine.layer_mb
        min_kv_mb = CONFIG.min_kv_tokens * item.held.size * engine.kv_mb
        assert used_mb + min_kv_mb <= kind.memory_mb


def test_runner_of_an_unknown_kind_gets_no_layers(engine, runner):
    unknown = runner("unheard of")
    assert default_layer_count(engine, unknown, CONFIG) == 0
    assert plan_layout(engine, [unknown], CONFIG) == []


def test_completed_layout_needs_no_orders(engine, placed):
    assert plan_layout(engine, placed, CONFIG) == []


def test_pending_orders_are_not_repeated(engine, runner):
    runners = [runner(kind) for kind in CARDS]
    plan = plan_layout(engine, runners, CONFIG)
    assert plan_layout(engine, runners, CONFIG, plan) == []


def test_gap_is_filled_by_the_redundant_runner_that_loads_least(engine, runner):
    # Guards against moving a large fast card into a gap that a small card can fill: the
    # large one loads its layers for seconds.
    whole = [runner("large", held=(at, at + 20)) for at in (0, 20, 40)]
    spare_large = runner("large", held=(0, 27))
    spare_small = runner("small", held=(0, 8))
    last = [runner("small", held=(60, 68)), runner("small", held=(74, 80))]
    plan = plan_layout(engine, [*whole, spare_large, spare_small, *last], CONFIG)
    assert [item.runner.id for item in plan] == [spare_small.id]
    assert min(copies(engine, apply([*whole, spare_small, *last], plan))) >= 1


def test_runner_whose_layers_have_three_holders_is_moved_first(engine, runner):
    # Guards against layers without a holder: a redundant runner moved just when the
    # only other holder of its layers began to leave, and nobody held them until they
    # were loaded again.
    whole = [runner("large", held=(at, at + 20)) for at in (0, 20, 40)]
    pair = runner("small", held=(0, 8))
    trio = [runner("small", held=(20, 28)) for _ in range(2)]
    last = [runner("small", held=(60, 68)), runner("small", held=(74, 80))]
    plan = plan_layout(engine, [*whole, pair, *trio, *last], CONFIG)
    assert [item.runner.id in {r.id for r in trio} for item in plan] == [True]


def test_copy_that_is_still_loading_does_not_make_its_holder_redundant(engine, runner):
    # Guards against moving the holder while the other runner still loads the layers,
    # which would leave them without a holder.
    whole = [runner("large", held=(at, at + 20)) for at in (20, 40)]
    holder = runner("small", held=(0, 20))
    loading = runner("large")
    ordered = [Placement(loading, LayerRange(0, 20))]
    last = [runner("small", held=(60, 68)), runner("small", held=(74, 80))]
    runners = [*whole, holder, loading, *last]
    plan = plan_layout(engine, runners, CONFIG, ordered)
    assert holder.id not in {
        item.runner.id
        for item in plan
        if not item.layers.first <= 0 < 20 <= item.layers.end
    }


def test_gap_without_a_redundant_runner_is_filled_by_adjacent_runners(engine, runner):
    # Guards against a domain that has enough memory but never gets a complete chain.
    left = [runner("small", held=(at, at + 8)) for at in range(0, 40, 8)]
    right = [runner("small", held=(at, at + 8)) for at in range(45, 77, 8)]
    last = runner("small", held=(77, 80))
    runners = [*left, *right, last]
    plan = plan_layout(engine, runners, CONFIG)
    assert min(copies(engine, apply(runners, plan))) == 1
    assert {item.runner.id for item in plan} <= {left[-1].id, right[0].id}


def test_only_holder_of_a_layer_is_not_moved(engine, runner):
    alone = [runner("tiny", held=(at, at + 7)) for at in range(0, 56, 7)]
    plan = plan_layout(engine, alone, CONFIG)
    for item in plan:
        assert item.layers.first <= item.runner.held.first
        assert item.layers.end >= item.runner.held.end
