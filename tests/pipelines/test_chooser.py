"""Chains for many streams over cards of different kinds with overlapping layers."""

from dataclasses import replace

import pytest
from hypothesis import given, strategies

from heathershunt.clock import ManualClock
from heathershunt.pipelines import ChainChooser, Job, LoadLedger, PaceTracker
from heathershunt.pipelines.chooser import HOP_MS, LARGE_FLEET_VMS
from heathershunt.pipelines.estimates import kv_capacity
from heathershunt.pipelines.pace import PACE_MAX_AGE_MS
from heathershunt.pipelines.runners import RunnerReport
from tests.pipelines import engines

JOB = Job(760, 167)


@pytest.fixture
def ledger(clock):
    """Return the ledger of a VM whose last exchange showed no load of the others."""
    ledger = LoadLedger(clock)
    ledger.set_others({})
    return ledger


@pytest.fixture
def paces(clock):
    return PaceTracker(clock, print)


@pytest.fixture
def chooser(ledger, paces):
    return ChainChooser(ledger, paces)


def test_chain_covers_every_layer_once_and_in_order(engine, runner, chooser):
    runners = [
        runner("medium", held=(0, 30)),
        runner("small", held=(20, 50)),
        runner("small", held=(45, 80)),
    ]
    assert chooser.choose(engine, runners, JOB, 1).covers(80)


def test_no_chain_is_returned_if_a_layer_is_missing(engine, runner, chooser):
    runners = [runner(held=(0, 40)), runner(held=(41, 80))]
    assert chooser.choose(engine, runners, JOB, 1) is None


def test_faster_card_computes_layers_that_two_hold(engine, runner, chooser):
    fast = runner("large", held=(0, 40))
    slow = runner("small", held=(0, 40))
    rest = runner("small", held=(40, 80))
    chain = chooser.choose(engine, [slow, fast, rest], JOB, 1)
    assert [part.runner.id for part in chain.parts] == [fast.id, rest.id]


def test_streams_spread_over_equal_chains(engine, runner, chooser, ledger):
    runners = [runner(domain=name, held=(0, 80)) for name in "abc"]
    for _ in range(30):
        ledger.add(chooser.choose(engine, runners, JOB, 4), JOB.tokens)
    loads = [ledger.total(item.id, 1).requests for item in runners]
    assert sum(loads) == 30
    assert max(loads) - min(loads) <= 4


def test_chain_spans_domains_only_if_one_lacks_layers(engine, runner, chooser):
    left = [runner(domain="a", held=(0, 40)), runner(domain="a", held=(40, 80))]
    right = [runner(domain="b", held=(0, 40)), runner("large", "b", held=(40, 80))]
    chain = chooser.choose(engine, [*left, right[1]], JOB, 1)
    assert chain.covers(80)
    whole = chooser.choose(engine, [*left, *right], JOB, 1)
    assert {part.runner.domain for part in whole.parts} == {"b"}


def test_runner_with_a_full_kv_cache_is_chosen_last(engine, runner, chooser, ledger):
    full = runner("tiny", held=(0, 8))
    free = runner("small", held=(0, 8))
    rest = runner("large", held=(8, 80))
    load = kv_capacity(engine, full) / full.held.size
    only_full = chooser.choose(engine, [full, rest], JOB, 1)
    ledger.add(only_full, load)
    chain = chooser.choose(engine, [full, free, rest], JOB, 1)
    assert chain.head.id == free.id


def report(pace):
    return RunnerReport(0, 0, False, None, 0, 0, 0.0, 0.0, pace)


def test_chain_without_the_slow_runner_is_cheaper(
    engine, runner, chooser, ledger, paces, clock
):
    # Guards against late streams of a whole domain because one of its cards is slow.
    slow, rest = runner(held=(0, 40)), runner(held=(40, 80))
    other = runner("tiny", "b", held=(0, 80))
    engine = replace(engine, layer_mb=100)
    first = chooser.choose(engine, [slow, rest, other], JOB, 1)
    for item in first.parts:
        paces.record(item.runner.id, report(pace=5.0))
    second = chooser.choose(engine, [slow, rest, other], JOB, 1)
    assert first.head.domain != second.head.domain
    clock.advance(PACE_MAX_AGE_MS + 1)
    ledger.set_others({})
    again = chooser.choose(engine, [slow, rest, other], JOB, 1)
    assert again.head.domain == first.head.domain


