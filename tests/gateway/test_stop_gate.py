"""Which requests a VM that stops still takes."""

import pytest

from heathershunt.clock import Millis
from heathershunt.gateway.stopping import AnswerTimes, StopGate

ENDS_MS = 7500
LIMIT_MS = 20_000


@pytest.fixture
def times(clock):
    return AnswerTimes(clock)


@pytest.fixture
def gate(clock, times):
    return StopGate(clock, times)


def answer(times, clock, took_ms, request_id="r", is_answered=True):
    times.start("route", request_id)
    clock.advance(took_ms)
    times.end("route", request_id, is_answered)


def may_take(gate, clock, limit_ms=LIMIT_MS, route="route"):
    return gate.may_take(route, Millis(clock.now() + limit_ms))


def stop(gate, clock, ends_ms=ENDS_MS):
    gate.ends_at = Millis(clock.now() + ends_ms)


def test_all_are_taken_before_a_stop(gate, clock):
    assert may_take(gate, clock)


def test_request_that_fits_by_its_own_limit_is_taken(gate, clock):
    stop(gate, clock)
    assert may_take(gate, clock, limit_ms=ENDS_MS)
    assert not may_take(gate, clock, limit_ms=ENDS_MS + 1)


# Guards against requests that are taken late in a stop, and cut at its end.
@pytest.mark.parametrize("left_ms, is_taken", [(4000, True), (3999, False)])
def test_request_is_taken_only_if_its_route_needs_less_time(
    gate, times, clock, left_ms, is_taken
):
    for took_ms in (300, 2000, 900):
        answer(times, clock, took_ms)
    stop(gate, clock, left_ms)
    assert may_take(gate, clock) is is_taken
    assert not may_take(gate, clock, route="other")


# Guards against targets that have become slow since the last answer.
def test_request_that_still_runs_counts(gate, times, clock):
    answer(times, clock, 100)
    times.start("route", "slow")
    clock.advance(4000)
    stop(gate, clock, 6499)
    assert not may_take(gate, clock)
    times.end("route", "slow", is_answered=False)
    assert may_take(gate, clock)


def test_refused_requests_say_nothing(gate, times, clock):
    answer(times, clock, 10, is_answered=False)
    stop(gate, clock)
    assert not may_take(gate, clock)


def test_old_answers_are_forgotten(gate, times, clock):
    answer(times, clock, 9000)
    for _ in range(32):
        answer(times, clock, 100)
    stop(gate, clock)
    assert may_take(gate, clock)
