"""Whose turn it is among the streams that wait for capacity."""

from collections import Counter

import pytest
from hypothesis import given, settings, strategies as st

from heathershunt.admission import LineConfig, Waiter, WaitingLine

CONFIG = LineConfig()
# Streams that wait at other VMs, by priority.
NOBODY = {}


@pytest.fixture
def line():
    return WaitingLine.from_config(CONFIG)


def waiter(account="a", rank=0, deadline=5000, size=100):
    return Waiter(account, rank, deadline, size)


def join(line, *waiters):
    for item in waiters:
        line.join(item)
    return waiters


def join_many(line, count, account="a", **fields):
    return join(line, *(waiter(account, **fields) for _ in range(count)))


def place(line, count, now=0):
    """Let ``count`` streams find a chain one after another, and return them."""
    placed = []
    for _ in range(count):
        item = line.next_turn(now, NOBODY)
        line.take(item, now)
        placed.append(item)
    return placed


def search_in_vain(line, now, is_restricted=False, elsewhere=NOBODY):
    """Let all streams of a round search without a result, and return them."""
    tried = []
    while (item := line.next_turn(now, elsewhere)) is not None:
        tried.append(item)
        line.pass_on(item, is_restricted)
    return tried


# Load pattern: one priority floods the VM while another one has a few streams.
def test_higher_priority_goes_first_and_the_lower_one_gets_an_eighth(line):
    join_many(line, 200, "low", rank=1)
    join_many(line, 200, "high", rank=0)
    counts = Counter(item.account for item in place(line, 90))
    assert counts["high"] == pytest.approx(80, abs=1)


# Load pattern: three priorities, each with more streams than are served.
def test_each_priority_gets_an_eighth_of_the_next_higher_one(line):
    for rank in range(3):
        join_many(line, 800, f"account-{rank}", rank=rank)
    counts = Counter(item.rank for item in place(line, 730))
    assert counts[0] == pytest.approx(640, abs=2)
    assert counts[1] == pytest.approx(80, abs=2)
    assert counts[2] == pytest.approx(10, abs=2)


# Load pattern: one large account floods the VM beside small ones of its priority.
def test_large_account_does_not_crowd_out_small_ones(line):
    join_many(line, 300, "large")
    for number in range(5):
        join_many(line, 4, f"small-{number}")
    counts = Counter(item.account for item in place(line, 24))
    assert counts == {"large": 4, **{f"small-{n}": 4 for n in range(5)}}


# Load pattern: the large account was alone at first, and small ones come later.
def test_small_account_that_comes_later_does_not_wait_behind_the_large_one(line):
    join_many(line, 300, "large")
    place(line, 100)
    small = join_many(line, 2, "small")
    assert set(small) <= set(place(line, 4))


def test_earlier_deadline_goes_first_inside_an_account(line):
    late, early = join(line, waiter(deadline=9000), waiter(deadline=4000))
    assert place(line, 2) == [early, late]


def test_earlier_arrival_goes_first_at_the_same_deadline(line):
    items = join_many(line, 5)
    assert place(line, 5) == list(items)


# Load pattern: streams arrive all the time while others wait. Guards against arrivals
# that find the room which those before them wait for.
def test_arrival_does_not_overtake_one_that_waits(line):
    (first,) = join(line, waiter())
    search_in_vain(line, 0)
    join(line, waiter())
    assert line.next_turn(CONFIG.rest_ms - 1, NOBODY) is None
    assert line.next_turn(CONFIG.rest_ms, NOBODY) is first


def test_next_stream_has_its_turn_at_once_after_one_that_was_placed(line):
    # Guards against 60 ms for each stream when room for several is there at once.
    join_many(line, 20)
    assert len(place(line, 20, now=7)) == 20


# Load pattern: hundreds of streams wait while all chains are full. Guards against
# searches that use up the CPU.
def test_one_search_in_a_round_while_no_chain_has_room(line):
    join_many(line, 100)
    for now in range(0, 10 * CONFIG.rest_ms, CONFIG.rest_ms):
        assert len(search_in_vain(line, now)) == 1


def test_run_that_ends_lets_the_next_round_begin(line):
    (item,) = join(line, waiter())
    search_in_vain(line, 0)
    line.on_room(30)
    assert line.next_turn(30, NOBODY) is item


# Load pattern: many short runs end while streams wait that cannot be placed.
def test_runs_that_end_often_do_not_cause_a_search_each(line):
    join(line, waiter())
    searches = 0
    for now in range(100):
        line.on_room(now)
        searches += len(search_in_vain(line, now))
    assert searches == 100 / CONFIG.min_rest_ms


def test_run_that_ends_within_a_round_is_not_forgotten(line):
    (item,) = join(line, waiter())
    assert line.next_turn(0, NOBODY) is item
    line.on_room(0)
    line.pass_on(item, is_restricted=False)
    assert line.next_turn(0, NOBODY) is None
    assert line.next_at == CONFIG.min_rest_ms


