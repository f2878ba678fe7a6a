import asyncio

from standins.caller import Caller
from tests.integration.faults import assert_whole, start_draft

PROMPT = "Write the roast schedule for the cobnuts of this week"


async def test_graceful_shutdown_cuts_no_draft(fleet):
    """SIGTERM must let every running answer finish and refuse new work."""
    entry = fleet.ports_by_daemon["vm1"].callers
    callers = [Caller("parish-token") for _ in range(5)]
    begun = [await start_draft(c, entry, PROMPT, 300) for c in callers]
    ending = asyncio.create_task(fleet.processes_by_name["vm1"].terminate())
    late = await Caller("parish-token").draft(entry, PROMPT, 5)
    while late.status == 200:
        late = await Caller("parish-token").draft(entry, PROMPT, 5)
    assert late.status == 503
    assert late.problem["verdict"] == "not_run"
    for task, _ in begun:
        assert_whole(await task, PROMPT, 300)
    assert await ending == 0


async def test_caller_cut_off_during_a_shutdown_still_gets_its_answer(fleet):
    """A resumable answer that was not delivered yet counts as in flight."""
    entry = fleet.ports_by_daemon["vm1"].callers
    caller = Caller("parish-token")
    task, seen = await start_draft(caller, entry, PROMPT, 200)
    ending = asyncio.create_task(fleet.processes_by_name["vm1"].terminate())
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await asyncio.sleep(2)
    assert_whole(await caller.resume(entry, seen), PROMPT, 200)
    assert await ending == 0
