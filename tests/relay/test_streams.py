"""At how many runners one stream may run."""

from types import SimpleNamespace

import pytest

from heathershunt.catalog import Repeatability, Route
from heathershunt.discovery import TargetRegistry
from heathershunt.relay import CallerRequest, SuspectList
from heathershunt.relay.streams import _Session
from tests.pipelines import engines

ROUTE = Route("r", "h", "/r/", Repeatability.STREAM, (), 5000, 500, max_attempts=2)
REQUEST = CallerRequest("id", "POST", "h", "/r/x", (), b"", 0)


@pytest.fixture
def parts(clock):
    registry = TargetRegistry(clock, lambda target_id: None)
    suspects = SuspectList(clock)
    return SimpleNamespace(clock=clock, registry=registry, suspects=suspects)


@pytest.fixture
def session(parts):
    return _Session(parts, REQUEST, ROUTE, "s", engines.engine(), None, 5000)


def send_to(session, *runners):
    for runner in runners:
        session._parts.registry.put(runner)
        session._heads_by_id[runner.id] = runner


def test_any_runner_may_come_first_while_attempts_are_left(session):
    send_to(session, engines.runner(1))
    assert session._heads_left() is None


def test_blamed_runner_still_counts_as_an_attempt(session, parts):
    # Guards against a third run after a report of a living runner came too late.
    first, second = engines.runner(1), engines.runner(2)
    send_to(session, first, second)
    parts.suspects.blame(first)
    assert session._heads_left() == {first.id, second.id}


def test_runner_that_changed_its_layers_still_counts_as_an_attempt(session, parts):
    first, second = engines.runner(1, held=(0, 8)), engines.runner(2)
    send_to(session, first, second)
    parts.registry.put(engines.runner(1, held=(0, 9)))
    assert session._heads_left() == {first.id, second.id}


def test_runner_that_is_gone_or_has_restarted_does_not_count(session, parts):
    first, second = engines.runner(1, born=5), engines.runner(2)
    send_to(session, first, second)
    parts.registry.put(engines.runner(1, born=6))
    assert session._heads_left() is None
    parts.registry.remove(second.id)
    assert session._heads_left() is None