QUARTERS = [(0, 20), (20, 40), (40, 60), (60, 80)]


def test_chain_avoids_the_slow_runners_of_all_domains(engine, runner, chooser, paces):
    # Guards against late streams everywhere when each domain has slow cards: the other
    # cards of all domains together still make a chain.
    left = [runner("medium", "a", held=held) for held in QUARTERS]
    right = [runner("medium", "b", held=held) for held in QUARTERS]
    for slow in (left[0], right[3]):
        paces.record(slow.id, report(pace=40.0))
    chain = chooser.choose(engine, left + right, JOB, 1)
    used = {part.runner.id for part in chain.parts}
    assert chain.covers(80)
    assert not used & {left[0].id, right[3].id}


def test_slightly_slow_runner_is_kept_if_another_domain_costs_more(
    engine, runner, chooser, paces
):
    # Guards against prompts on the shared links between domains to avoid a small delay.
    left = [runner("medium", "a", held=held) for held in QUARTERS]
    right = [runner("medium", "b", held=held) for held in QUARTERS]
    for slow in (left[0], right[3]):
        paces.record(slow.id, report(pace=1.5))
    chain = chooser.choose(engine, left + right, JOB, 1)
    assert len({part.runner.domain for part in chain.parts}) == 1


def test_report_of_the_usual_pace_ends_a_slow_one(paces):
    paces.record("r1", report(pace=5.0))
    assert paces.pace("r1") == 5.0
    paces.record("r1", report(pace=1.0))
    assert paces.pace("r1") == 1.0


def test_avoided_runner_is_not_used(engine, runner, chooser):
    first, second = runner(held=(0, 80)), runner(held=(0, 80))
    assert chooser.choose(engine, [first, second], JOB, 1, {first.id}).head == second
    assert chooser.choose(engine, [first], JOB, 1, {first.id}) is None


def test_required_head_keeps_its_part(engine, runner, chooser):
    first = runner(held=(0, 40))
    others = [runner(held=(30, 80)), runner("large", held=(30, 80))]
    chain = chooser.choose(engine, [first, others[0]], JOB, 1)
    replaced = chooser.choose(
        engine, [first, *others], JOB, 1, {others[0].id}, chain.parts[0]
    )
    assert replaced.parts[0] == chain.parts[0]
    assert replaced.parts[1].runner.id == others[1].id


def test_chain_starts_with_one_of_the_given_heads(engine, runner, chooser):
    fast, slow = runner("large", held=(0, 80)), runner(held=(0, 80))
    chain = chooser.choose(engine, [fast, slow], JOB, 1, heads={slow.id})
    assert chain.head.id == slow.id


@pytest.mark.parametrize("newer", [(0, 30, 7), (20, 81, 1), (0, 100_000, 7)])
def test_runner_that_claims_odd_layers_hides_no_others(engine, chooser, newer):
    # Guards against one entry with a newer version, or with layers that the model does
    # not have, after which no stream found a chain, or one with these layers.
    sound = [
        engines.runner(1, "large", held=(0, 40, 1)),
        engines.runner(2, "large", held=(40, 80, 1)),
        engines.runner(3, "large", held=(40, 80, 1)),
    ]
    odd = engines.runner(9, "unknown", held=newer)
    runners = [odd, *sound]
    assert chooser.has_layers(engine, runners)
    chain = chooser.choose(engine, runners, JOB, 1)
    assert "r09" not in {part.runner.id for part in chain.parts}
    assert chooser.repair(engine, runners, JOB, 1, chain, {chain.parts[1].runner.id})


def test_chain_does_not_mix_versions_of_weights(engine, runner, chooser):
    old = runner("large", held=(0, 80, 1))
    new = [runner(held=(0, 40, 2)), runner(held=(40, 80, 2))]
    chain = chooser.choose(engine, [old, *new], JOB, 1)
    assert {part.runner.held.version for part in chain.parts} == {2}


ranges = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 79),
        strategies.integers(1, 40),
        strategies.sampled_from(["large", "medium", "small", "tiny"]),
        strategies.sampled_from("abc"),
    ),
    max_size=25,
)


