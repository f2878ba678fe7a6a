"""Bounds of deployments with shorter times than usual."""

import pytest

from heathershunt.gateway.config import MOST_WATCH_WAIT_MS, Bounds
from heathershunt.gateway.entry import FIT_AGE_PART


def test_watch_waits_long_where_the_bounds_allow_it():
    assert Bounds(is_revocation_strict=True).watch_wait_ms == MOST_WATCH_WAIT_MS


@pytest.mark.parametrize("revoke_ms", [500, 1000, 2000])
def test_view_stays_young_enough_for_callers_with_keys(revoke_ms):
    # Guards against VMs that leave the directory while the store answers, on a
    # deployment where removed keys end sooner.
    bounds = Bounds(revoke_ms=revoke_ms, is_revocation_strict=True)
    assert bounds.watch_wait_ms < revoke_ms * FIT_AGE_PART


def test_view_stays_young_enough_to_say_that_a_route_is_unknown():
    assert Bounds(config_apply_ms=800).watch_wait_ms < 800


def test_keys_do_not_matter_where_revocation_may_wait_for_the_store():
    assert Bounds(revoke_ms=100).watch_wait_ms == MOST_WATCH_WAIT_MS
