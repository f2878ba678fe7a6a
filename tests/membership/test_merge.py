from functools import reduce
from itertools import permutations

from hypothesis import given, strategies as st

from heathershunt.clock import Millis
from heathershunt.membership import Membership, VmRecord, VmState, merge_records

small = st.integers(0, 3)
records = st.builds(
    VmRecord,
    st.just("vm"),
    small,
    st.sampled_from(["10.0.0.1:80", "10.0.0.2:80"]),
    phase=small,
    seq=small,
    dead=st.booleans(),
)


@given(records, records, records)
def test_merge_is_commutative_associative_and_idempotent(a, b, c):
    assert merge_records(a, b) == merge_records(b, a)
    assert merge_records(a, a) == a
    left = merge_records(merge_records(a, b), c)
    assert left == merge_records(a, merge_records(b, c))


@given(st.lists(records, min_size=1, max_size=4))
def test_merge_result_does_not_depend_on_arrival_order(arrivals):
    ends = set()
    for order in permutations(arrivals):
        members = Membership(VmRecord("own", 1), Millis(0))
        for record in order:
            members.merge([record], Millis(0))
        ends.add((members.records_by_vm["vm"], members.digest))
    assert ends == {(reduce(merge_records, arrivals), members.digest)}


@given(st.lists(records, max_size=12))
def test_leaving_never_reverts_without_an_admission(arrivals):
    members = Membership(VmRecord("own", 1), Millis(0))
    left = set()
    for record in arrivals:
        members.merge([record], Millis(0))
        held = members.records_by_vm["vm"]
        if held.state is VmState.LEAVING:
            left.add((held.incarnation, held.phase))
        for incarnation, phase in left:
            assert held.incarnation >= incarnation
            if held.incarnation == incarnation and held.state is VmState.LIVE:
                assert held.phase > phase


@given(
    st.lists(
        st.builds(
            VmRecord, st.just("own"), small, phase=small, seq=small, dead=st.booleans()
        ),
        max_size=8,
    )
)
def test_own_record_is_never_dead_and_its_rank_only_rises(arrivals):
    members = Membership(VmRecord("own", 1, "10.0.0.1:80"), Millis(0))
    for record in arrivals:
        before = members.own.rank
        members.merge([record], Millis(0))
        assert members.own.rank >= max(before, record.rank[:3] + (False,))
        assert not members.own.dead and members.own.callers == "10.0.0.1:80"
