"""How VMs learn of parts that crash runners, and what that does to streams."""

import asyncio

from heathershunt.clock import Millis
from heathershunt.coordination import Entry
from heathershunt.crashes import (
    CrashDigest,
    CrashEvidence,
    Evidence,
    PartJudge,
    PartKey,
    RunnerCrash,
)
from heathershunt.crashes.keeper import entry_key
from tests.gateway.test_crashing_requests import DEADLY, SHARED, add_first_runners, send

# Time within which all VMs in touch must know, far below ``contact_ms`` of any site.
KNOWN_WITHIN_S = 1.5


def knows(site, vm, part=DEADLY):
    return site.gateways[vm].guard.is_blocked(part)


async def crash_two_runners(site, **changes):
    """Send two deadly requests, each after a sound one with the same first part."""
    await send(site, SHARED)
    for _ in range(2):
        await send(site, SHARED, DEADLY, **changes)
        await send(site, SHARED)
    await site.until(lambda: knows(site, "vm-1"))


async def test_other_vm_knows_without_the_store(site):
    await site.add_gateway("vm-2", revoke_ms=60_000)
    first = site.gateways["vm-1"]
    await site.until(lambda: len(first.state.members) == 2)
    await add_first_runners(site)
    site.store.is_down = True
    await crash_two_runners(site)
    await site.until(lambda: knows(site, "vm-2"), KNOWN_WITHIN_S)
    assert not knows(site, "vm-2", SHARED)


# Guards against a new series of crashes after all VMs were restarted.
async def test_vm_that_starts_knows_from_the_store(site):
    await add_first_runners(site)
    await crash_two_runners(site)
    await site.until(lambda: site.store.keys("crashes/"))
    site.gateways.pop("vm-1").stop_now()
    await site.add_gateway("vm-1")
    await site.until(lambda: knows(site, "vm-1"), KNOWN_WITHIN_S)
    assert (await send(site, SHARED, DEADLY))[0] == 503


async def test_entry_in_the_store_goes_when_the_part_is_trusted(site):
    await add_first_runners(site)
    await crash_two_runners(site)
    await site.until(lambda: site.store.keys("crashes/"))
    site.gateways["vm-1"].guard.record_writing([DEADLY])
    await site.until(lambda: site.store.value(entry_key(DEADLY)) is None)
    assert not knows(site, "vm-1")


async def test_block_is_written_once_the_store_is_back(site):
    await add_first_runners(site)
    site.store.is_down = True
    await crash_two_runners(site)
    await asyncio.sleep(0.5)
    site.store.is_down = False
    await site.until(lambda: site.store.keys("crashes/"))


# Guards against a new series of crashes after all VMs are restarted later.
async def test_block_is_written_again_after_the_store_was_restored(site):
    copy = site.store.copy()
    await add_first_runners(site)
    await crash_two_runners(site)
    await site.until(lambda: site.store.keys("crashes/"))
    site.store.restore(copy)
    assert not site.store.keys("crashes/")
    await site.until(lambda: site.store.keys("crashes/"))


def test_malformed_entry_is_skipped(site):
    state = site.gateways["vm-1"].state
    for value in (b"", b"\xff", b"[]", b'{"written_at": 1, "rows": [["a"]]}'):
        state._on_entry("crashes/x", Entry("crashes/x", value, 1))
    assert not site.gateways["vm-1"].guard.is_blocked("a")


# Guards against a run that reaches its first token although its part is known by then.
async def test_run_that_waits_for_its_head_is_cancelled_by_a_block(site):
    await add_first_runners(site)
    guard = site.gateways["vm-1"].guard
    for target in site.targets.values():
        target.read_ms = 600
    waiting = asyncio.create_task(send(site, SHARED, DEADLY))
    await site.until(site.runs)
    digest = block_elsewhere()
    guard.merge(digest)
    status, _, _ = await asyncio.wait_for(waiting, 0.3)
    assert status == 502
    await asyncio.sleep(0.7)
    assert not any(target.is_unresponsive for target in site.targets.values())


def block_elsewhere():
    """Return what another VM tells that has seen the part crash two runners."""
    judge = PartJudge()
    for number, at in enumerate((1000, 2000)):
        key, crash = PartKey("owner", DEADLY), RunnerCrash(f"r{number}", 1)
        item = CrashEvidence(key, crash, Millis(at - 50), Millis(at), Evidence.BEGUN)
        judge.add(item, Millis(at))
    return CrashDigest.from_judge(judge, Millis(2100))


async def test_request_that_waits_for_a_chain_is_refused_at_once(site):
    for target in site.targets.values():
        target.is_draining = True
        target.register()
    guard = site.gateways["vm-1"].guard
    guard.merge(block_elsewhere())
    status, headers, _ = await asyncio.wait_for(send(site, DEADLY), 0.3)
    assert status == 503
    assert 0 < float(headers["retry-after"]) <= 60


# Guards against one stream without any shared part that ends runner after runner.
async def test_stream_that_ended_two_runners_is_not_sent_again(site):
    await add_first_runners(site)
    for target in site.targets.values():
        target.deadly_part = "own"
    response = await site.open_stream(events=5, heathershunt_prompt_prefix="own:40")
    assert response.status == 502
    assert len(site.runs()) == 2


# Guards against a request that crashes a second runner before anyone can know its part.
async def test_run_with_an_unknown_part_is_not_sent_again_after_its_crash(site):
    await add_first_runners(site)
    await send(site, SHARED)
    status, _, _ = await send(site, SHARED, DEADLY)
    assert status == 502
    assert sum(target.is_unresponsive for target in site.targets.values()) == 1


def crash_only_once(site, part):
    """Make the first runner that begins to write on a part crash, and no other one."""

    def patch(target):
        crash = target._crash

        async def crash_once(sink):
            for other in site.targets.values():
                other.deadly_part = None
            await crash(sink)

        target._crash = crash_once
        target.deadly_part = part

    for target in site.targets.values():
        patch(target)


async def test_run_whose_shared_parts_are_known_is_sent_again_after_a_crash(site):
    await add_first_runners(site)
    await send(site, SHARED)
    crash_only_once(site, "own")
    response = await site.open_stream(
        events=5, heathershunt_prompt_prefix=f"{SHARED}:40,own:40"
    )
    assert (response.status, (await response.read()).count(b"data: ")) == (200, 5)
    assert len(site.runs()) == 3
