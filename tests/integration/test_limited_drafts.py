"""Drafts on engines that name how many runs a second they take."""

import asyncio

import pytest

from standins.bundles import demo_bundle
from standins.caller import Caller
from standins.launch import pipeline_specs
from tests.integration.conftest import LAYERS
from tests.integration.faults import assert_complete

LIMIT_PER_S = 1.0
# The stated rule: in 4 s, one and a half times what the limit allows and 5 more; the
# drafts are sent in less.
MOST_RUNS = 1.5 * 4 * LIMIT_PER_S + 5
DRAFTS = 30


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
        await asyncio.sleep(1.6)
        return deployment.ports_by_daemon["vm1"].callers

    return start_engines


async def send_drafts(address):
    caller = Caller("parish-token")
    answers = []
    for number in range(DRAFTS):
        answers.append(await caller.draft(address, f"sound words {number}", 4))
        await asyncio.sleep(0.05)
    return answers


# Guards against engines that get more runs than the limit that they named.
async def test_drafts_beyond_the_limits_of_all_engines_are_refused(start_engines):
    specs = pipeline_specs("m", "v1", LAYERS, 2, 1, rate_limit=LIMIT_PER_S)
    answers = await send_drafts(await start_engines(specs))
    complete = [answer for answer in answers if answer.is_complete]
    assert 1 <= len(complete) <= MOST_RUNS
    assert {answer.status for answer in answers} == {200, 503}


async def test_drafts_go_to_engines_without_a_limit(start_engines):
    free = pipeline_specs("m", "v1", LAYERS, 2, 2)[::2]
    limited = pipeline_specs("m", "v1", LAYERS, 2, 2, rate_limit=0.0)[1::2]
    answers = await send_drafts(await start_engines(free, limited))
    for number, answer in enumerate(answers):
        assert_complete(answer, f"sound words {number}", 4)
