"""Many streams wait on one VM while all chains are full."""

from heathershunt.relay.capacity import CAPACITY_POLL_MS, CapacityGate


def test_waiting_streams_share_one_search_per_interval(clock):
    # Case: one VM is left and a hundred streams wait on it; each search takes some
    # milliseconds of CPU time.
    gate = CapacityGate(clock)
    searches = 0
    for _ in range(10):
        for _ in range(100):
            if gate.may_search("s"):
                searches += 1
                gate.record_full("s")
        clock.advance(CAPACITY_POLL_MS)
    assert searches == 10
