"""A store that comes back from a copy: revisions go back and are given out again."""

import asyncio
import itertools

import pytest

from tests.gateway.site import HOST, configuration

# Stated target: a change is in force within ``config_apply_ms`` of its acknowledgement.
IN_FORCE_S = 2.0
# Time to see that something does not happen: two reads of the store and more.
QUIET_S = 1.0


def version(site, vm="vm-1"):
    catalog = site.gateways[vm].state.catalog
    return 0 if catalog is None else catalog.version


async def pass_revisions(site, count):
    """Write keys that no VM uses, each of which takes a revision."""
    for number in range(count):
        site.store.put(f"op/other-{number}", {})


async def cut_off_until_caught_up(site, copy, changes):
    """Restore the store while no VM reaches it, until old revisions were passed."""
    site.store.is_down = True
    await asyncio.sleep(0.3)
    site.store.restore(copy)
    changes()
    await pass_revisions(site, 20)
    site.store.is_down = False


# Guards against a confirmed change that is not in force, as its revision was passed
# again while a VM was cut off.
async def test_change_at_a_revision_passed_again_comes_into_force(site):
    copy = site.store.copy()
    site.store.put("op/config", configuration(2))
    await site.until(lambda: version(site) == 2)
    await pass_revisions(site, 5)
    await asyncio.sleep(0.3)
    await cut_off_until_caught_up(
        site, copy, lambda: site.store.put("op/config", configuration(3))
    )
    await site.until(lambda: version(site) == 3, IN_FORCE_S)


# Guards against an API key that is in use again after it was removed.
async def test_older_configuration_does_not_replace_the_newer_one(site):
    copy = site.store.copy()
    site.store.put("op/config", configuration(2, tenants=[]))
    await site.until(lambda: version(site) == 2)
    site.store.restore(copy)
    await asyncio.sleep(QUIET_S)
    assert version(site) == 2


# Guards against VMs that start with the configuration of the copy.
@pytest.mark.parametrize("silent", [0.0, 1.0])
async def test_vm_that_starts_has_the_newest_configuration(site, silent):
    copy = site.store.copy()
    await site.add_gateway("vm-2")
    site.store.put("op/config", configuration(2))
    await site.until(lambda: version(site) == 2 and version(site, "vm-2") == 2)
    site.store.restore(copy)
    await asyncio.sleep(silent)
    await site.add_gateway("vm-3")
    assert version(site, "vm-3") == 2


# Guards against the same if the copy is older than the entries of all other VMs.
async def test_vm_that_starts_waits_for_others_after_a_restoration(site):
    site.store.remove("vm/vm-1")
    copy = site.store.copy()
    site.store.put("op/config", configuration(2))
    await site.until(lambda: version(site) == 2 and site.store.keys("vm/"))
    site.store.restore(copy)
    await site.add_gateway("vm-2")
    assert version(site, "vm-2") == 2


async def test_configuration_that_the_operator_writes_again_is_kept_nowhere_else(site):
    copy = site.store.copy()
    site.store.put("op/config", configuration(2))
    await site.until(lambda: version(site) == 2)
    site.store.restore(copy)
    await asyncio.sleep(QUIET_S)
    site.store.put("op/config", configuration(3))
    await site.until(lambda: version(site) == 3, IN_FORCE_S)
    await site.until(lambda: not site.store.keys("configuration/"))


# Guards against a VM that runs and is in no answer of the directory.
async def test_entry_of_a_vm_is_written_again_under_a_lease_that_survived(site):
    site.store.remove("vm/vm-1")
    copy = site.store.copy()
    await site.until(lambda: site.store.keys("vm/") == ["vm/vm-1"])
    site.store.restore(copy)
    assert site.store.keys("vm/") == []
    await site.until(lambda: site.store.keys("vm/") == ["vm/vm-1"], IN_FORCE_S)