@given(ranges)
def test_any_chain_covers_all_layers_with_each_runner_once(drawn):
    engine = engines.engine()
    chooser = ChainChooser(LoadLedger(ManualClock()), PaceTracker(ManualClock(), print))
    runners = [
        engines.runner(number, kind, domain, (first, min(80, first + size)))
        for number, (first, size, kind, domain) in enumerate(drawn)
    ]
    chain = chooser.choose(engine, runners, JOB, 2)
    held = {layer for r in runners for layer in range(r.held.first, r.held.end)}
    assert (chain is not None) == (held == set(range(80)))
    if chain is not None:
        assert chain.covers(80)
        names = [part.runner.id for part in chain.parts]
        assert len(names) == len(set(names))
        for part in chain.parts:
            assert part.runner.held.first <= part.first < part.end
            assert part.end <= part.runner.held.end


def large_fleet(runner):
    """Return 3,000 runners in three domains; ten ranges cover all layers."""
    return [
        runner(domain=domain, held=(first, first + 8))
        for domain in "abc"
        for _ in range(100)
        for first in range(0, 80, 8)
    ]


class CountingLedger(LoadLedger):
    """Counts in ``asked`` how often the load of a runner is read."""

    asked = 0

    def total(self, runner_id, vms):
        self.asked += 1
        return super().total(runner_id, vms)

    def own(self):
        ledger, loads = self, super().own()

        class Loads(dict):
            def get(self, runner_id, default=None):
                ledger.asked += 1
                return super().get(runner_id, default)

        return Loads(loads)


def test_search_does_not_grow_with_the_number_of_runners(engine, runner, clock, paces):
    # With 3,000 runners and 300 VMs, a search over all runners takes longer than the
    # time limit of the first token.
    ledger = CountingLedger(clock)
    chooser = ChainChooser(ledger, paces)
    few = [runner(domain="a", held=(at, at + 8)) for at in range(0, 80, 8)] * 6
    chooser.choose(engine, few, JOB, 1)
    for_few, ledger.asked = ledger.asked, 0
    chain = chooser.choose(engine, large_fleet(runner), JOB, 1)
    assert chain.covers(80)
    assert 0 < ledger.asked <= 10 * for_few


def test_search_reads_the_load_of_each_runner_once(engine, runner, clock, paces):
    # Guards against searches that took most of the processor: while all chains are
    # full, every stream of a large fleet searches for room several times a second.
    ledger = CountingLedger(clock)
    chooser = ChainChooser(ledger, paces)
    runners = [runner(held=(at, at + 8)) for at in range(0, 80, 8) for _ in range(4)]
    assert chooser.has_layers(engine, runners)
    assert ledger.asked == 0
    chooser.choose(engine, runners, JOB, 1)
    assert ledger.asked == len(runners)
    chooser.choose(engine, runners, JOB, LARGE_FLEET_VMS)
    assert ledger.asked == 2 * len(runners)


def test_runner_with_layers_beyond_the_model_is_ignored(engine, runner, chooser):
    # Guards against an entry that another program wrote and that no chain can use.
    sound, odd = runner(held=(0, 80)), runner(held=(90, 95))
    assert chooser.choose(engine, [sound, odd], JOB, 1).head == sound


def test_requests_spread_over_thousands_of_runners(engine, runner, chooser):
    # Guards against all VMs choosing the same few of many equal runners.
    fleet = large_fleet(runner)
    used = set()
    for _ in range(60):
        chain = chooser.choose(engine, fleet, JOB, 300)
        used |= {part.runner.id for part in chain.parts}
    assert len(used) > 200


def test_all_runners_are_searched_if_a_sample_has_no_chain(engine, runner, chooser):
    # Guards against a refusal if the only holder of some layers is not in the sample.
    fleet = [runner(domain="a", held=(0, 40)) for _ in range(2000)]
    fleet.append(runner(domain="a", held=(40, 80)))
    assert chooser.choose(engine, fleet, JOB, 1).covers(80)


def test_sample_contains_the_given_heads(engine, runner, chooser):
    fleet = large_fleet(runner)
    head = fleet[10]
    chain = chooser.choose(engine, fleet, JOB, 1, heads={head.id})
    assert chain.head == head


@pytest.fixture
def site(runner):
    """Return two domains of small runners; the first has three copies of each range."""
    ranges = [(at, at + 8) for at in range(0, 80, 8)]
    first = [runner(domain="a", held=held) for held in ranges for _ in range(3)]
    return first + [runner(domain="b", held=held) for held in ranges]


def choose_in(domain, engine, chooser, site):
    others = {runner.id for runner in site if runner.domain != domain}
    return chooser.choose(engine, site, JOB, 4, others)


