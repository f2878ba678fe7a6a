"""Shares of new and returned runners."""

from dataclasses import replace

import pytest

from heathershunt.discovery import LayerRange
from heathershunt.pipelines.newcomers import GROWTH_MS, START_MS, Newcomers

CHOICES = 2000


@pytest.fixture
def newcomers(clock):
    return Newcomers(clock)


@pytest.fixture
def old(runner):
    return [runner(held=(0, 80)) for _ in range(3)]


def share(newcomers, listed, item, needed=()):
    """Return the share of choices that consider a runner."""
    drawn = [newcomers.thinned("s", listed, listed, needed) for _ in range(CHOICES)]
    return sum(item in runners for runners in drawn) / CHOICES


def test_share_of_a_new_runner_grows_to_all_choices(newcomers, old, runner, clock):
    # Guards against a runner that all VMs see without load, and so all choose at once.
    newcomers.thinned("s", old, old, ())
    clock.advance(START_MS)
    new = runner(held=(0, 80))
    listed = [*old, new]
    assert share(newcomers, listed, new) == 0
    for part in (0.25, 0.5, 0.75):
        clock.advance(GROWTH_MS // 4)
        assert share(newcomers, listed, new) == pytest.approx(part, abs=0.05)
    clock.advance(GROWTH_MS // 4)
    assert share(newcomers, listed, new) == 1
    assert all(share(newcomers, listed, item) == 1 for item in old)


@pytest.mark.parametrize(
    "change", [{"incarnation": 5}, {"held": LayerRange(0, 40)}, {}]
)
def test_restarted_moved_or_returned_runner_is_new(newcomers, old, clock, change):
    newcomers.thinned("s", old, old, ())
    clock.advance(START_MS)
    newcomers.thinned("s", old[1:] if not change else old, old, ())
    clock.advance(START_MS)
    listed = [replace(old[0], **change), *old[1:]]
    assert share(newcomers, listed, listed[0]) == 0
    assert share(newcomers, listed, listed[1]) == 1


def test_no_runner_is_new_to_a_vm_that_has_just_started(newcomers, old, runner, clock):
    # Guards against a restart of all VMs in which no runner is used.
    newcomers.thinned("s", old, old, ())
    clock.advance(START_MS - 1)
    listed = [*old, runner(held=(0, 80))]
    assert all(share(newcomers, listed, item) == 1 for item in listed)


def test_needed_runner_is_kept(newcomers, old, runner, clock):
    # Guards against a stream that cannot go on as its first runner has restarted.
    newcomers.thinned("s", old, old, ())
    clock.advance(START_MS)
    new = runner(held=(0, 80))
    assert share(newcomers, [*old, new], new, {new.id}) == 1


def test_choices_for_another_service_make_no_runner_new(newcomers, old, runner, clock):
    others = [runner(held=(0, 80))]
    for _ in range(3):
        clock.advance(START_MS)
        newcomers.thinned("s", old, old, ())
        newcomers.thinned("t", others, others, ())
    assert share(newcomers, old, old[0]) == 1
