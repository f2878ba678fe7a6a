import random

import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from heathershunt.clock import ManualClock
from heathershunt.timeline import (
    EventKind,
    HybridClock,
    Timeline,
    event_from_mapping,
    event_to_mapping,
    explain,
    merge_events,
    pack_hlc,
    select_events,
    unpack_hlc,
)
from heathershunt.timeline.hlc import MAX_AHEAD_MS


def timeline(vm, wall=1_000_000, **options):
    return Timeline(HybridClock(ManualClock(wall=wall)), vm, 1, **options)


def test_tick_increases_when_the_wall_clock_goes_back():
    """An adjusted wall clock must not reorder events of one process."""
    clock = ManualClock(wall=5000)
    hybrid = HybridClock(clock)
    first = hybrid.tick()
    clock.advance(-100)
    assert first == pack_hlc(5000)
    assert unpack_hlc(hybrid.tick()) == (5000, 1)


def test_counter_overflow_keeps_the_order():
    """More events per millisecond than the counter can count must stay ordered."""
    hybrid = HybridClock(ManualClock(wall=5000))
    hybrid.observe(pack_hlc(5000, 0xFFFF))
    assert unpack_hlc(hybrid.last) == (5001, 0)


@pytest.mark.parametrize(
    "remote", [pack_hlc(1_000_000 + MAX_AHEAD_MS + 1), 1 << 90, "soon", None]
)
def test_time_of_a_peer_far_ahead_is_ignored(remote):
    """One wrong clock must not move the time of the whole deployment ahead."""
    hybrid = HybridClock(ManualClock(wall=1_000_000))
    assert unpack_hlc(hybrid.observe(remote))[0] == 1_000_000
    assert hybrid.ignored == 1


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.lists(st.integers(-5000, 5000), min_size=2, max_size=5), st.integers())
def test_effects_follow_causes_for_any_skew_of_the_clocks(skews, seed):
    """A message chain over VMs with skewed clocks must merge in sending order."""
    rng = random.Random(seed)
    lines = [timeline(f"vm{i}", 1_000_000 + skew) for i, skew in enumerate(skews)]
    for step in range(30):
        sender, receiver = rng.sample(lines, 2)
        sender.record(EventKind.RETRY, "chain", step=2 * step)
        receiver.clock.observe(sender.clock.last)
        receiver.record(EventKind.RETRY, "chain", step=2 * step + 1)
    merged = merge_events(*(line.events() for line in lines))
    position = {event.fields["step"]: i for i, event in enumerate(merged)}
    assert all(position[2 * s] < position[2 * s + 1] for s in range(30))
    for line in lines:
        own = [event.hlc for event in merged if event.vm == line.vm]
        assert own == sorted(set(own))


def test_buffer_is_bounded_and_counts_dropped_events():
    line = timeline("vm1", capacity=3)
    for number in range(5):
        line.record(EventKind.FAULT, number=number)
    assert [event.fields["number"] for event in line.events()] == [2, 3, 4]
    assert line.dropped == 2


def test_merge_removes_duplicate_events():
    """Two configured listeners of one VM must not duplicate its events."""
    line = timeline("vm1")
    line.record(EventKind.BUNDLE, version=1)
    assert merge_events(line.events(), line.events()) == line.events()


def test_select_by_request_vm_and_kind():
    one, two = timeline("vm1"), timeline("vm2")
    one.record(EventKind.RETRY, "a")
    two.record(EventKind.RETRY, "b")
    two.record(EventKind.VERDICT, "a")
    events = merge_events(one.events(), two.events())
    assert len(select_events(events, request="a")) == 2
    assert len(select_events(events, vm="vm2")) == 2
    assert len(select_events(events, vm="vm2", kind=EventKind.RETRY)) == 1


def test_event_round_trips_through_json():
    line = timeline("vm1")
    line.record(EventKind.CHAIN_CHOSEN, "a", chain=["r1", "r2"], why="lowest cost")
    (event,) = line.events()
    text = msgspec.json.encode(event_to_mapping(event))
    assert event_from_mapping(msgspec.json.decode(text)) == event


def test_explain_describes_only_events_of_the_request():
    line = timeline("vm1")
    line.record(EventKind.CHAIN_CHOSEN, "a", chain=["r1", "r2"], why="lowest cost")
    line.record(EventKind.VERDICT, "b", verdict="ran")
    assert explain(line.events(), "a") == [
        "+0 ms vm1: a chain was chosen (chain r1 > r2, why lowest cost)"
    ]
    assert explain(line.events(), "c") == []