def test_replacing_a_dead_runner_keeps_the_other_parts(engine, chooser, site):
    # Guards against moving every stream of a dead runner to another chain: its runners
    # prefilled all their tokens again at the same moment, for over half a second.
    chain = choose_in("a", engine, chooser, site)
    dead = chain.parts[4].runner.id
    repaired = chooser.repair(engine, site, JOB, 4, chain, {dead}, {dead})
    assert repaired.covers(80)
    assert dead not in {part.runner.id for part in repaired.parts}
    changed = [new for new in repaired.parts if new not in chain.parts]
    assert [(part.first, part.end) for part in changed] == [(32, 40)]
    assert changed[0].runner.domain == chain.parts[4].runner.domain


def test_streams_of_a_dead_runner_spread_over_its_replacements(engine, chooser, site):
    # The VMs choose at the same moment, each without the choices of the others.
    chain = choose_in("a", engine, chooser, site)
    dead = chain.parts[4].runner.id
    repairs = [
        chooser.repair(engine, site, JOB, 4, chain, {dead}, {dead}) for _ in range(40)
    ]
    assert len({item.parts[4].runner.id for item in repairs}) == 2


def test_several_dead_runners_are_replaced_at_once(engine, chooser, site):
    chain = choose_in("a", engine, chooser, site)
    dead = {chain.parts[at].runner.id for at in (2, 3, 7)}
    repaired = chooser.repair(engine, site, JOB, 4, chain, dead, dead)
    assert repaired.covers(80)
    assert not dead & {part.runner.id for part in repaired.parts}
    kept = [part for part in chain.parts if part.runner.id not in dead]
    assert [part for part in repaired.parts if part in kept] == kept


def test_rejecting_runner_keeps_its_part_but_gets_no_new_one(engine, chooser, site):
    chain = choose_in("a", engine, chooser, site)
    busy, dead = chain.parts[1].runner.id, chain.parts[4].runner.id
    repaired = chooser.repair(engine, site, JOB, 4, chain, {dead}, {dead, busy})
    assert repaired.parts[1] == chain.parts[1]


def test_replacement_comes_from_another_domain_if_its_own_has_none(
    engine, chooser, site
):
    chain = choose_in("a", engine, chooser, site)
    at = chain.parts[4]
    holders = {r.id for r in site if r.domain == "a" and r.held.first == at.first}
    repaired = chooser.repair(engine, site, JOB, 4, chain, {at.runner.id}, holders)
    assert repaired.parts[4].runner.domain == "b"
    everyone = {r.id for r in site if r.held.first == at.first}
    assert chooser.repair(engine, site, JOB, 4, chain, {at.runner.id}, everyone) is None


def test_barred_runner_serves_other_parts_only(chooser):
    engine = engines.engine()
    first = engines.runner(1, held=(0, 80))
    second = engines.runner(2, held=(0, 80))
    chain = chooser.choose(engine, [first, second], JOB, 1, barred_heads={first.id})
    assert chain.head == second
    both = {first.id, second.id}
    assert chooser.choose(engine, [first, second], JOB, 1, barred_heads=both) is None
    allowed = {first.id}
    assert (
        chooser.choose(engine, [first], JOB, 1, heads=allowed, barred_heads=both)
        is None
    )


def test_chain_has_the_cost_of_its_runners_and_hops(engine, runner, chooser):
    runners = [runner("large", held=held) for held in ((0, 30), (30, 60), (60, 80))]
    chain = chooser.choose(engine, runners, JOB, 1)
    found = chooser.candidates(engine, runners, JOB, 1)
    work_ms = sum(item.layer_ms * (item.end - item.first) for item in found)
    assert chain.cost_ms == pytest.approx(work_ms + 2 * HOP_MS * JOB.answer_tokens)


def test_candidates_are_the_runners_with_layers_of_the_model(engine, runner, chooser):
    empty, odd = runner(), runner(held=(0, 200))
    usable = runner(held=(0, 80))
    found = chooser.candidates(engine, [empty, odd, usable], JOB, 1)
    assert [item.runner for item in found] == [usable]


def test_age_of_the_load_of_the_others_counts_from_the_last_exchange(clock):
    ledger = LoadLedger(clock)
    assert ledger.others_age_ms is None
    ledger.set_others({})
    clock.advance(700)
    assert ledger.others_age_ms == 700
