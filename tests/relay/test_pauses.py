"""When a chain that sends no events is examined and when it is left."""

from dataclasses import replace
from types import SimpleNamespace

import pytest

from heathershunt.catalog import Route, RouteKind
from heathershunt.pipelines import Chain
from heathershunt.pipelines.chain import ChainPart
from heathershunt.relay.events import StreamEvent
from heathershunt.relay.pauses import PauseMonitor
from heathershunt.relay.runs import StreamBrokenError
from heathershunt.relay.timeouts import StreamTimeouts
from tests.pipelines import engines


@pytest.fixture
def pauses(context, spec, attempts, progress):
    return PauseMonitor(context, spec, attempts, progress)


@pytest.fixture
def chain():
    return Chain.from_parts([ChainPart(engines.runner(1), 0, 80)])


def test_slow_chain_is_left_while_retries_are_left(pauses, context, chain):
    context.budget = SimpleNamespace(may_reroute=lambda service, vms: True)
    assert pauses.reroute_reason(chain, None, 1000) is None
    assert pauses.reroute_reason(chain, None, 1300) is not None


def test_slow_chain_of_a_stream_that_is_sent_once_is_kept(
    spec, attempts, progress, context, chain
):
    # Guards against a stream that is broken off at a pause, though it may not be sent
    # again and its runners are sound.
    context.budget = SimpleNamespace(may_reroute=lambda service, vms: True)
    once = replace(spec, route=replace(spec.route, is_resumable=False))
    pauses = PauseMonitor(context, once, attempts, progress)
    assert pauses.reroute_reason(chain, None, 5000) is None
    assert pauses.reroute_reason(chain, engines.runner(1), 300) is not None


def test_slow_chain_is_kept_when_no_retry_is_left(pauses, context, chain):
    # Case: half of the runners are lost in a burst and all chains are slow. A stream
    # that leaves its chain without a retry fails, though the chain would serve it.
    context.budget = SimpleNamespace(may_reroute=lambda service, vms: False)
    assert pauses.reroute_reason(chain, None, 5000) is None


def test_chain_with_a_dead_runner_is_left_even_without_a_retry(pauses, context, chain):
    context.budget = SimpleNamespace(may_reroute=lambda service, vms: False)
    assert pauses.reroute_reason(chain, engines.runner(1), 300) is not None


TARGET_GAP_MS = 300


@pytest.fixture
def timeouts():
    stream = RouteKind.STREAM
    route = Route("r", "h", "/r/", stream, (), 20_000, 600, target_gap_ms=TARGET_GAP_MS)
    return StreamTimeouts.from_route(route)


def add_events(progress, clock, gap_ms, count):
    for _ in range(count):
        clock.advance(gap_ms)
        event_id = (progress.last_id or 0) + 1
        progress.accept([StreamEvent(event_id, b"e")])


def test_chain_is_examined_before_the_stream_is_late(timeouts, progress, clock):
    # Case: nine runners die at once, and a quarter of the streams lose a part of their
    # chains. When found after the target gap, all these streams were late.
    add_events(progress, clock, gap_ms=60, count=10)
    assert 60 < timeouts.gap_check_ms(progress.p99_gap_ms) <= TARGET_GAP_MS / 2


def test_stream_with_long_gaps_is_not_examined_at_each(timeouts, progress, clock):
    # Guards the runners against polls from every stream while all are slow.
    add_events(progress, clock, gap_ms=200, count=20)
    assert timeouts.gap_check_ms(progress.p99_gap_ms) > 200
    add_events(progress, clock, gap_ms=900, count=20)
    assert timeouts.gap_check_ms(progress.p99_gap_ms) == timeouts.recheck_ms


def test_stream_without_known_gaps_is_examined_before_it_is_late(timeouts):
    assert timeouts.gap_check_ms(None) < TARGET_GAP_MS


def test_chain_is_examined_again_when_reports_have_caught_up(pauses, spec):
    timeouts = spec.timeouts
    early_ms = timeouts.gap_check_ms(None)
    assert pauses.next_check_ms(early_ms) == timeouts.recheck_ms - early_ms
    second_ms = timeouts.recheck_ms
    assert pauses.next_check_ms(second_ms) == timeouts.reroute_ms - second_ms
    assert pauses.next_check_ms(timeouts.reroute_ms) == timeouts.reroute_ms


@pytest.fixture
def run():
    parts = [ChainPart(engines.runner(1), 0, 40), ChainPart(engines.runner(2), 40, 80)]
    return SimpleNamespace(chain=Chain.from_parts(parts), is_patient=True)


@pytest.mark.parametrize("faulty", [1, 2])
def test_run_of_a_runner_that_left_is_kept_in_a_silence(pauses, run, faulty):
    # Guards against an answer that ends as its first runner drains and leaves the list
    # while a runner of its chain, be it the same, gives no report for a moment.
    assert pauses._context.registry.get(run.chain.head.id) is None
    pauses.judge(run, engines.runner(faulty), 500)


def test_run_of_a_runner_that_refuses_connections_is_kept(pauses, run):
    # Guards against an answer that ends behind a link that refuses new connections
    # while those that are open live on.
    head = run.chain.head
    pauses._context.registry.record_refusal(replace(head, incarnation=7))
    pauses.judge(run, head, 500)


def test_run_is_ended_once_a_later_process_is_in_its_runners_place(pauses, run):
    head = replace(run.chain.head, incarnation=7)
    parts = [ChainPart(head, 0, 40), run.chain.parts[1]]
    run.chain = Chain.from_parts(parts)
    pauses.judge(run, head, 500)
    pauses._context.registry.record_replacement(head)
    pauses.judge(run, run.chain.parts[1].runner, 500)
    with pytest.raises(StreamBrokenError):
        pauses.judge(run, head, 500)


def test_run_is_ended_once_its_runner_is_listed_as_a_later_process(pauses, run):
    head = run.chain.head
    pauses._context.registry.put(replace(head, incarnation=7))
    with pytest.raises(StreamBrokenError):
        pauses.judge(run, head, 500)
