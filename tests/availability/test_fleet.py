"""What targets receive from whole fleets, in the model of ``measure.availability``."""

import pytest

from measure.availability import ALLOWED, Day, Model

# VMs, requests a second and targets.
SIZES = ((4, 100, 12), (78, 400, 40), (390, 800, 60))


# Guards against requests within a pause, whatever the size of the fleet.
@pytest.mark.parametrize("away", [0.5, 1.0])
@pytest.mark.parametrize(("vms", "rate", "targets"), SIZES)
def test_targets_get_nothing_within_their_pauses(vms, rate, targets, away):
    day = Day(vms, rate, targets, away, pause_ms=2000, busy_ms=3000, seconds=8)
    tally = Model(day, seed=1).run()
    assert tally.within_pause <= ALLOWED
    assert tally.turned_away > 0


# Guards against a VM that goes on sending to a target that told it that it leaves.
@pytest.mark.parametrize(("vms", "rate", "targets"), SIZES)
def test_leaving_targets_get_nothing_from_vms_that_were_told(vms, rate, targets):
    day = Day(vms, rate, targets, away=0.25, pause_ms=0, seconds=6)
    assert Model(day, seed=1).run().known_to_leaving == 0
