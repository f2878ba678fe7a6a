"""Drafts whose runners fall silent for a second or so and then go on."""

import asyncio

import pytest

from standins.bundles import demo_bundle
from standins.caller import Caller
from standins.launch import pipeline_specs
from tests.integration.conftest import LAYERS
from tests.integration.faults import (
    answers_cut,
    assert_complete,
    assert_layers_once,
    busy_runner,
    start_draft,
)

PROMPT = "Describe the crest of the parish in three sentences"
COUNT = 150
each_silence = pytest.mark.parametrize("silence_ms", [800, 1600])
# Which stages fall silent; both runners of a stage do where there is another one.
each_part = pytest.mark.parametrize("stages", [(0,), (2,), (0, 1, 2)])


@pytest.fixture
async def lone_fleet(deployment):
    """One daemon and three stages with one runner each: there is no other chain."""
    await deployment.start_platform()
    for spec in pipeline_specs("m", "v1", LAYERS, 3, 1):
        await deployment.start_engines([spec], spec.runner)
    await deployment.publish_vms()
    await deployment.start_daemons(1)
    await deployment.roll(demo_bundle(1))
    await deployment.wait_ready()
    await deployment.wait_runners(3)
    return deployment


def changed_bundle():
    """Return the next bundle, with other timeouts, limits, accounts and keys."""
    raw = demo_bundle(2)
    raw["priorities"][0]["deadline_ms"] = 5_000
    raw["models"][0]["max_tokens"] = 100
    raw["accounts"][0]["requests_per_second"] = 1.0
    raw["accounts"][0]["concurrent"] = 1
    raw["accounts"][0]["token_sha256"] = ["0" * 64]
    return raw


async def fall_silent(deployment, stages, silence_ms):
    """Suspend all runners of the stages for ``silence_ms``."""
    await asyncio.gather(
        *(
            process.fall_silent(silence_ms)
            for name, process in deployment.processes_by_name.items()
            if any(f"-s{stage}-" in name for stage in stages)
        )
    )


# Guards against answers that end because sound runners gave no sign for a second,
# where no other runner holds their layers, beside a bundle that comes into force.
@each_silence
@each_part
async def test_answer_goes_on_after_a_silence_without_another_chain(
    lone_fleet, stages, silence_ms
):
    address = lone_fleet.ports_by_daemon["vm1"].callers
    task, seen = await start_draft(Caller("parish-token"), address, PROMPT, COUNT)
    await asyncio.gather(
        fall_silent(lone_fleet, stages, silence_ms), lone_fleet.roll(changed_bundle())
    )
    assert_complete(await task, PROMPT, COUNT)
    passes = await assert_layers_once(lone_fleet, seen.request_id, COUNT)
    assert {epoch for _, epoch in passes} == {1}
    assert await answers_cut(lone_fleet) == {}


# Guards against requests that are refused because a sound runner gave no sign for a
# second when they came.
@each_silence
@each_part
async def test_request_that_comes_in_a_silence_is_answered(
    lone_fleet, stages, silence_ms
):
    address = lone_fleet.ports_by_daemon["vm1"].callers
    silent = asyncio.create_task(fall_silent(lone_fleet, stages, silence_ms))
    await asyncio.sleep(0.05)
    got = await Caller("parish-token").draft(address, PROMPT, 20)
    assert_complete(got, PROMPT, 20)
    await silent
    await assert_layers_once(lone_fleet, got.request_id, 20)


# Guards against prompts that are taken for the cause of a crash, and refused, because
# the runners that ran them fell silent before their first token.
async def test_prompt_is_not_blocked_after_two_silences(lone_fleet):
    address = lone_fleet.ports_by_daemon["vm1"].callers
    prompt = " ".join([PROMPT] * 300)
    task = asyncio.create_task(Caller("parish-token").draft(address, prompt, 5))
    for _ in range(3):
        await asyncio.sleep(0.1)
        await fall_silent(lone_fleet, (0, 1, 2), 1600)
    assert_complete(await task, prompt, 5)
    assert_complete(await Caller("parish-token").draft(address, prompt, 5), prompt, 5)


# Guards against answers that end where another chain takes over from a silent runner.
@each_part
async def test_answer_goes_on_at_another_chain_in_a_silence(fleet, stages):
    address = fleet.ports_by_daemon["vm1"].callers
    task, seen = await start_draft(Caller("parish-token"), address, PROMPT, COUNT)
    names = [await busy_runner(fleet, seen.request_id, stage) for stage in stages]
    await asyncio.gather(
        *(fleet.processes_by_name[name].fall_silent(1200) for name in names),
        fleet.roll(changed_bundle()),
    )
    assert_complete(await task, PROMPT, COUNT)
    await assert_layers_once(fleet, seen.request_id, COUNT)
    assert await answers_cut(fleet) == {}


# Guards against relayed answers that end because the VM of the draft gave no sign
# for a second, in the middle of the answer or as it was asked for the rest.
@each_silence
async def test_relayed_answer_goes_on_after_a_silence_of_its_vm(fleet, silence_ms):
    first = fleet.ports_by_daemon["vm1"].callers
    other = fleet.ports_by_daemon["vm2"].callers
    caller = Caller("parish-token")
    task, seen = await start_draft(caller, first, PROMPT, COUNT)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    silent = asyncio.create_task(fleet.processes_by_name["vm1"].fall_silent(silence_ms))
    await asyncio.sleep(0.05)
    assert_complete(await caller.resume(other, seen), PROMPT, COUNT)
    await silent
    assert await answers_cut(fleet, "vm2") == {}
