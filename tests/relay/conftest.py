"""Fixtures for the tests of streams."""

import random
from types import SimpleNamespace

import pytest

from heathershunt.availability import AvailabilityTable
from heathershunt.catalog import Route, RouteKind
from heathershunt.discovery import TargetRegistry
from heathershunt.ratelimits import LimitGuard
from heathershunt.relay import CallerRequest, StreamSpec, SuspectList
from heathershunt.relay.attempts import Attempts
from heathershunt.relay.progress import StreamProgress
from tests.pipelines import engines

ROUTE = Route(
    "r", "h", "/r/", RouteKind.STREAM, (), 5000, 500, is_resumable=True, max_attempts=2
)
REQUEST = CallerRequest("id", "POST", "h", "/r/x", (), b"", 0)


@pytest.fixture
def context(clock):
    registry = TargetRegistry(clock, lambda target_id: None)
    suspects = SuspectList(clock, print)
    return SimpleNamespace(
        clock=clock,
        registry=registry,
        suspects=suspects,
        limits=LimitGuard(clock, "vm-1", list, registry.get, print),
        availability=AvailabilityTable(clock, registry.get, print, random.Random(1)),
        vm_count=lambda: 1,
        events=SimpleNamespace(emit=print),
    )


@pytest.fixture
def spec():
    return StreamSpec(REQUEST, ROUTE, "s", engines.engine(), None, 5000)


@pytest.fixture
def attempts(context):
    return Attempts(context.registry, ROUTE.max_attempts)


@pytest.fixture
def progress(clock):
    return StreamProgress(clock, clock.now(), None)
