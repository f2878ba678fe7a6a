import pytest

from heathershunt.discovery import Target, TargetRegistry
from heathershunt.discovery.outage import OUTAGE_GRACE_MS
from heathershunt.http import Address


def target(target_id, **options):
    values = {"service": "s", "address": Address("10.0.0.1", 80), "domain": "a"}
    return Target(id=target_id, slots=4, **(values | options))


@pytest.fixture
def registry(clock):
    return TargetRegistry(clock, lambda target_id: None)


def ids(registry):
    return {item.id for item in registry.of_service("s")}


def test_removed_target_is_dropped_at_once_in_steady_state(registry):
    registry.put(target("t1"))
    registry.remove("t1")
    assert ids(registry) == set()


def test_list_without_a_target_removes_it_at_once_in_steady_state(registry):
    # Guards against requests to a target that left while the store dropped its history:
    # after the drain bound it must receive none, so it is not kept as after an outage.
    registry.replace_all([target("t1"), target("t2")])
    registry.replace_all([target("t2")])
    assert ids(registry) == {"t2"}


def test_target_whose_lease_expired_in_an_outage_is_kept_until_it_reappears(
    registry, clock
):
    registry.put(target("t1"))
    registry.start_grace_period()
    registry.remove("t1")
    assert ids(registry) == {"t1"}
    assert registry.is_missing("t1")
    registry.put(target("t1"))
    clock.advance(OUTAGE_GRACE_MS)
    registry.expire()
    assert ids(registry) == {"t1"}
    assert not registry.is_missing("t1")


def test_target_that_does_not_reappear_after_an_outage_is_dropped(registry, clock):
    registry.replace_all([target("t1")])
    registry.start_grace_period()
    registry.replace_all([])
    clock.advance(OUTAGE_GRACE_MS)
    registry.expire()
    assert ids(registry) == set()


def test_draining_target_gets_no_new_requests(registry):
    registry.put(target("t1"))
    registry.put(target("t1", is_draining=True))
    assert ids(registry) == set()
    assert len(registry) == 1
    assert registry.get("t1").is_draining


def test_target_that_changes_its_service_is_listed_under_the_new_one_only(registry):
    registry.put(target("t1"))
    registry.put(target("t1", service="other"))
    assert ids(registry) == set()
    assert [item.id for item in registry.of_service("other")] == ["t1"]


def test_targets_that_are_about_to_leave_are_listed_but_take_no_requests(registry):
    registry.put(target("t1"))
    registry.put(target("t2", is_draining=True))
    assert ids(registry) == {"t1"}
    assert {item.id for item in registry.listed("s")} == {"t1", "t2"}
    assert registry.listed("other") == []


def test_target_is_found_by_its_latest_address(clock):
    # Guards against an outcome that counts for a target that left its address.
    registry = TargetRegistry(clock, lambda target_id: None)
    address, later = Address("10.0.0.1", 1), Address("10.0.0.1", 2)
    registry.put(Target("t1", "s", address, "a", 4, 1))
    registry.put(Target("t1", "s", later, "a", 4, 2))
    assert registry.id_at(address) is None
    registry.put(Target("t2", "s", later, "a", 4, 3))
    registry.remove("t1")
    assert registry.id_at(later) == "t2"
