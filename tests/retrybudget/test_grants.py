import pytest

from heathershunt.retrybudget import HeldGrants
from heathershunt.retrybudget.grants import GRANT_TTL_MS, MAX_UNRETURNED, GrantId

GRANT = GrantId("term", 1)


@pytest.fixture
def held(clock):
    return HeldGrants(clock)


def test_grant_is_used_up(clock, held):
    held.add("s", GRANT, 2, False, clock.now())
    assert held.count("s", False) == 2
    assert held.take("s", False)
    assert held.take("s", False)
    assert not held.take("s", False)
    assert not held.take("other", False)


def test_grant_ends_a_second_after_it_was_asked_for(clock, held):
    # Guards against a VM that resumes after a freeze, or reads a late answer, and uses
    # what the coordinator no longer counts.
    asked_at = clock.now()
    clock.advance(GRANT_TTL_MS - 1)
    held.add("s", GRANT, 2, True, asked_at)
    assert held.take("s", True)
    clock.advance(1)
    assert not held.take("s", True)
    assert held.take_unused("s", "term") == {GRANT: 1}


def test_unused_retries_are_told_once(clock, held):
    # Guards against a coordinator that takes the same retries back twice.
    held.add("s", GRANT, 2, True, clock.now())
    assert held.take_unused("s", "term") == {}
    clock.advance(GRANT_TTL_MS)
    assert held.take_unused("s", "another term") == {}
    assert held.take_unused("s", "term") == {GRANT: 2}
    assert held.take_unused("s", "term") == {}


def test_retries_for_streams_that_have_begun_serve_no_others(clock, held):
    held.add("s", GRANT, 1, True, clock.now())
    assert not held.take("s", False)
    assert held.count("s", False) == 0
    assert held.take("s", True)


def test_stream_that_has_begun_uses_those_first_that_others_may_not_use(clock, held):
    held.add("s", GRANT, 1, False, clock.now())
    held.add("s", GrantId("term", 2), 1, True, clock.now())
    assert held.take("s", True)
    assert held.take("s", False)


def test_grants_to_return_are_bounded(clock, held):
    for number in range(2 * MAX_UNRETURNED):
        held.add("s", GrantId("term", number), 1, True, clock.now())
    clock.advance(GRANT_TTL_MS)
    unused = held.take_unused("s", "term")
    assert list(unused) == [
        GrantId("term", number) for number in range(MAX_UNRETURNED, 2 * MAX_UNRETURNED)
    ]
