import asyncio
import json
import signal

import pytest

from standins.bundles import demo_bundle
from standins.caller import Caller
from standins.launch import Deployment, pipeline_specs
from tests.integration.conftest import LAYERS
from tests.integration.faults import answers_cut, assert_complete, start_draft

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


class ShortDrain(Deployment):
    """Deployment whose daemons shut down within half a second."""

    def daemon_settings(self, name, index):
        text = super().daemon_settings(name, index)
        return text.replace("[drafts]", "[drafts]\ndrain_limit_ms = 500")


@pytest.fixture
async def short_drain():
    deployment = ShortDrain()
    await deployment.start_platform()
    specs = pipeline_specs("m", "v1", LAYERS, 1, 1, step_ms=50.0)
    await deployment.start_engines(specs)
    await deployment.start_service("orders")
    await deployment.publish_vms()
    await deployment.start_daemons(1)
    await deployment.roll(demo_bundle(1))
    await deployment.wait_ready()
    await deployment.wait_runners(1)
    yield deployment
    await deployment.stop()


# Guards against requests that a shutdown cuts without an answer, at its limit of time
# or at a second signal.
@pytest.mark.parametrize("signals", [1, 2])
async def test_request_that_a_shutdown_ends_is_refused(short_drain, signals):
    process = short_drain.processes_by_name["vm1"]
    drafting, _ = await start_draft(
        Caller("parish-token"), process.address, PROMPT, 600
    )
    waiting = asyncio.create_task(
        Caller("parish-token").draft(process.address, PROMPT, 600, stream=False)
    )
    calling = asyncio.create_task(
        Caller("parish-token").call(
            process.address,
            "POST",
            "/v1/services/orders/orders",
            b"die",
            **{"x-delay-ms": "4000"},
        )
    )
    await asyncio.sleep(0.3)
    assert await answers_cut(short_drain) == {}
    for _ in range(signals):
        process.send(signal.SIGTERM)
        await asyncio.sleep(0.05)
    streamed, whole = await drafting, await waiting
    assert streamed.problem["verdict"] == "may_have_run"
    assert (whole.status, whole.problem["verdict"]) == (503, "may_have_run")
    status, _, answer = await calling
    assert (status, json.loads(answer)["verdict"]) == (503, "may_have_run")
    assert await process.process.wait() == 0
    assert "cause=stopped" not in process.log_text()
