"""What targets receive from whole fleets, in the model of ``measure.rate_limits``."""

import pytest

from measure.rate_limits import Day, Model

# VMs, requests a second and targets.
SIZES = ((4, 40, 12), (26, 200, 60), (78, 400, 120))
LARGEST = (390, 400, 60)
DAYS = {
    "calm": {},
    "one VM is the busiest by far": {"busiest": 20.0},
    "VMs restart": {"restarts": 6},
    "VMs are cut off from the others": {"cut": 1},
    "checks": {"checks_per_s": 0.5},
}


# Guards against targets that get more than they named, whatever the size of the fleet.
@pytest.mark.parametrize("changes", DAYS.values(), ids=DAYS)
@pytest.mark.parametrize("size", SIZES)
def test_targets_get_what_they_named(size, changes):
    assert_limits_are_kept(size, changes)


@pytest.mark.parametrize("day", ["calm", "VMs restart"])
def test_targets_of_the_largest_fleet_get_what_they_named(day):
    assert_limits_are_kept(LARGEST, DAYS[day])


def assert_limits_are_kept(size, changes):
    vms, rate, targets = size
    per_s = rate / targets / 2
    day = Day(
        vms=vms,
        rate=rate,
        targets=targets,
        limited=targets,
        per_s=per_s,
        withdrawn_at=13_000,
        seconds=14,
        **changes,
    )
    tally = Model(day, seed=1).run()
    assert tally.worst <= 1


# Guards against callers who are refused although targets would take their requests.
@pytest.mark.parametrize("vms, rate, targets", SIZES)
def test_limits_are_used(vms, rate, targets):
    per_s = rate / targets / 2
    day = Day(vms=vms, rate=rate, targets=targets, limited=targets, per_s=per_s)
    assert Model(day, seed=1).run().used >= 0.75
