import pytest

from heathershunt.retries import EjectionConfig, EjectionPolicy, RunnerRange


def make_policy(count=4, config=None, **extra):
    policy = EjectionPolicy.from_config(config or EjectionConfig())
    policy.set_ranges(ranges(count, **extra))
    return policy


def ranges(count, **extra):
    return {
        f"r{i}": RunnerRange("m", 0, 4, 100.0, "group") for i in range(count)
    } | extra


def fail(policy, runner, now=0, times=3):
    for _ in range(times):
        policy.failed(runner, now)


def test_only_consecutive_failures_eject():
    """Guards against ejecting a runner whose failures are not consecutive."""
    policy = make_policy()
    for _ in range(10):
        fail(policy, "r0", times=2)
        policy.succeeded("r0", 10, 0)
    assert policy.excluded(0) == frozenset()
    fail(policy, "r0")
    assert policy.excluded(0) == {"r0"}


def test_ejections_get_longer_until_they_are_reset():
    """Guards against readmitting a broken runner every few seconds."""
    policy = make_policy()
    now = 0
    for duration in (5_000, 10_000, 20_000):
        fail(policy, "r0", now)
        assert policy.excluded(now + duration - 1) == {"r0"}
        now += duration
        assert policy.excluded(now) == frozenset()
    for _ in range(3):
        policy.started("r0", now)
        policy.succeeded("r0", 10, now)
    now += 600_000
    fail(policy, "r0", now)
    assert policy.excluded(now + 5_000) == frozenset()


def test_probation_limits_trials_and_a_failed_trial_ejects_again():
    """Guards against sending full load to a runner that has not recovered."""
    policy = make_policy()
    fail(policy, "r0")
    policy.started("r0", 5_000)
    assert policy.excluded(5_000) == {"r0"}
    policy.succeeded("r0", 10, 5_010)
    assert policy.excluded(5_010) == frozenset()
    policy.started("r0", 5_020)
    policy.failed("r0", 5_030)
    assert policy.excluded(15_029) == {"r0"}
    policy.started("r0", 15_030)
    policy.abandoned("r0")
    assert policy.excluded(15_030) == frozenset()
    policy.started("r0", 15_040)
    assert policy.excluded(75_041) == frozenset()


def test_latency_outlier_is_ejected_until_it_recovers():
    """Guards against a slow runner that never fails."""
    policy = make_policy(5)

    def serve(latency, now):
        policy.started("r0", now)
        policy.succeeded("r0", latency, now)

    for _ in range(10):
        for runner in ("r1", "r2", "r3", "r4"):
            policy.succeeded(runner, 30, 0)
    for _ in range(9):
        serve(100, 0)
    assert policy.excluded(0) == frozenset()
    serve(100, 0)
    assert policy.excluded(0) == {"r0"}
    for _ in range(3):
        serve(100, 5_000)
    assert policy.excluded(14_999) == {"r0"}
    for _ in range(3):
        serve(35, 15_000)
    assert policy.excluded(15_000) == frozenset()


@pytest.mark.parametrize("count", [1, 2, 3, 5, 8])
def test_half_of_the_capacity_of_every_layer_stays_usable(count):
    """Guards against ejecting a model's last runners when all of them fail."""
    policy = make_policy(count)
    for runner in range(count):
        fail(policy, f"r{runner}", times=10)
    assert len(policy.excluded(0)) == count // 2


def test_minimum_capacity_applies_to_each_layer():
    """Guards against ejecting the only runner of some layers."""
    only = RunnerRange("m", 2, 6, 1000.0, "wide")
    policy = make_policy(8, wide=only)
    fail(policy, "wide", times=10)
    assert policy.excluded(0) == frozenset()


def test_ejected_runners_are_readmitted_when_others_are_removed():
    """Guards against checking the minimum capacity only at the time of an ejection."""
    policy = make_policy(4)
    fail(policy, "r0")
    fail(policy, "r1", now=100)
    assert policy.excluded(200) == {"r0", "r1"}
    policy.set_ranges({name: r for name, r in ranges(4).items() if name != "r3"})
    assert policy.excluded(200) == {"r1"}
    policy.failed("r3", 200)
    policy.succeeded("r3", 1, 200)
