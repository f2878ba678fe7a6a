"""Priorities that share the turns, and items that are taken out of order."""

from collections import Counter

import pytest

from heathershunt.admission.line import Waiter
from heathershunt.admission.ranks import RankedQueue


@pytest.fixture
def queue():
    return RankedQueue(8.0)


def item(rank, account="a"):
    return Waiter(account, rank, 5000)


def add(queue, count, rank, account="a"):
    for _ in range(count):
        queue.add(item(rank, account), 1.0, True)


def pop(queue):
    found = queue.peek(lambda name: True)
    queue.pop(found, 1.0)
    return found


# Load pattern: streams of the highest priority come one by one and are served at once,
# while the lower priorities have more than is served.
def test_lowest_priority_is_not_starved_by_short_waits_of_the_highest(queue):
    # A turn of the lowest was charged by the priorities that waited at that moment, so
    # it got one turn in 64 in place of 8 of those of the middle one.
    add(queue, 300, rank=1)
    add(queue, 300, rank=2)
    counts = Counter()
    for _ in range(180):
        add(queue, 1, rank=0)
        counts.update(pop(queue).rank for _ in range(2))
    assert counts[0] == pytest.approx(180, abs=1)
    assert counts[1] == pytest.approx(160, abs=2)
    assert counts[2] == pytest.approx(20, abs=2)


def test_priority_that_begins_to_wait_has_no_credit(queue):
    add(queue, 300, rank=1)
    for _ in range(100):
        pop(queue)
    add(queue, 300, rank=0)
    counts = Counter(pop(queue).rank for _ in range(90))
    assert counts[0] == pytest.approx(80, abs=1)


def test_first_items_are_those_that_would_be_served(queue):
    for rank in (0, 1, 2):
        for account in "abc":
            add(queue, 20, rank, account)
    for _ in range(7):
        pop(queue)
    looked_at = queue.first(100)
    assert [found.rank for found in looked_at] == [pop(queue).rank for _ in range(100)]


def test_priority_is_charged_for_an_item_that_is_taken_out_of_order(queue):
    add(queue, 1, rank=0)
    add(queue, 200, rank=1)
    add(queue, 200, rank=2)
    counts = Counter()
    for _ in range(90):
        # The head, of the highest priority, cannot be placed.
        _, found = queue.first(2)
        queue.take(found, 1.0)
        counts[found.rank] += 1
    assert counts[1] == pytest.approx(80, abs=2)
    assert counts[2] == pytest.approx(10, abs=2)


def test_work_before_an_item_follows_the_share_of_its_priority(queue):
    add(queue, 10, rank=1)
    assert queue.work_before(item(0), 1.0) == pytest.approx(9 / 8)
    assert queue.work_before(item(2), 1.0) == pytest.approx(9)
    assert queue.work_before(item(1), 1.0) == pytest.approx(11)
