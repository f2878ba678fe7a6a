"""Load: many streams wait at one VM while all chains are full."""

from heathershunt.relay.capacity import CAPACITY_POLL_MS, CapacityGate


def test_many_waiting_streams_cost_one_search_at_a_time(clock):
    # The load: one VM is left and a hundred streams wait; each search takes some
    # milliseconds of its processor.
    gate = CapacityGate(clock)
    searches = 0
    for _ in range(10):
        for _ in range(100):
            if gate.may_search("s"):
                searches += 1
                gate.note_full("s")
        clock.advance(CAPACITY_POLL_MS)
    assert searches == 10