# Guards against a line that stands still behind a stream that fits nowhere.
def test_smaller_streams_are_tried_when_the_head_finds_no_room(line):
    big, small = join(line, waiter(size=9000), waiter(size=100))
    assert line.next_turn(0, NOBODY) is big
    line.pass_on(big, is_restricted=False)
    assert line.next_turn(0, NOBODY) is small
    line.take(small, 0)
    assert line.next_turn(0, NOBODY) is None
    assert search_in_vain(line, CONFIG.rest_ms) == [big], "it keeps its place"


# Guards against VMs that leave room to a stream which cannot use it.
def test_stream_that_could_not_use_the_room_is_stuck(line):
    big, small = join(line, waiter(rank=1, size=9000), waiter(rank=1, size=100))
    assert line.next_turn(0, NOBODY) is big
    line.pass_on(big, is_restricted=False)
    assert line.stuck() == {}, "there may be no room for anyone"
    assert line.next_turn(0, NOBODY) is small
    line.take(small, 0)
    assert line.stuck() == {1: 1}
    line.leave(big)
    assert line.stuck() == {}


def test_stream_that_may_use_few_runners_is_stuck(line):
    (item,) = join(line, waiter(rank=2))
    line.next_turn(0, NOBODY)
    line.pass_on(item, is_restricted=True)
    assert line.stuck() == {2: 1}


def test_others_are_tried_when_the_head_may_use_few_runners(line):
    head, other = join(line, waiter(), waiter())
    assert line.next_turn(0, NOBODY) is head
    line.pass_on(head, is_restricted=True)
    assert line.next_turn(0, NOBODY) is other


# Load pattern: streams of all sizes wait, and runs end all the time without room for
# the head of line. Guards against searches that use up the CPU.
def test_short_round_has_one_search_in_vain(line):
    for size in range(10, 0, -1):
        join(line, waiter(size=5**size))
    assert len(search_in_vain(line, 0)) == CONFIG.vain_searches
    for now in range(10, CONFIG.rest_ms, 10):
        line.on_room(now)
        assert len(search_in_vain(line, now)) == 1
    assert len(search_in_vain(line, CONFIG.rest_ms)) == CONFIG.vain_searches


def test_stream_that_is_hardly_smaller_is_not_tried_after_the_head(line):
    head, _ = join(line, waiter(size=1000), waiter(size=400))
    assert search_in_vain(line, 0) == [head]


# Guards against streams that wait for a full round behind one that fits nowhere.
def test_short_round_passes_over_a_stuck_head(line):
    big, *small = join(line, waiter(size=9000), *(waiter() for _ in range(3)))
    assert line.next_turn(0, NOBODY) is big
    line.pass_on(big, is_restricted=False)
    assert line.next_turn(0, NOBODY) is small[0]
    line.take(small[0], 0)
    assert line.next_turn(0, NOBODY) is small[1]
    line.pass_on(small[1], is_restricted=False)
    assert line.next_turn(0, NOBODY) is None
    line.on_room(30)
    assert line.next_turn(30, NOBODY) is small[1]


def test_searches_without_a_result_are_bounded_in_a_round(line):
    join_many(line, 50)
    tried = search_in_vain(line, 0, is_restricted=True)
    assert len(tried) == CONFIG.vain_searches


def test_stream_that_blocks_the_head_is_not_searched_for_after_each_placement(line):
    head, *others = join(line, waiter(size=9000), *(waiter() for _ in range(10)))
    assert line.next_turn(0, NOBODY) is head
    line.pass_on(head, is_restricted=False)
    assert place(line, 10) == others


def test_streams_placed_out_of_order_are_charged(line):
    # Guards against an account that gets more turns as the head of line is blocked.
    (head,) = join(line, waiter("blocked", size=9000))
    join_many(line, 10, "a")
    join_many(line, 10, "b")
    line.next_turn(0, NOBODY)
    line.pass_on(head, is_restricted=False)
    counts = Counter(item.account for item in place(line, 10))
    assert counts == {"a": 5, "b": 5}


# The caller leaves or the stream is blocked.
def test_turn_passes_on_when_its_stream_leaves(line):
    first, second = join(line, waiter(), waiter())
    assert line.next_turn(0, NOBODY) is first
    line.leave(first)
    assert line.next_turn(0, NOBODY) is second


def test_stream_that_leaves_without_its_turn_does_not_end_the_turn_of_another(line):
    first, second = join(line, waiter(), waiter())
    assert line.next_turn(0, NOBODY) is first
    line.leave(second)
    assert line.turn is first


def test_stream_that_took_the_fallback_does_not_end_the_turn_of_another(line):
    first, second = join(line, waiter(), waiter())
    assert line.next_turn(0, NOBODY) is first
    line.take(second, 0)
    line.pass_on(second, is_restricted=False)
    assert line.turn is first


