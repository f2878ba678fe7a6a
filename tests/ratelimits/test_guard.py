"""What one VM sends to targets that name limits, and what it knows of them."""

import math

from heathershunt.clock import Millis
from heathershunt.ratelimits import LimitDigest, LimitGuard, Statement
from heathershunt.ratelimits.guard import START_MS
from heathershunt.ratelimits.messages import DemandRow, LimitRow
from heathershunt.ratelimits.shares import USED_FRACTION
from tests.ratelimits.conftest import make_target


def name_limit(guard, clock, per_s, target=None, sent_ms_ago=0):
    sent_at = Millis(clock.now() - sent_ms_ago)
    guard.record(target or make_target(), Statement(per_s, sent_at))


def sends_in(guard, clock, ms, step=1):
    """Return how many requests are sent if there is always one to send."""
    sends = 0
    for _ in range(0, ms, step):
        clock.advance(step)
        guard.update()
        if "t" not in guard.spent():
            guard.record_send(make_target())
            sends += 1
    return sends


def test_target_without_a_limit_is_sent_anything(guard):
    assert guard.spent() == set()
    assert guard.wait_ms([make_target()]) == 0


def test_vm_keeps_to_the_limit(guard, clock):
    name_limit(guard, clock, 10)
    assert guard.spent() == {"t"}
    assert sends_in(guard, clock, 10_000) <= 10 * 10 * USED_FRACTION + 1
    assert sends_in(guard, clock, 10_000) >= 10 * 10 * USED_FRACTION - 2


def test_lower_limit_holds_at_once(guard, clock):
    name_limit(guard, clock, 100)
    sends_in(guard, clock, 1000)
    name_limit(guard, clock, 1)
    assert sends_in(guard, clock, 4000) <= 5


def test_limit_ends_when_a_later_request_is_answered_without_one(guard, clock, events):
    name_limit(guard, clock, 1)
    clock.advance(100)
    name_limit(guard, clock, None)
    assert guard.spent() == set()
    assert [event.name for event in events] == ["limit_named", "limit_withdrawn"]


# Guards against a limit that is dropped by an answer that was long under way.
def test_answer_to_an_earlier_request_does_not_end_a_limit(guard, clock):
    name_limit(guard, clock, 1)
    clock.advance(100)
    name_limit(guard, clock, None, sent_ms_ago=500)
    assert guard.spent() == {"t"}


# Guards against a target that is never asked again once it takes nothing.
def test_target_that_takes_nothing_is_asked_now_and_then(guard, clock):
    name_limit(guard, clock, 0)
    assert 1 <= sends_in(guard, clock, 20_000) <= 5


def test_checks_delay_requests_but_are_not_held_back(guard, clock):
    name_limit(guard, clock, 1)
    for _ in range(10):
        guard.record_send(make_target())
    assert sends_in(guard, clock, 2000) == 0
    assert sends_in(guard, clock, 4000) >= 1


def test_limit_ends_with_the_process_of_the_target(guard, clock, targets):
    name_limit(guard, clock, 1)
    targets["t"] = make_target(incarnation=2)
    guard.on_target("t")
    assert guard.spent() == set()
    name_limit(guard, clock, 1, target=make_target(incarnation=1))
    assert guard.spent() == set()


def test_removed_target_is_forgotten(guard, clock, targets):
    name_limit(guard, clock, 1)
    del targets["t"]
    guard.on_target("t")
    assert guard.limited_count == 0


# Guards against a VM that takes the whole limit as it knows no other VM yet.
def test_vm_that_has_just_started_sends_nothing(clock, targets):
    guard = LimitGuard(clock, "vm-1", lambda: ["vm-1"], targets.get, print)
    guard.merge(LimitDigest([LimitRow("t", 1, 100.0, 0)]))
    assert sends_in(guard, clock, START_MS - 10) == 0
    assert sends_in(guard, clock, 1000) > 50


def test_limit_of_another_vm_counts(guard, clock):
    guard.merge(LimitDigest([LimitRow("t", 1, 2.0, 0)]))
    assert sends_in(guard, clock, 4000) <= 8


def test_limit_is_divided_by_the_vms(guard, clock, names):
    names[:] = ["vm-1", "vm-2", "vm-3", "vm-4"]
    name_limit(guard, clock, 10)
    sends_in(guard, clock, 100)
    assert sends_in(guard, clock, 10_000) <= 10 * 10 * USED_FRACTION / 4 + 1


def test_older_news_of_another_vm_change_nothing(guard, clock):
    name_limit(guard, clock, 2)
    clock.advance(100)
    guard.merge(LimitDigest([LimitRow("t", 1, None, 5000)]))
    assert guard.spent() == {"t"}


def test_withdrawal_by_another_vm_counts(guard, clock):
    name_limit(guard, clock, 2)
    clock.advance(1000)
    guard.merge(LimitDigest([LimitRow("t", 1, None, 10)]))
    assert guard.spent() == set()


def test_malformed_news_change_nothing(guard):
    rows = [LimitRow("t", 1, value, 0) for value in (math.nan, math.inf, -1.0)]
    demands = [DemandRow("vm-2", math.nan, 0)]
    guard.merge(LimitDigest([*rows, LimitRow("unknown", 1, 1.0, 0)], demands))
    assert guard.limited_count == 0


def test_other_vms_are_told_at_once_what_an_answer_changed(guard, clock):
    told = []
    guard.on_news = lambda: told.append(guard.digest().limits[0].per_s)
    name_limit(guard, clock, 3)
    name_limit(guard, clock, 3)
    clock.advance(10)
    name_limit(guard, clock, None)
    guard.merge(LimitDigest([LimitRow("t", 1, 4.0, 0)]))
    assert told == [3, None]


def test_wait_grows_with_the_requests_that_wait(guard, clock):
    name_limit(guard, clock, 10)
    waits = [guard.wait_ms([make_target()], waiting) for waiting in (0, 1, 5)]
    assert 0 < waits[0] < waits[1] < waits[2]
    assert guard.wait_ms([]) is None
    assert guard.wait_ms([make_target(), make_target("free")]) == 0


# Guards against memory that grows with the limits that a target makes up.
def test_changing_limits_take_no_more_memory(guard, clock):
    for number in range(1000):
        clock.advance(1)
        name_limit(guard, clock, float(number))
    assert len(guard.digest().limits) == 1
