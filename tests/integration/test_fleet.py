import asyncio
import json
import signal

from heathershunt.bundle.parts import encode_signed_root
from heathershunt.http import Address
from heathershunt.store import BUNDLE_ROOT_KEY, KeyValueStore
from standins.bundles import demo_bundle
from standins.caller import Caller
from tests.integration.faults import assert_complete, start_draft

PROMPT = "Write the inscription proof for the wedding house of the harbour"


def callers_address(fleet, name):
    return fleet.ports_by_daemon[name].callers


async def address_answer(fleet, name, token="parish-token"):
    status, _, body = await Caller(token).call(
        callers_address(fleet, name), "GET", "/v1/address"
    )
    assert status == 200
    return json.loads(body)


async def call_operator(fleet, name, method, target, payload=None):
    outcome = await fleet.http.request_json(
        fleet.ports_by_daemon[name].operators,
        method,
        target,
        payload,
        headers={"authorization": f"Bearer {fleet.operator_key}"},
    )
    return outcome.unwrap()


async def set_platform_faults(fleet, **faults):
    await fleet.call(fleet.platform, "POST", "/v1/faults", faults)


async def test_caller_resumes_at_another_vm(fleet):
    """A caller must be able to resume an answer at any VM."""
    caller = Caller("parish-token")
    task, seen = await start_draft(caller, callers_address(fleet, "vm1"), PROMPT, 300)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert_complete(
        await caller.resume(callers_address(fleet, "vm2"), seen), PROMPT, 300
    )


async def test_other_account_cannot_resume_through_a_peer(fleet):
    """A VM that relays a resume to the owner must not bypass the account check."""
    caller = Caller("parish-token")
    got = await caller.draft(callers_address(fleet, "vm1"), PROMPT, 5)
    other = await Caller("notary-token").resume(callers_address(fleet, "vm2"), got)
    assert other.status == 404


async def test_answer_continues_at_another_vm_after_the_loss_of_its_owner(fleet):
    """The tokens that the caller received replace the journal lost with the VM."""
    caller = Caller("parish-token")
    task, seen = await start_draft(caller, callers_address(fleet, "vm1"), PROMPT, 300)
    fleet.processes_by_name["vm1"].kill()
    broken = await task
    assert broken.broken and not broken.is_complete
    refused = await caller.resume(callers_address(fleet, "vm2"), broken)
    assert refused.problem["verdict"] == "may_have_run"
    rest = await caller.draft(
        callers_address(fleet, "vm2"),
        PROMPT,
        300,
        heathershunt={"received": broken.tokens},
    )
    rest.tokens[:0] = broken.tokens
    assert_complete(rest, PROMPT, 300)


async def test_caller_with_every_token_gets_the_end_from_another_vm(fleet):
    """A caller that received every token but no end must be able to get the end."""
    caller = Caller("parish-token")
    first = await caller.draft(callers_address(fleet, "vm1"), PROMPT, 5)
    rest = await caller.draft(
        callers_address(fleet, "vm2"),
        PROMPT,
        5,
        heathershunt={"received": first.tokens},
    )
    assert (rest.is_complete, rest.tokens) == (True, [])


async def test_drained_vm_names_another_and_is_no_longer_offered(fleet):
    """A drained VM must stop accepting new work within 3 s."""
    caller = Caller("parish-token")
    task, _ = await start_draft(caller, callers_address(fleet, "vm1"), PROMPT, 300)
    status, _ = await call_operator(
        fleet, "vm2", "POST", "/v1/operator/drain", {"vm": "vm1"}
    )
    assert status == 200
    async with asyncio.timeout(3):
        while (
            late := await caller.draft(callers_address(fleet, "vm1"), PROMPT, 2)
        ).status == 200:
            await asyncio.sleep(0.05)
    assert late.problem["verdict"] == "not_run"
    assert late.problem["address"] == str(callers_address(fleet, "vm2"))
    for name in ("vm1", "vm2"):
        answer = await address_answer(fleet, name)
        assert answer["vm"] == "vm2"
        assert str(callers_address(fleet, "vm1")) not in answer["alternatives"]
    assert_complete(await task, PROMPT, 300)
    await call_operator(fleet, "vm1", "POST", "/v1/operator/admit", {"vm": "vm1"})
    assert_complete(
        await Caller("parish-token").draft(callers_address(fleet, "vm1"), PROMPT, 2),
        PROMPT,
        2,
    )


