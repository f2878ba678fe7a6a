"""How many first runners one stream may be sent to."""

import pytest

from heathershunt.discovery import TargetRegistry
from heathershunt.relay import SuspectList
from heathershunt.relay.attempts import Attempts
from tests.pipelines import engines


@pytest.fixture
def registry(clock):
    return TargetRegistry(clock, lambda target_id: None)


@pytest.fixture
def attempts(registry):
    return Attempts(registry, 2)


@pytest.fixture
def send_to(attempts, registry):
    """Return a function that lists runners and counts them as first runners."""

    def send(*runners):
        for runner in runners:
            registry.put(runner)
            attempts.add_head(runner)

    return send


def test_any_first_runner_is_allowed_while_attempts_are_left(attempts, send_to):
    first = engines.runner(1)
    send_to(first)
    assert attempts.allowed_heads() is None
    assert attempts.may_reroute(first)


def test_runner_that_changed_its_layers_still_counts(attempts, send_to, registry):
    # Guards against a third run after a runner's entry changed while it was alive.
    first, second = engines.runner(1, held=(0, 8)), engines.runner(2)
    send_to(first, second)
    registry.put(engines.runner(1, held=(0, 9)))
    assert attempts.allowed_heads() == {first.id, second.id}


def test_unlisted_or_restarted_runner_does_not_count(attempts, send_to, registry):
    first, second = engines.runner(1, incarnation=5), engines.runner(2)
    send_to(first, second)
    registry.put(engines.runner(1, incarnation=6))
    assert attempts.allowed_heads() is None
    registry.remove(second.id)
    assert attempts.allowed_heads() is None


def test_runner_that_was_seen_to_have_ended_does_not_count(attempts, send_to, registry):
    # Guards against streams that may not go on as their runners ended, whose entries
    # stay in the store for some seconds.
    first, second = engines.runner(1, incarnation=5), engines.runner(2, incarnation=5)
    send_to(first, second)
    registry.record_refusal(first)
    assert attempts.allowed_heads() is None


def test_first_runner_does_not_count_when_a_later_one_rejects(attempts, send_to):
    first, second = engines.runner(1), engines.runner(2)
    send_to(first, second)
    attempts.remove_head(second)
    assert attempts.allowed_heads() is None


def test_stream_with_one_attempt_may_not_be_rerouted(registry, clock):
    attempts = Attempts(registry, 1)
    only = engines.runner(1)
    registry.put(only)
    attempts.add_head(only)
    assert attempts.allowed_heads() == {only.id}
    assert not attempts.may_reroute(only)


def test_ejected_runner_still_counts_as_an_attempt(attempts, send_to, clock):
    # Guards against a third run after a late report got a live runner ejected.
    first, second = engines.runner(1), engines.runner(2)
    send_to(first, second)
    SuspectList(clock, print).eject(first)
    assert attempts.allowed_heads() == {first.id, second.id}
