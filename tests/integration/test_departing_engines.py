"""Drafts on engines that leave or ask for a pause in their answers to runs."""

import asyncio
import time

import pytest

from heathershunt.http import Address, HttpClient
from standins.bundles import demo_bundle
from standins.caller import Caller
from standins.launch import pipeline_specs
from tests.integration.conftest import LAYERS
from tests.integration.faults import assert_complete

DRAFTS = 20
# Stated target: a request that can't be served is refused at once.
AT_ONCE_S = 0.25


@pytest.fixture
async def start_engines(deployment):
    """Return a coroutine function that starts one daemon and some engines."""

    async def start_engines(*groups):
        await deployment.start_platform()
        for number, specs in enumerate(groups):
            await deployment.start_engines(specs, f"group{number}")
        await deployment.publish_vms()
        await deployment.start_daemons(1)
        await deployment.roll(demo_bundle(1))
        await deployment.wait_ready()
        await deployment.wait_runners(sum(len(specs) for specs in groups))
        return deployment.ports_by_daemon["vm1"].callers

    return start_engines


async def send_drafts(address):
    """Send drafts one after the other; return the answers and the times they took."""
    caller = Caller("parish-token")
    results = []
    for number in range(DRAFTS):
        started = time.monotonic()
        answer = await caller.draft(address, f"sound words {number}", 4)
        results.append((answer, time.monotonic() - started))
        await asyncio.sleep(0.05)
    return results


async def runs_asked(deployment, specs):
    """Return the runs that were opened or refused, by runner."""
    client = HttpClient()
    wanted = {spec.runner for spec in specs}
    counts = {}
    for vm in deployment.vms:
        address = Address.from_text(vm["address"])
        outcome = await client.request_json(address, "GET", "/v1/status")
        status = outcome.ok_value[1] if outcome.is_ok() else {}
        if status.get("runner") in wanted:
            counts[status["runner"]] = status["runs_asked"]
    client.close()
    return counts


# Guards against runs at engines that leave or pause while others are free.
@pytest.mark.parametrize("word", [{"says_leaving": True}, {"pause_s": 20.0}])
async def test_drafts_go_to_engines_that_take_runs(deployment, start_engines, word):
    free = pipeline_specs("m", "v1", LAYERS, 2, 2)[::2]
    away = pipeline_specs("m", "v1", LAYERS, 2, 2, **word)[1::2]
    results = await send_drafts(await start_engines(free, away))
    for number, (answer, _) in enumerate(results):
        assert_complete(answer, f"sound words {number}", 4)
    asked = await runs_asked(deployment, away)
    assert len(asked) == len(away)
    assert all(count <= 1 for count in asked.values())


# Guards against drafts that wait, and engines that are asked again and again.
async def test_drafts_are_refused_at_once_if_all_engines_pause(
    deployment, start_engines
):
    specs = pipeline_specs("m", "v1", LAYERS, 2, 1, pause_s=20.0)
    results = await send_drafts(await start_engines(specs))
    assert {answer.status for answer, _ in results} == {503}
    told_ms = [answer.problem["retry_after_ms"] for answer, _ in results[4:]]
    assert min(told_ms) >= 15_000
    assert all(took < AT_ONCE_S for _, took in results[1:])
    asked = await runs_asked(deployment, specs)
    assert sum(asked.values()) <= 4
