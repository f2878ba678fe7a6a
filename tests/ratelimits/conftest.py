"""Fixtures for the tests of limits that targets name."""

import pytest

from heathershunt.discovery import Target
from heathershunt.http import Address
from heathershunt.ratelimits import LimitGuard
from heathershunt.ratelimits.guard import START_MS

ADDRESS = Address("10.0.0.2", 80)


def make_target(name="t", incarnation=1):
    return Target(name, "s", ADDRESS, "a", 8, incarnation)


@pytest.fixture
def targets():
    """Return the listed targets by id."""
    return {"t": make_target()}


@pytest.fixture
def events():
    return []


@pytest.fixture
def names():
    """Return the names of the VMs, which a test may change."""
    return ["vm-1"]


@pytest.fixture
def guard(clock, targets, events, names):
    """Return the guard of a VM that was started some time ago."""
    guard = LimitGuard(clock, "vm-1", lambda: names, targets.get, events.append)
    clock.advance(START_MS)
    return guard
