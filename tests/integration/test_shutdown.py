import asyncio

from standins.caller import Caller
from tests.integration.faults import assert_complete, start_draft

PROMPT = "Write the roast schedule for the cobnuts of this week"


async def test_graceful_shutdown_cuts_no_draft(fleet):
    """On SIGTERM a daemon must complete running answers and refuse new drafts."""
    address = fleet.ports_by_daemon["vm1"].callers
    callers = [Caller("parish-token") for _ in range(5)]
    started = [await start_draft(c, address, PROMPT, 300) for c in callers]
    ending = asyncio.create_task(fleet.processes_by_name["vm1"].terminate())
    late = await Caller("parish-token").draft(address, PROMPT, 5)
    while late.status == 200:
        late = await Caller("parish-token").draft(address, PROMPT, 5)
    assert late.status == 503
    assert late.problem["verdict"] == "not_run"
    for task, _ in started:
        assert_complete(await task, PROMPT, 300)
    assert await ending == 0


async def test_caller_that_loses_its_connection_during_a_shutdown_can_resume(fleet):
    """A resumable answer that was not delivered yet counts as in flight."""
    address = fleet.ports_by_daemon["vm1"].callers
    caller = Caller("parish-token")
    task, seen = await start_draft(caller, address, PROMPT, 200)
    ending = asyncio.create_task(fleet.processes_by_name["vm1"].terminate())
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await asyncio.sleep(2)
    assert_complete(await caller.resume(address, seen), PROMPT, 200)
    assert await ending == 0