# Load pattern: this VM has low priorities only, and others have many urgent streams.
def test_lower_priority_gets_an_eighth_of_its_rounds_while_others_are_urgent(line):
    join_many(line, 1, rank=2)
    rounds = 0
    for now in range(0, 800 * CONFIG.rest_ms, CONFIG.rest_ms):
        if (item := line.next_turn(now, {0: 1000, 1: 0})) is not None:
            rounds += 1
            line.pass_on(item, is_restricted=False)
            line.next_turn(now, {0: 1000, 1: 0})
    assert rounds == 100
    assert line.held_rounds == 700


def test_rounds_are_held_back_in_proportion_to_what_is_urgent(line):
    join_many(line, 300, rank=2)
    placed = 0
    for now in range(0, 100 * CONFIG.rest_ms, CONFIG.rest_ms):
        if (item := line.next_turn(now, {0: 200, 1: 100})) is not None:
            placed += 1
            line.take(item, now)
            line.join(waiter(rank=2))
    assert placed == 50


# Load pattern: one urgent stream waits somewhere, and hundreds of low ones everywhere.
# Guards against capacity that all VMs leave unused for a few urgent streams.
def test_few_urgent_streams_elsewhere_hold_back_few_rounds(line):
    join_many(line, 1, rank=2)
    rounds = 0
    for now in range(0, 100 * CONFIG.rest_ms, CONFIG.rest_ms):
        rounds += bool(search_in_vain(line, now, elsewhere={0: 10, 2: 189}))
    assert rounds == pytest.approx(95, abs=1)


@pytest.mark.parametrize("elsewhere", [{}, {2: 1000}, {3: 1000}, {2: 5, 3: 5}])
def test_turns_are_not_held_back_without_urgent_streams(line, elsewhere):
    for item in join_many(line, 20, rank=2):
        assert line.next_turn(0, elsewhere) is item
        line.take(item, 0)


def test_wait_is_unknown_before_there_were_turns(line):
    # Guards against refusals by a VM whose view is wrong and that served nobody yet.
    join_many(line, 500)
    search_in_vain(line, 0)
    assert line.wait_ms(waiter(), 0) is None
    assert not line.is_too_late(waiter(), 1, 0)


# Load pattern: more streams arrive than are served for some seconds.
def test_expected_wait_follows_the_turns_before_the_stream(line):
    join_many(line, 100, "large", rank=1)
    for now in range(0, 1000, 50):
        place(line, 1, now)
    urgent = line.wait_ms(waiter("other", rank=0), 1000)
    small = line.wait_ms(waiter("small", rank=1), 1000)
    large = line.wait_ms(waiter("large", rank=1), 1000)
    assert urgent < small < large
    assert small == pytest.approx(100, abs=10)
    assert large == pytest.approx(81 * 50, rel=0.1)
    assert line.is_too_late(waiter("large", rank=1), 400, 1000)
    assert not line.is_too_late(waiter("small", rank=1), 400, 1000)


def test_return_is_later_the_more_waits_before_the_stream(line):
    empty = line.return_ms(waiter(rank=1), 0)
    join_many(line, 40, rank=1)
    assert line.return_ms(waiter(rank=0), 0) < line.return_ms(waiter(rank=1), 0)
    assert line.return_ms(waiter(rank=1), 0) > empty
    join_many(line, 4000, rank=1)
    assert line.return_ms(waiter(rank=1), 0) == CONFIG.max_return_ms


def test_line_that_was_empty_forgets_its_rate_of_turns(line):
    # Without waiting streams the rate of turns is the rate of arrivals.
    for now in range(20):
        join(line, waiter())
        place(line, 1, now)
    join_many(line, 5)
    assert line.wait_ms(waiter(), 20) is None


STEPS = st.lists(
    st.tuples(
        st.sampled_from(("join", "take", "pass", "leave", "fallback", "room")),
        st.integers(0, 2),
        st.integers(0, 30),
    ),
    max_size=60,
)


# Guards against a line that stands still: each stream that waits gets a search,
# whatever the others do, and also while other VMs have urgent streams.
@settings(max_examples=300)
@given(steps=STEPS)
def test_line_never_stands_still(steps):
    line = WaitingLine.from_config(CONFIG)
    waiting, now = [], 0
    for step, rank, passed_ms in steps:
        now += passed_ms
        turn = line.turn
        if step == "join":
            waiting.append(waiter(str(rank), rank, size=100 * 10**rank))
            line.join(waiting[-1])
        elif step == "room":
            line.on_room(now)
        elif step in ("leave", "fallback") and waiting:
            item = waiting.pop(rank % len(waiting))
            line.leave(item) if step == "leave" else line.take(item, now)
        elif step == "take" and turn is not None:
            waiting.remove(turn)
            line.take(turn, now)
        elif step == "pass" and turn is not None:
            line.pass_on(turn, is_restricted=bool(rank))
        line.next_turn(now, {0: 5})
        assert line.turn is None or line.turn in waiting
        assert len(line) == len(waiting)
        assert line.stuck().total() <= len(waiting)
    for _ in range(20 * len(waiting)):
        if line.turn is None:
            now = max(now, line.next_at)
            line.next_turn(now, {0: 5})
        if line.turn is not None:
            line.take(line.turn, now)
    assert len(line) == 0
