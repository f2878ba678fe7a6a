"""Load: many streams wait at one VM while all chains are full."""

from heathershunt.relay.room import ROOM_POLL_MS, RoomGate


def test_many_waiting_streams_cost_one_search_at_a_time(clock):
    # The load: one VM is left and a hundred streams wait; each search takes some
    # milliseconds of its processor.
    gate = RoomGate(clock)
    searches = 0
    for _ in range(10):
        for _ in range(100):
            if gate.may_look("s"):
                searches += 1
                gate.note_full("s")
        clock.advance(ROOM_POLL_MS)
    assert searches == 10
