import pytest

from heathershunt.retrybudget import Turns
from heathershunt.retrybudget.turns import WINDOWS_PER_TURN

WINDOW_MS = 10_000
TURN_MS = WINDOWS_PER_TURN * WINDOW_MS


def fleet(clock, size):
    """Return the names of VMs, which a test may change, and the turns of each."""
    names = [f"vm-{number:03}" for number in range(size)]
    turns = [Turns(clock, name, lambda: names, WINDOW_MS, 9) for name in list(names)]
    update(turns)
    return names, turns


def update(turns):
    for item in turns:
        item.update()


def rounded(turns, share):
    return [int(share + item.offset() + 1e-9) for item in turns]


@pytest.mark.parametrize("size", [9, 33, 78, 390])
@pytest.mark.parametrize("share", [0.05, 0.2, 0.9, 1.0, 1.15, 3.4])
def test_rounded_shares_add_up_to_the_whole(clock, size, share):
    # Guards against a part of the slack that nobody uses: a share of 0.2 of a retry was
    # no retry at each VM.
    _, turns = fleet(clock, size)
    assert sum(rounded(turns, share)) == int(share * size + 1e-6)


def test_other_vms_have_the_additional_retry_in_the_next_turn(clock):
    _, turns = fleet(clock, 78)
    before = rounded(turns, 0.2)
    clock.advance(TURN_MS)
    update(turns)
    clock.advance(WINDOW_MS)
    after = rounded(turns, 0.2)
    assert sum(after) == sum(before)
    assert after != before


def test_two_turns_share_no_window(clock):
    # Guards against twice the sum: VMs of the turn before have used theirs at its end.
    _, turns = fleet(clock, 78)
    before = rounded(turns, 0.2)
    clock.advance(TURN_MS)
    update(turns)
    for _ in range(WINDOW_MS // 1000):
        now = rounded(turns, 0.2)
        assert all(one <= other for one, other in zip(now, before, strict=True))
        clock.advance(1000)
    assert sum(rounded(turns, 0.2)) == sum(before)


def test_vm_that_leaves_changes_little(clock):
    # Guards against shares that move through the fleet as VMs restart in series.
    names, turns = fleet(clock, 78)
    before = rounded(turns, 0.2)
    names.remove("vm-040")
    update(turns)
    clock.advance(WINDOW_MS)
    after = rounded(turns, 0.2)
    assert sum(one != other for one, other in zip(before, after, strict=True)) <= 2


def test_small_fleet_rounds_down(clock):
    _, turns = fleet(clock, 8)
    assert sum(rounded(turns, 0.9)) == 0
