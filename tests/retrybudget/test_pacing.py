import pytest

from heathershunt.http import Address
from heathershunt.retrybudget.pacing import (
    AVOID_MS,
    CALL_GAP_MS,
    EMPTY_MS,
    CallPacer,
    RecentNeeds,
)

OWN, OTHER = Address("10.0.0.1", 1), Address("10.0.0.2", 2)


@pytest.fixture
def pacer(clock):
    return CallPacer(clock)


def test_calls_of_all_services_are_bounded(clock, pacer):
    # Guards against a coordinator that VMs without retries overload.
    calls = 0
    for _ in range(100):
        for service in ("a", "b"):
            if pacer.usable(service, [OWN]):
                pacer.start(service)
                pacer.end(service)
                calls += 1
        clock.advance(10)
    assert calls == 1000 // CALL_GAP_MS == 4


def test_service_has_one_call_in_flight(clock, pacer):
    pacer.start("a")
    clock.advance(CALL_GAP_MS)
    assert pacer.usable("a", [OWN]) == []
    assert pacer.usable("b", [OWN]) == [OWN]
    pacer.end("a")
    assert pacer.usable("a", [OWN]) == [OWN]


def test_coordinator_that_does_not_answer_is_left_out_for_a_while(clock, pacer):
    pacer.record_failure(OWN)
    assert pacer.usable("a", [OWN, OTHER]) == [OTHER]
    clock.advance(AVOID_MS)
    assert pacer.usable("a", [OWN, OTHER]) == [OWN, OTHER]


def test_another_coordinator_is_asked_if_a_pool_is_empty(clock, pacer):
    # Guards against requests that are denied though the pools of other groups are full.
    pacer.record_empty("a", OWN)
    assert pacer.usable("a", [OWN, OTHER]) == [OTHER]
    assert pacer.usable("b", [OWN, OTHER]) == [OWN, OTHER]
    clock.advance(EMPTY_MS)
    assert pacer.usable("a", [OWN, OTHER]) == [OWN, OTHER]


def test_vm_that_is_the_coordinator_needs_no_call(pacer):
    pacer.start("a")
    assert pacer.usable("a", [None, OTHER]) == [None]


def test_recent_needs_are_forgotten(clock):
    needs = RecentNeeds(clock)
    needs.record("a", False)
    clock.advance(CALL_GAP_MS - 1)
    needs.record("a", False)
    assert (needs.count("a", False), needs.count("a", True)) == (2, 0)
    clock.advance(1)
    assert needs.count("a", False) == 1
