"""Wait of a watch that follows from the bounds of a deployment."""

import pytest

from heathershunt.gateway.config import MAX_WATCH_WAIT_MS, Bounds
from heathershunt.gateway.request_handler import READY_AGE_FRACTION


def test_watch_waits_the_maximum_if_the_bounds_allow():
    assert Bounds(is_revocation_strict=True).watch_wait_ms == MAX_WATCH_WAIT_MS


@pytest.mark.parametrize("revoke_ms", [500, 1000, 2000])
def test_watch_wait_keeps_vms_ready_under_a_short_revocation_bound(revoke_ms):
    # Guards against VMs that leave the directory although the store answers, in a
    # deployment with a short revocation bound.
    bounds = Bounds(revoke_ms=revoke_ms, is_revocation_strict=True)
    assert bounds.watch_wait_ms < revoke_ms * READY_AGE_FRACTION


def test_watch_wait_is_shorter_than_the_time_to_apply_a_configuration():
    assert Bounds(config_apply_ms=800).watch_wait_ms < 800


def test_revocation_bound_is_ignored_unless_revocation_is_strict():
    assert Bounds(revoke_ms=100).watch_wait_ms == MAX_WATCH_WAIT_MS
