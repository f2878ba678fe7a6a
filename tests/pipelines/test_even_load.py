"""Load over unequal runners, with many VMs that decide on old reports of it.

The patterns are those of ``measure/even_load.py``, at a smaller scale.
"""

from dataclasses import replace
from statistics import fmean

import pytest

from heathershunt.clock import ManualClock
from heathershunt.pipelines import ChainChooser, Job, LoadLedger, PaceTracker
from heathershunt.pipelines.load import RunnerLoad
from measure._load_fleet import LoadFleet

JOB = Job(760, 225)
STEADY = [140] * 6
WARMUP_MS = 3000
NEVER_MS = 1_000_000


def run(vms, report_ms, rates=STEADY, warmup_ms=WARMUP_MS, **options):
    return LoadFleet(vms, report_ms, False, rates, warmup_ms, 1, **options).run()


def rejected_share(figures):
    return figures.rejections / figures.requests


@pytest.fixture(scope="module")
def oracle():
    """Return the figures of a fleet in which all loads are known at once."""
    rates = [0, 0, *STEADY]
    return LoadFleet(1, 0, True, rates, WARMUP_MS + 2000, 1).run()


@pytest.mark.parametrize(("vms", "report_ms"), [(33, 250), (33, 1000), (71, 1000)])
def test_steady_load_on_old_reports_is_even_and_not_rejected(vms, report_ms, oracle):
    # Guards against VMs that fill the same runners in turn: 17 % of the sends were
    # rejected at 71 VMs with reports 1 s old, and 32 % at 33 VMs.
    figures = run(vms, report_ms)
    assert rejected_share(figures) <= 0.02
    assert fmean(figures.variances) < fmean(oracle.variances)
    # Guards against requests that take slow runners though fast ones are free.
    assert fmean(figures.request_ms) <= 1.2 * fmean(oracle.request_ms)


def test_burst_after_a_restart_of_all_vms_is_spread():
    # Guards against the second after a restart of 71 VMs, in which as many sends were
    # rejected as there were requests.
    figures = run(71, 1000, rates=[551], warmup_ms=0)
    assert rejected_share(figures) <= 0.02
    assert not figures.refused


@pytest.mark.parametrize("report_ms", [3000, NEVER_MS])
def test_late_and_missing_reports_cause_few_rejections(report_ms):
    # Guards against chains chosen by loads of long ago, as while the VM that adds up
    # the loads is frozen.
    assert rejected_share(run(33, report_ms)) <= 0.05


def test_vms_that_do_not_report_cause_few_rejections():
    # Guards against overload by sends that the other VMs do not see.
    assert rejected_share(run(33, 250, silent_vms=4)) <= 0.05


def test_send_is_counted_once_before_and_after_a_report(runner, engine, clock):
    # Guards against an estimate of the sends of others that is added to a report which
    # contains them, and against own sends that a report replaces.
    engine = replace(engine, layer_mb=100)
    runners = [runner(held=(0, 80), domain=name) for name in "abc"]
    ledger = LoadLedger(clock)
    chooser = ChainChooser(ledger, PaceTracker(clock, print))
    clock.advance(2000)
    load = {item.id: RunnerLoad(2, 2, 4 * JOB.tokens * 80) for item in runners}
    uses = []
    for _ in range(3):
        clock.advance(250)
        ledger.set_others(load)
        ledger.add(chooser.choose(engine, runners, JOB, 33), JOB.tokens)
        chooser.choose(engine, runners, JOB, 33)
        uses.append(chooser.candidate_maker.mean_use)
    steps = [later - earlier for earlier, later in zip(uses, uses[1:], strict=False)]
    assert steps[0] > 0
    assert steps[0] == pytest.approx(steps[1], rel=0.1)


def test_own_rejection_leaves_the_runner_out_until_a_newer_report(runner, engine):
    # Guards against further rejections by a runner that an old report shows as free.
    clock = ManualClock()
    fast, slow = runner("large", held=(0, 80)), runner("small", held=(0, 80))
    engine = replace(engine, layer_mb=100)
    ledger = LoadLedger(clock)
    chooser = ChainChooser(ledger, PaceTracker(clock, print))

    def heads():
        chains = [chooser.choose(engine, [fast, slow], JOB, 33) for _ in range(20)]
        return {chain.head.id for chain in chains}

    for _ in range(8):
        clock.advance(250)
        ledger.set_others({})
    assert heads() == {fast.id}
    ledger.rejections.record(fast.id)
    assert heads() == {slow.id}
    # It is still used if there is no other.
    assert chooser.choose(engine, [fast], JOB, 33).head.id == fast.id
    for _ in range(3):
        clock.advance(250)
        ledger.set_others({})
    assert heads() == {fast.id}
