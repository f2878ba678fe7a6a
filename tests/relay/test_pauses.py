"""When a chain that gives no event is left."""

from types import SimpleNamespace

import pytest

from heathershunt.catalog import Repeatability, Route
from heathershunt.pipelines import Chain
from heathershunt.pipelines.chain import ChainPart
from heathershunt.relay.events import StreamEvent
from heathershunt.relay.patience import Patience
from heathershunt.relay.pauses import PauseWatch
from tests.pipelines import engines


@pytest.fixture
def pauses(parts, spec, attempts, progress):
    return PauseWatch(parts, spec, attempts, progress)


@pytest.fixture
def chain():
    return Chain.from_parts([ChainPart(engines.runner(1), 0, 80)])


def test_slow_chain_is_left_while_repeats_are_left(pauses, parts, chain):
    parts.budget = SimpleNamespace(may_leave=lambda service, vms: True)
    assert pauses.reason_to_leave(chain, None, 1000) is None
    assert pauses.reason_to_leave(chain, None, 1300) is not None


def test_slow_chain_is_kept_when_no_repeat_is_left(pauses, parts, chain):
    # The load: half of the runners are lost in a burst and all chains are slow. A
    # stream that leaves its chain without a repeat fails though it would be served.
    parts.budget = SimpleNamespace(may_leave=lambda service, vms: False)
    assert pauses.reason_to_leave(chain, None, 5000) is None


def test_chain_with_a_dead_runner_is_left_all_the_same(pauses, parts, chain):
    parts.budget = SimpleNamespace(may_leave=lambda service, vms: False)
    assert pauses.reason_to_leave(chain, engines.runner(1), 300) is not None


TARGET_GAP_MS = 300


@pytest.fixture
def patience():
    stream = Repeatability.STREAM
    route = Route("r", "h", "/r/", stream, (), 20_000, 600, target_gap_ms=TARGET_GAP_MS)
    return Patience.from_route(route)


def give_events(progress, clock, gap_ms, count):
    for _ in range(count):
        clock.advance(gap_ms)
        event_id = (progress.last_id or 0) + 1
        progress.take([StreamEvent(event_id, b"e")])


def test_dead_runner_is_looked_for_before_the_stream_is_late(patience, progress, clock):
    # The load: nine runners die at once, and with them a part of the chains of a
    # quarter of the streams. Found after the longest pause in time, all were late.
    give_events(progress, clock, gap_ms=60, count=10)
    assert 60 < patience.gap_ms(progress.usual_gap_ms) <= TARGET_GAP_MS / 2


def test_stream_whose_pauses_are_always_long_is_not_examined_at_each(
    patience, progress, clock
):
    # Guards the runners against questions from every stream while all are slow.
    give_events(progress, clock, gap_ms=200, count=20)
    assert patience.gap_ms(progress.usual_gap_ms) > 200
    give_events(progress, clock, gap_ms=900, count=20)
    assert patience.gap_ms(progress.usual_gap_ms) == patience.second_look_ms


def test_stream_without_known_pauses_is_examined_before_it_is_late(patience):
    assert patience.gap_ms(None) < TARGET_GAP_MS


def test_chain_is_examined_again_when_reports_have_caught_up(pauses, spec):
    patience = spec.patience
    early_ms = patience.gap_ms(None)
    assert pauses.next_look_ms(early_ms) == patience.second_look_ms - early_ms
    second_ms = patience.second_look_ms
    assert pauses.next_look_ms(second_ms) == patience.leave_ms - second_ms
    assert pauses.next_look_ms(patience.leave_ms) == patience.leave_ms
