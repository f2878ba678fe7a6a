"""Drafts whose prompts crash the engine that emits their first token."""

import pytest

from heathershunt.runners.prefixes import WORDS_PER_BLOCK
from standins.bundles import demo_bundle
from standins.caller import Caller
from standins.launch import pipeline_specs
from tests.integration.conftest import LAYERS
from tests.integration.faults import assert_complete

SHARED = " ".join(f"shared{number}" for number in range(WORDS_PER_BLOCK))
DEADLY = " ".join(["poison", *(f"w{number}" for number in range(WORDS_PER_BLOCK - 1))])
REPLICAS = 8


@pytest.fixture
async def crashing_fleet(deployment):
    """One daemon, and engines that crash at one word."""
    await deployment.start_platform()
    specs = pipeline_specs("m", "v1", LAYERS, 2, REPLICAS, deadly_word="poison")
    first = [spec for spec in specs if spec.first_layer == 0]
    await deployment.start_engines(first, "first")
    for spec in specs:
        if spec.first_layer:
            await deployment.start_engines([spec], spec.runner)
    await deployment.publish_vms()
    await deployment.start_daemons(1)
    await deployment.roll(demo_bundle(1))
    await deployment.wait_ready()
    await deployment.wait_runners(2 * REPLICAS)
    return deployment


def crashes(deployment):
    processes = deployment.processes_by_name.values()
    return sum(process.process.returncode is not None for process in processes)


# Guards against drafts with one prefix that crash back ends one after the other.
async def test_drafts_with_a_prefix_that_crashes_engines_stop_reaching_them(
    crashing_fleet,
):
    address = crashing_fleet.ports_by_daemon["vm1"].callers
    caller = Caller("parish-token")
    sound = f"{SHARED} sound words"
    assert_complete(await caller.draft(address, sound, 4), sound, 4)
    refused = [
        await caller.draft(address, f"{SHARED} {DEADLY} own{number}", 4)
        for number in range(6)
    ]
    assert crashes(crashing_fleet) <= 5
    assert not any(answer.is_complete for answer in refused)
    assert refused[-1].status == 503
    assert_complete(await caller.draft(address, sound, 4), sound, 4)