# Guards against two VMs that share a lease, as its id was given out again.
async def test_vms_have_leases_of_their_own(site):
    copy = site.store.copy()
    await site.add_gateway("vm-2")
    await site.add_gateway("vm-3")
    names = ["vm/vm-1", "vm/vm-2", "vm/vm-3"]
    site.store.restore(copy)
    await site.until(lambda: site.store.keys("vm/") == names, IN_FORCE_S)
    await asyncio.sleep(QUIET_S)
    assert site.store.keys("vm/") == names
    assert len({site.store.lease_of(name) for name in names}) == len(names)


# Guards against a leader whose orders runners reject as outdated.
async def test_fencing_tokens_grow(site):
    leadership = site.gateways["vm-1"].leadership
    await site.until(lambda: leadership.is_leader)
    copy = site.store.copy()
    await pass_revisions(site, 50)
    site.gateways.pop("vm-1").stop_now()
    site.store.remove("leader/placement")
    await site.add_gateway("vm-2")
    leadership = site.gateways["vm-2"].leadership
    await site.until(lambda: leadership.is_leader)
    before = leadership.fencing_token
    site.store.restore(copy)
    site.store.remove("leader/placement")
    await asyncio.sleep(0.5)
    await site.until(
        lambda: leadership.is_leader and leadership.fencing_token != before, 6
    )
    assert leadership.fencing_token > before


# Guards against a target that has left and is in use again.
@pytest.mark.parametrize("restored_while_cut_off", [False, True])
async def test_target_that_has_left_does_not_return(site, restored_while_cut_off):
    copy = site.store.copy()
    registry = site.gateways["vm-1"].state.registry
    site.store.remove("servers/desk-a")
    await site.until(lambda: registry.get("desk-a") is None)
    if restored_while_cut_off:
        await cut_off_until_caught_up(site, copy, lambda: None)
    else:
        site.store.restore(copy)
    await asyncio.sleep(QUIET_S)
    assert [target.id for target in registry.of_service("desk")] == ["desk-b"]


async def test_target_that_drains_is_not_used_again(site):
    copy = site.store.copy()
    registry = site.gateways["vm-1"].state.registry
    site.targets["desk-a"].is_draining = True
    site.targets["desk-a"].register()
    await site.until(lambda: len(registry.of_service("desk")) == 1)
    site.store.restore(copy)
    await asyncio.sleep(QUIET_S)
    assert [target.id for target in registry.of_service("desk")] == ["desk-b"]


# Guards against targets that are lost for good though they live.
async def test_target_that_registers_again_is_used(site):
    copy = site.store.copy()
    registry = site.gateways["vm-1"].state.registry
    site.store.remove("servers/desk-a")
    await site.until(lambda: registry.get("desk-a") is None)
    site.store.restore(copy)
    await asyncio.sleep(0.3)
    site.targets["desk-a"].register()
    await site.until(lambda: len(registry.of_service("desk")) == 2, IN_FORCE_S)


# Guards against refused callers while the targets write their entries again.
async def test_target_registered_after_the_copy_is_kept_until_it_is_back(site):
    copy = site.store.copy()
    await site.add_target("desk-c", "desk", "a")
    registry = site.gateways["vm-1"].state.registry
    await site.until(lambda: len(registry.of_service("desk")) == 3)
    site.store.restore(copy)
    await asyncio.sleep(0.5)
    assert registry.get("desk-c") is not None
    site.targets["desk-c"].register()
    await asyncio.sleep(3.0)
    assert registry.get("desk-c") is not None


async def test_calls_are_served_all_the_while(site):
    copy = site.store.copy()
    site.store.put("op/config", configuration(2))
    await site.until(lambda: version(site) == 2)
    statuses = []
    for number in itertools.count():
        if number == 5:
            site.store.restore(copy)
        if number == 40:
            break
        status, _, _ = await site.call("GET", "/status/x", host=HOST)
        statuses.append(status)
        await asyncio.sleep(0.02)
    assert statuses == [200] * 40
