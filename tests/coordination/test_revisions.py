from hypothesis import given, strategies as st

from heathershunt.coordination.revisions import (
    LEASE_BITS,
    MAX_ERA,
    NUMBER_BITS,
    era_of,
    era_of_lease,
    join,
    join_lease,
    number_of,
    number_of_lease,
)

ERAS = st.integers(0, MAX_ERA)
NUMBERS = st.integers(0, 2**NUMBER_BITS - 1)


@given(ERAS, NUMBERS)
def test_revision_holds_its_era_and_number(era, number):
    revision = join(era, number)
    assert (era_of(revision), number_of(revision)) == (era, number)
    # The largest whole number that JSON carries everywhere.
    assert revision < 2**53


@given(st.tuples(ERAS, NUMBERS), st.tuples(ERAS, NUMBERS))
def test_revisions_of_a_later_era_are_higher(left, right):
    assert (join(*left) < join(*right)) == (left < right)


@given(ERAS, st.integers(0, 2**LEASE_BITS - 1))
def test_lease_holds_its_era_and_number(era, number):
    lease = join_lease(era, number)
    assert (era_of_lease(lease), number_of_lease(lease)) == (era, number)
