import pytest

from heathershunt.membership import (
    Membership,
    MembershipLimits,
    Suspicion,
    VmRecord,
    VmState,
)


@pytest.fixture
def members(clock):
    members = Membership(VmRecord("own", 1000), clock.now())
    members.merge([VmRecord("b", 1000), VmRecord("c", 1000)], clock.now())
    members.set_neighbours({"b"}, clock.now())
    return members


def tick_for(members, clock, milliseconds):
    """Advance the clock, tick every 500 ms, and return all suspicions."""
    suspicions = []
    for _ in range(milliseconds // 500):
        clock.advance(500)
        suspicions += members.tick(clock.now())
    return suspicions


def state(members, vm):
    return members.records_by_vm[vm].state


def test_unseen_neighbour_is_suspected_then_dead(members, clock):
    assert tick_for(members, clock, 2500) == []
    assert [s.vm for s in tick_for(members, clock, 3000)] == ["b"]
    assert state(members, "b") is VmState.LIVE
    tick_for(members, clock, 500)
    assert state(members, "b") is VmState.DEAD
    assert state(members, "c") is VmState.LIVE


def test_refutation_through_another_neighbour_keeps_a_vm_alive(members, clock):
    """Guards against declaring a VM dead because one path to it is broken."""
    for _ in range(10):
        for suspicion in tick_for(members, clock, 2000):
            refuted = VmRecord("b", 1000, seq=suspicion.seq + 1)
            members.merge([refuted], clock.now())
    assert state(members, "b") is VmState.LIVE


def test_leaving_mark_of_another_vm_refutes_no_suspicion(members, clock):
    tick_for(members, clock, 4000)
    members.mark_leaving(clock.now(), "b")
    tick_for(members, clock, 3500)
    assert state(members, "b") is VmState.DEAD


def test_pause_of_this_process_raises_no_suspicion(members, clock):
    clock.advance(30_000)
    assert members.tick(clock.now()) == []
    assert state(members, "b") is VmState.LIVE


def test_suspicion_of_this_vm_is_refuted(members, clock):
    answer = members.handle_suspicion(Suspicion("own", 1000, 0, 0), clock.now())
    assert answer == members.own and answer.seq == 1
    passed_on = Suspicion("c", 1000, 0, 0)
    assert members.handle_suspicion(passed_on, clock.now()) == passed_on


def test_restarted_vm_replaces_its_old_record(members, clock):
    tick_for(members, clock, 6500)
    members.merge([VmRecord("b", 2000)], clock.now())
    assert state(members, "b") is VmState.LIVE
    members.merge([VmRecord("b", 1000, seq=50, dead=True)], clock.now())
    assert members.records_by_vm["b"].incarnation == 2000


def test_superseded_process_is_leaving(members, clock):
    """Guards against two processes of one VM that raise the incarnation in turn."""
    clock.advance(60_000)
    members.merge([VmRecord("own", 5000)], clock.now())
    assert members.is_leaving and members.own.incarnation == 1000


def test_start_with_a_clock_set_back_raises_the_incarnation(members, clock):
    members.merge([VmRecord("own", 5000)], clock.now())
    assert members.own.incarnation == 5001 and not members.is_leaving


def test_message_from_a_dead_vm_returns_the_record_to_refute(members, clock):
    tick_for(members, clock, 6500)
    dead_record = members.mark_seen("b", 1000, clock.now())
    other = Membership(VmRecord("b", 1000), clock.now())
    other.merge([dead_record], clock.now())
    assert not other.own.dead and other.own.rank > dead_record.rank


def test_late_record_does_not_restore_a_removed_vm(clock):
    limits = MembershipLimits(dead_kept_ms=1000)
    members = Membership(VmRecord("own", 1), clock.now(), limits)
    members.merge([VmRecord("b", 7, seq=4, dead=True)], clock.now())
    tick_for(members, clock, 2000)
    assert "b" not in members.records_by_vm
    members.merge([VmRecord("b", 7, seq=3), VmRecord("b", 6, seq=9)], clock.now())
    assert "b" not in members.records_by_vm
    members.merge([VmRecord("b", 7, seq=5)], clock.now())
    assert state(members, "b") is VmState.LIVE


def test_changes_since_returns_only_what_changed(members, clock):
    version = members.version
    assert members.changes_since(version) == []
    members.mark_leaving(clock.now(), "c")
    assert [record.vm for record in members.changes_since(version)] == ["c"]
    assert len(members.changes_since(0)) == 3


def test_list_change_to_leaving_is_applied_at_once(members, clock):
    members.apply_vm_list({"b": "live"}, clock.now(), 2000)
    members.apply_vm_list({"b": "leaving"}, clock.now(), 2000)
    assert state(members, "b") is VmState.LEAVING


def test_lagging_list_does_not_drain_a_new_incarnation(members, clock):
    """Guards against an entry that describes the process before a restart."""
    members.apply_vm_list({"b": "live"}, clock.now(), 2000)
    members.merge([VmRecord("b", 2000)], clock.now())
    members.apply_vm_list({"b": "leaving"}, clock.now(), 2500)
    assert state(members, "b") is VmState.LIVE
    members.apply_vm_list({"b": "leaving"}, clock.now(), 60_000)
    assert state(members, "b") is VmState.LEAVING


def test_admitted_vm_stays_live_while_the_list_lags(members, clock):
    members.apply_vm_list({"b": "leaving"}, clock.now(), 60_000)
    members.admit(clock.now(), "b")
    members.apply_vm_list({"b": "leaving"}, clock.now(), 60_000)
    assert state(members, "b") is VmState.LIVE
    members.apply_vm_list({"b": "live"}, clock.now(), 61_000)
    members.apply_vm_list({"b": "leaving"}, clock.now(), 62_000)
    assert state(members, "b") is VmState.LEAVING


def test_leaving_vm_that_refutes_its_death_stays_leaving(members, clock):
    members.mark_leaving(clock.now())
    dead_record = VmRecord("own", 1000, phase=1, seq=9, dead=True)
    members.merge([dead_record], clock.now())
    assert members.own.state is VmState.LEAVING
