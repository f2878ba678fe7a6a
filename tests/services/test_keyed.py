import asyncio
import json

import pytest

from heathershunt.clock import ManualClock
from heathershunt.services.claims import CLAIM_RETENTION_MS
from heathershunt.services.issuer import KEY_LIFETIME_MS
from heathershunt.services.table import DEDUPLICATION_WINDOW_MS
from heathershunt.verdict import Progress
from tests.services.doubles import DirectForwarder, Vm


def verdict(outcome):
    return json.loads(outcome.response.body)["verdict"]


@pytest.fixture
def pair(clock, vm):
    """Two VMs on one store that forward to each other."""
    other = Vm("vm2", clock, vm.store, vm.runs)
    vms_by_name = {"vm1": vm, "vm2": other}
    vm.keyed.forwarder = other.keyed.forwarder = DirectForwarder(vms_by_name)
    return vm, other, vms_by_name


@pytest.mark.parametrize("kind", ["issued", "own"])
async def test_other_vm_gets_the_stored_answer_from_the_owner(pair, kind):
    """A repeat at another VM must get the same answer, also if the call still runs."""
    vm, other, _ = pair
    key = vm.issuer.issue("parish") if kind == "issued" else "k"
    vm.dispatcher.gate = asyncio.Event()
    first = asyncio.create_task(vm.call(key))
    await asyncio.sleep(0.02)
    second = asyncio.create_task(other.call(key))
    await asyncio.sleep(0.02)
    vm.dispatcher.gate.set()
    assert (await first).response == (await second).response
    assert (await other.call(key)).response.body == b"1"
    assert vm.runs == [b"die"]


@pytest.mark.parametrize("kind", ["issued", "own"])
async def test_unreachable_owner_gives_may_have_run_until_it_answers(pair, kind):
    """The outcome is not stored, so the owner's answer is returned once it is back."""
    vm, other, vms_by_name = pair
    key = vm.issuer.issue("parish") if kind == "issued" else "k"
    await vm.call(key)
    del vms_by_name["vm1"]
    assert verdict(await other.call(key)) == "may_have_run"
    vms_by_name["vm1"] = vm
    assert (await other.call(key)).response.status == 200
    assert vm.runs == [b"die"]


async def test_stored_may_have_run_outcome_prevents_a_second_run(vm):
    vm.dispatcher.plan = [Progress.SENT]
    for _ in range(3):
        assert verdict(await vm.call("k")) == "may_have_run"
    assert len(vm.runs) == 1


async def test_key_of_a_call_that_was_not_sent_can_be_used_again(vm):
    vm.dispatcher.plan = [Progress.NOT_SENT]
    assert verdict(await vm.call("k")) == "not_run"
    assert (await vm.call("k")).response.status == 200


async def test_key_is_bound_to_its_account_and_process(vm, clock):
    key = vm.issuer.issue("parish")
    assert verdict(await vm.call(key, account="notary")) == "not_run"
    restarted = Vm("vm1", clock, vm.store, vm.runs, incarnation=2)
    assert verdict(await restarted.call(key)) == "may_have_run"
    assert vm.runs == []


async def test_expired_unused_key_gives_not_run_only_within_the_window(vm, clock):
    """After the window, used keys have no entry and look the same as unused ones."""
    used, unused = vm.issuer.issue("parish"), vm.issuer.issue("parish")
    await vm.call(used)
    clock.advance(KEY_LIFETIME_MS)
    vm.table.remove_expired(clock.now())
    assert (await vm.call(used)).response.status == 200
    assert verdict(await vm.call(unused)) == "not_run"
    clock.advance(DEDUPLICATION_WINDOW_MS)
    vm.table.remove_expired(clock.now())
    for key in (used, unused):
        assert verdict(await vm.call(key)) == "may_have_run"


async def test_repeat_uses_a_claim_whose_outcome_was_unknown(vm, clock):
    """A claim that was written but not confirmed in time must not block its key."""
    vm.store.faults = ["late", "out"]
    assert verdict(await vm.call("k")) == "not_run"
    clock.advance(1_000)
    vm.store.faults = ["dropped"]
    assert (await vm.call("k")).response.status == 200
    assert vm.runs == [b"die"]


async def test_old_unused_claim_is_not_used(vm, clock):
    """A VM whose clock is ahead may have removed the claim and run the call."""
    vm.dispatcher.plan = [Progress.NOT_SENT]
    await vm.call("k")
    clock.advance(DEDUPLICATION_WINDOW_MS)
    assert verdict(await vm.call("k")) == "may_have_run"
    clock.advance(CLAIM_RETENTION_MS)
    assert (await vm.call("k")).response.status == 200


@pytest.mark.parametrize("kind", ["issued", "own"])
async def test_answer_is_kept_for_the_window_after_the_call(vm, clock, kind):
    """A repeat at the end of the window must still get the answer."""
    key = vm.issuer.issue("parish") if kind == "issued" else "k"
    await vm.call(key)
    clock.advance(DEDUPLICATION_WINDOW_MS - 1)
    vm.table.remove_expired(clock.now())
    assert (await vm.call(key)).response.body == b"1"


async def test_full_table_refuses_without_a_run(clock):
    vm = Vm("vm1", clock, max_entries=1)
    await vm.call("a")
    assert verdict(await vm.call("b")) == "not_run"
    assert vm.runs == [b"die"]


async def test_joined_caller_times_out_at_its_own_deadline():
    """A caller that joined a running call must get a response at its own deadline."""
    vm = Vm("vm1", ManualClock())
    vm.dispatcher.gate = asyncio.Event()
    first = asyncio.create_task(vm.call("k"))
    await asyncio.sleep(0)
    assert verdict(await vm.call("k", ms=10)) == "may_have_run"
    vm.dispatcher.gate.set()
    assert (await first).response.status == 200
