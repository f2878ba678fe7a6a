"""Entries that a restored store holds from before its restoration."""

import pytest

from heathershunt.discovery import TargetRegistry
from heathershunt.discovery.copies import RESTORED_MS
from heathershunt.discovery.outage import OUTAGE_GRACE_MS
from tests.discovery.test_registry import ids, target


@pytest.fixture
def registry(clock):
    registry = TargetRegistry(clock, lambda target_id: None)
    registry.put(target("t1", incarnation=5, heartbeats=10))
    return registry


def test_target_that_left_before_the_restoration_is_not_listed(registry, clock):
    registry.remove("t1")
    registry.on_store_restored()
    registry.replace_all([target("t1", incarnation=5, heartbeats=10)])
    assert ids(registry) == set()


@pytest.mark.parametrize("born, heartbeats", [(5, 11), (6, 1)])
def test_target_that_registers_again_is_listed(registry, born, heartbeats):
    registry.remove("t1")
    registry.on_store_restored()
    registry.replace_all([target("t1", incarnation=5, heartbeats=10)])
    registry.put(target("t1", incarnation=born, heartbeats=heartbeats))
    assert ids(registry) == {"t1"}


def test_process_that_ended_before_the_restoration_is_not_listed(registry):
    registry.put(target("t1", incarnation=6, heartbeats=1))
    registry.on_store_restored()
    registry.replace_all([target("t1", incarnation=5, heartbeats=10)])
    assert registry.get("t1").incarnation == 6


def test_target_that_drains_keeps_draining(registry):
    registry.put(target("t1", incarnation=5, heartbeats=12, is_draining=True))
    registry.on_store_restored()
    registry.replace_all([target("t1", incarnation=5, heartbeats=10)])
    assert ids(registry) == set()


def test_unchanged_target_stays_listed(registry, clock):
    registry.on_store_restored()
    registry.replace_all([target("t1", incarnation=5, heartbeats=10)])
    clock.advance(OUTAGE_GRACE_MS)
    registry.expire()
    assert ids(registry) == {"t1"}


# Guards against a living target that is lost for good, whatever its entry counts.
def test_entry_that_stays_is_taken_after_a_time(registry, clock):
    registry.remove("t1")
    registry.on_store_restored()
    registry.replace_all([target("t1", incarnation=5, heartbeats=10)])
    clock.advance(RESTORED_MS)
    registry.expire()
    assert ids(registry) == {"t1"}


def test_entry_that_goes_is_not_taken_later(registry, clock):
    registry.remove("t1")
    registry.on_store_restored()
    registry.replace_all([target("t1", incarnation=5, heartbeats=10)])
    registry.remove("t1")
    clock.advance(RESTORED_MS)
    registry.expire()
    assert ids(registry) == set()


def test_targets_may_return_without_a_restoration(registry):
    registry.remove("t1")
    registry.put(target("t1", incarnation=5, heartbeats=10))
    assert ids(registry) == {"t1"}