async def test_runner_on_a_leaving_vm_gets_no_new_draft(fleet):
    """The state in the VM list applies before the runner reports that it leaves."""
    for vm in fleet.vms:
        if vm["vm"].endswith("-r0"):
            vm["state"] = "leaving"
    await fleet.publish_vms()
    await asyncio.sleep(3)
    got = await Caller("parish-token").draft(callers_address(fleet, "vm1"), PROMPT, 5)
    assert_complete(got, PROMPT, 5)
    for stage in range(3):
        engine = fleet.processes_by_name[f"m-s{stage}-r0"].info["engines"][0]
        address = Address.from_text(engine["address"])
        ledger = await fleet.call(address, "GET", "/v1/ledger")
        assert not ledger["runs"]


async def test_bundle_spreads_when_the_store_fails_after_acceptance(fleet):
    """A VM that read the accepted root must pass the bundle on to all others."""
    fleet.processes_by_name["vm2"].pause()
    await fleet.roll(demo_bundle(2))
    async with asyncio.timeout(5):
        while await bundle_version(fleet, "vm1") < 2:
            await asyncio.sleep(0.02)
    await set_platform_faults(fleet, outage=True)
    fleet.processes_by_name["vm2"].resume()
    async with asyncio.timeout(17):
        await fleet.wait_version(2)


async def bundle_version(fleet, name):
    status, reply = await call_operator(fleet, name, "GET", "/v1/operator/status")
    assert status == 200
    return reply["bundle"]["version"]


async def test_vm_that_starts_during_an_outage_takes_the_bundle_from_peers(fleet):
    """A VM stores no bundle, so it needs its peers to serve requests."""
    await fleet.roll(demo_bundle(2))
    await fleet.wait_version(2)
    fleet.processes_by_name["vm2"].kill()
    await set_platform_faults(fleet, outage=True)
    process = await fleet.start_daemon("vm2")
    await fleet.wait_status(process, "/readyz")
    assert await bundle_version(fleet, "vm2") == 2


async def test_old_root_in_the_store_never_lowers_the_version(fleet):
    """A store restored from an old copy must not bring an old bundle back."""
    first = fleet.last_signed
    await fleet.roll(demo_bundle(2))
    await fleet.wait_version(2)
    store = KeyValueStore(fleet.http, (fleet.platform,))
    held = (await store.get(BUNDLE_ROOT_KEY)).unwrap()
    old = encode_signed_root(first)
    swapped = await store.swap(BUNDLE_ROOT_KEY, old, held.revision)
    assert swapped.unwrap().done
    await asyncio.sleep(1)
    for name in ("vm1", "vm2"):
        assert await bundle_version(fleet, name) == 2


async def test_vm_without_store_and_peers_stops_taking_requests(fleet):
    """An isolated VM cannot confirm that its bundle is still in force."""
    fleet.processes_by_name["vm2"].kill()
    await set_platform_faults(fleet, outage=True)
    caller = Caller("parish-token")
    assert_complete(
        await caller.draft(callers_address(fleet, "vm1"), PROMPT, 3), PROMPT, 3
    )
    async with asyncio.timeout(25):
        while (
            got := await caller.draft(callers_address(fleet, "vm1"), PROMPT, 3)
        ).status == 200:
            await asyncio.sleep(0.5)
    assert got.problem["verdict"] == "not_run"
    await set_platform_faults(fleet)
    async with asyncio.timeout(25):
        await fleet.wait_status(fleet.processes_by_name["vm1"], "/readyz")


async def test_drafts_continue_during_a_store_outage(fleet):
    """Peers must confirm the bundle to each other without the store."""
    await set_platform_faults(fleet, outage=True)
    caller = Caller("parish-token")
    for _ in range(20):
        assert_complete(
            await caller.draft(callers_address(fleet, "vm1"), PROMPT, 3), PROMPT, 3
        )
        await asyncio.sleep(1)


async def test_second_signal_ends_a_shutdown_at_once(fleet):
    """An operator who cannot wait must be able to end the process."""
    caller = Caller("parish-token")
    task, _ = await start_draft(caller, callers_address(fleet, "vm1"), PROMPT, 600)
    process = fleet.processes_by_name["vm1"]
    process.send(signal.SIGTERM)
    await asyncio.sleep(0.3)
    assert process.process.returncode is None
    process.send(signal.SIGTERM)
    async with asyncio.timeout(5):
        await process.process.wait()
    assert not (await task).is_complete
