"""Which targets may be sent something new, and for how long the others may not."""

import random

import logbook
import pytest

from heathershunt.availability import AvailabilityTable, Notice
from heathershunt.availability.table import (
    MAX_JITTER_MS,
    MAX_TARGETS,
    RETRY_SPREAD_MS,
    UNKNOWN_PROCESS_MS,
    UNKNOWN_WAIT_MS,
)
from heathershunt.ratelimits import TargetProcess

LEAVING = Notice(is_leaving=True)


def pause(ms):
    return Notice(pause_ms=ms)


@pytest.fixture
def targets():
    return [TargetProcess("a", 1), TargetProcess("b", 1)]


@pytest.fixture
def events():
    return []


@pytest.fixture
def table(clock, targets, events):
    by_id = {target.id: target for target in targets}
    return AvailabilityTable(clock, by_id.get, events.append, random.Random(1))


def test_targets_that_say_nothing_are_usable(table, targets):
    table.record(targets[0], Notice())
    assert table.usable("s", targets) == targets
    assert table.first_wait_ms(targets) == 0


def test_leaving_target_is_never_usable_again(table, targets, clock):
    table.record(targets[0], LEAVING)
    table.record(targets[0], Notice())
    clock.advance(10_000_000)
    table.expire()
    assert table.usable("s", targets) == targets[1:]
    assert table.leaving_count == 1


# Guards against a target that is bound by what an earlier process said.
def test_process_that_was_started_anew_is_usable(table, targets):
    table.record(targets[0], LEAVING)
    table.record(targets[1], pause(20_000))
    anew = [TargetProcess("a", 2), TargetProcess("b", 2)]
    assert table.usable("s", anew) == anew


# Guards against the word of a late answer of the earlier process, which must not end
# what the present one said.
def test_earlier_process_does_not_clear_the_present_one(table):
    now, earlier = TargetProcess("a", 2), TargetProcess("a", 1)
    table.record(now, LEAVING)
    table.record(earlier, Notice())
    assert table.is_leaving(now)


def test_answer_that_names_another_process_is_not_taken(table, targets):
    table.record(targets[0], Notice(True, 5000, "b"))
    assert table.usable("s", targets) == targets


# Guards against an address that stays unused: of its process, no start is known.
def test_process_without_a_start_is_bound_for_a_while(table, clock):
    process = TargetProcess("10.0.0.1:80")
    table.record(process, LEAVING)
    clock.advance(UNKNOWN_PROCESS_MS - 1)
    assert table.is_leaving(process)
    clock.advance(1)
    assert not table.is_leaving(process)


@pytest.mark.parametrize("pause_ms", [500, 2000, 20_000])
def test_pause_ends_by_itself(table, targets, clock, pause_ms):
    table.record(targets[0], pause(pause_ms))
    clock.advance(pause_ms - 1)
    assert table.usable("s", targets) == targets[1:]
    clock.advance(1 + MAX_JITTER_MS)
    assert table.usable("s", targets) == targets
    assert table.paused_count == 0


# Guards against a service that stays empty for longer than its targets asked.
def test_last_targets_are_usable_as_soon_as_their_pause_ends(table, targets, clock):
    for target in targets:
        table.record(target, pause(8000))
    clock.advance(7999)
    assert table.usable("s", targets) == []
    clock.advance(1)
    assert table.usable("s", targets) == targets


# Guards against targets that all get the waiting work at the same moment.
def test_targets_that_paused_together_come_back_one_after_the_other(clock):
    targets = [TargetProcess(str(number), 1) for number in range(40)]
    table = AvailabilityTable(clock, {}.get, print, random.Random(1))
    for target in targets[:-1]:
        table.record(target, pause(4000))
    clock.advance(4000)
    counts = []
    for _ in range(10):
        counts.append(len(table.usable("s", targets)))
        clock.advance(100)
    assert counts[0] <= 5
    assert max(b - a for a, b in zip(counts, counts[1:], strict=False)) <= 12
    assert len(table.usable("s", targets)) == 40


# Guards against a later, shorter pause that ends an earlier one.
def test_latest_end_of_several_pauses_holds(table, targets, clock):
    table.record(targets[0], pause(5000))
    clock.advance(100)
    table.record(targets[0], pause(500))
    assert table.wait_ms(targets[0]) == 4900
    table.record(targets[0], pause(6000))
    assert table.wait_ms(targets[0]) == 6000


def test_wait_is_the_time_of_the_first_end(table, targets):
    table.record(targets[0], pause(5000))
    table.record(targets[1], pause(2000))
    assert table.first_wait_ms(targets) == 2000
    table.record(targets[1], LEAVING)
    assert table.first_wait_ms(targets) == 5000
    table.record(targets[0], LEAVING)
    assert table.first_wait_ms(targets) == UNKNOWN_WAIT_MS


# Guards against a time that is told although a chain would need two targets.
def test_wait_lasts_until_enough_targets_are_back(table, targets):
    table.record(targets[0], pause(5000))
    table.record(targets[1], pause(2000))
    assert table.first_wait_ms(targets, lambda found: len(found) == 2) == 5000
    assert table.first_wait_ms(targets, lambda found: len(found) == 3) == 0


# Guards against callers that are told to come back too early, or all at once.
@pytest.mark.parametrize("wait_ms", [1, 500, 20_000])
def test_callers_are_told_the_wait_and_a_random_time(table, wait_ms):
    told = [table.retry_after_ms(wait_ms) for _ in range(200)]
    assert min(told) >= wait_ms
    assert max(told) <= wait_ms + MAX_JITTER_MS + RETRY_SPREAD_MS
    assert len(set(told)) > 20


# Guards against memory that grows with the targets that were ever there.
def test_number_of_targets_is_bounded(table):
    for number in range(MAX_TARGETS + 100):
        table.record(TargetProcess(str(number), 1), LEAVING)
    assert len(table._known_by_id) == MAX_TARGETS
    assert table.is_leaving(TargetProcess(str(MAX_TARGETS), 1))


def test_pauses_that_are_over_are_forgotten(table, targets, clock):
    table.record(targets[0], pause(500))
    clock.advance(10_000)
    table.expire()
    assert not table._known_by_id


# Guards against a log line for each request, and against none.
def test_lines_are_bounded(table, targets, clock, events):
    for _ in range(100):
        table.record(targets[0], LEAVING)
        table.record(targets[1], pause(2000))
        table.usable("s", targets)
        clock.advance(10)
    names = [event.name for event in events]
    assert names.count("target_leaving") == 1
    assert 1 <= names.count("target_paused") <= 2
    assert 1 <= names.count("passed_over") <= 2
    passed = next(event for event in events if event.name == "passed_over")
    assert passed.reasons[0] == "a: leaving by its answer"
    assert passed.reasons[1].startswith("b: paused until ")


# Guards against a faulty target that fills the log.
def test_malformed_fields_are_logged_once_a_second(table, targets, clock):
    handler = logbook.TestHandler()
    with handler.applicationbound():
        for _ in range(50):
            table.record(targets[0], Notice(malformed=("retry-after: soon",)))
            clock.advance(10)
        lines = handler.formatted_records
    assert len(lines) == 1
    assert "retry-after: soon" in lines[0]
    assert table.usable("s", targets) == targets


def test_usable_targets_are_returned_without_a_line_if_only_asked(
    table, targets, events
):
    # Guards against a question that counts as a request that passed a target over.
    table.record(targets[0], LEAVING)
    events.clear()
    assert table.usable_now(targets) == targets[1:]
    assert events == []
    assert table.usable("s", targets) == targets[1:]
    assert [event.name for event in events] == ["passed_over"]
