import asyncio

import pytest

from heathershunt.timeline import EventKind, event_from_mapping
from standins.bundles import demo_bundle
from standins.caller import Caller
from standins.launch import pipeline_specs
from tests.integration.faults import (
    answers_cut,
    assert_complete,
    assert_layers_once,
    busy_runner,
    engine_address,
    start_draft,
)

PROMPT = "Describe the crest of the parish in three sentences"
COUNT = 150


@pytest.fixture
def caller():
    return Caller("parish-token")


@pytest.fixture
def address(fleet):
    return fleet.ports_by_daemon["vm1"].callers


async def test_draft_is_complete_and_every_layer_ran_once(fleet, address, caller):
    got = await caller.draft(address, PROMPT, 20)
    assert_complete(got, PROMPT, 20)
    passes = await assert_layers_once(fleet, got.request_id, 20)
    assert {key: sorted(ranges) for key, ranges in passes.items()} == {
        (position, 1): [(0, 4), (4, 8), (8, 12)] for position in range(20)
    }


async def test_account_cannot_read_the_draft_of_another(address, caller):
    got = await caller.draft(address, PROMPT, 4)
    other = await Caller("notary-token").resume(address, got)
    assert other.status == 404


@pytest.mark.parametrize("stage", [0, 1, 2])
@pytest.mark.parametrize("fault", ["kill", "pause"])
async def test_answer_is_complete_after_the_loss_of_a_stage(
    fleet, address, caller, stage, fault
):
    """The loss or stall of a stage must neither lose nor repeat a token."""
    task, seen = await start_draft(caller, address, PROMPT, COUNT)
    runner = await busy_runner(fleet, seen.request_id, stage)
    getattr(fleet.processes_by_name[runner], fault)()
    got = await task
    assert_complete(got, PROMPT, COUNT)


@pytest.mark.parametrize("stage", [0, 1, 2])
async def test_stage_that_resumes_after_its_replacement_adds_nothing(
    fleet, address, caller, stage
):
    """A stage that was suspended past its replacement emits output of the old epoch."""
    task, seen = await start_draft(caller, address, PROMPT, 300)
    runner = await busy_runner(fleet, seen.request_id, stage)
    fleet.processes_by_name[runner].pause()
    tokens_before = len(seen.tokens)
    while len(seen.tokens) < tokens_before + 20:
        await asyncio.sleep(0.01)
    fleet.processes_by_name[runner].resume()
    got = await task
    assert_complete(got, PROMPT, 300)
    await assert_layers_once(fleet, got.request_id, 300)


async def test_answer_is_complete_after_the_loss_of_two_stages_in_a_row(
    fleet, address, caller
):
    """A second loss during the recovery of the first must be recovered as well."""
    task, seen = await start_draft(caller, address, PROMPT, 300)
    for stage in (1, 2):
        runner = await busy_runner(fleet, seen.request_id, stage)
        fleet.processes_by_name[runner].kill()
        await asyncio.sleep(0.05)
    assert_complete(await task, PROMPT, 300)


async def test_chain_is_rebuilt_from_runners_with_other_layer_ranges(
    fleet, address, caller
):
    """A replacement with other layer ranges must also start at the next token."""
    for spec in pipeline_specs("m", "v1", 12, 2, 1):
        name = f"two-{spec.runner}"
        await fleet.start_engines([type(spec)(**{**vars(spec), "runner": name})], name)
    await fleet.publish_vms()
    await fleet.wait_runners(8)
    task, seen = await start_draft(caller, address, PROMPT, 300)
    for replica in (0, 1):
        fleet.processes_by_name[f"m-s1-r{replica}"].kill()
        fleet.processes_by_name[f"m-s2-r{replica}"].kill()
    assert_complete(await task, PROMPT, 300)
    assert seen.request_id


async def test_roll_of_a_model_version_does_not_mix_versions_in_an_answer(
    fleet, address, caller
):
    """An answer that started with one version must not continue with another."""
    for spec in pipeline_specs("m", "v2", 12, 3, 1):
        name = f"new-{spec.runner}"
        await fleet.start_engines([type(spec)(**{**vars(spec), "runner": name})], name)
    await fleet.publish_vms()
    await fleet.wait_runners(9)
    task, seen = await start_draft(caller, address, PROMPT, 300)
    await fleet.roll(demo_bundle(2, model_version="v2"))
    runner = await busy_runner(fleet, seen.request_id, 1)
    fleet.processes_by_name[runner].kill()
    assert_complete(await task, PROMPT, 300)
    await fleet.wait_version(2)
    assert_complete(await caller.draft(address, PROMPT, 5), PROMPT, 5, "v2")


async def test_caller_that_lost_its_connection_gets_the_complete_answer(
    address, caller
):
    """The loss of the caller's connection must neither lose nor repeat a token."""
    task, seen = await start_draft(caller, address, PROMPT, 300)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    got = await caller.resume(address, seen)
    assert_complete(got, PROMPT, 300)


async def test_connection_that_closes_before_the_answer_ends_is_logged_and_counted(
    fleet, address, caller
):
    """Without a line for each, a lost answer leaves no trace in the process."""
    task, _ = await start_draft(caller, address, PROMPT, 300)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    async with asyncio.timeout(5):
        while await answers_cut(fleet) != {"caller_closed": 1}:
            await asyncio.sleep(0.05)
    lines = fleet.processes_by_name["vm1"].log_text().splitlines()
    assert sum("cause=caller_closed begun=True" in line for line in lines) == 1


async def test_no_runner_for_a_stage_is_answered_at_once_as_not_run(
    fleet, address, caller
):
    """A draft that fails before any stage starts must get the verdict not_run."""
    for replica in (0, 1):
        fleet.processes_by_name[f"m-s1-r{replica}"].kill()
    got = await caller.draft(address, PROMPT, 5)
    while got.problem is None:
        got = await caller.draft(address, PROMPT, 5)
    assert got.problem["verdict"] == "not_run"
    ledger = await fleet.call(engine_address(fleet, "m-s0-r0"), "GET", "/v1/ledger")
    assert not any(entry["run"] == got.request_id for entry in ledger["runs"])


async def test_timeline_explains_a_recovery(fleet, address, caller):
    """Operators must see the suspected runner and the duration of the recovery."""
    task, seen = await start_draft(caller, address, PROMPT, COUNT)
    runner = await busy_runner(fleet, seen.request_id, 1)
    fleet.processes_by_name[runner].kill()
    assert_complete(await task, PROMPT, COUNT)
    outcome = await fleet.http.request_json(
        fleet.ports_by_daemon["vm1"].operators,
        "GET",
        f"/v1/operator/timeline?request={seen.request_id}",
        headers={"authorization": f"Bearer {fleet.operator_key}"},
    )
    events = [event_from_mapping(raw) for raw in outcome.unwrap()[1]["events"]]
    fields_by_kind = {event.kind: event.fields for event in events}
    assert runner in fields_by_kind[EventKind.EPOCH_FAILED]["suspects"]
    assert fields_by_kind[EventKind.EPOCH_RECOVERED]["recovery_ms"] >= 0
    assert fields_by_kind[EventKind.VERDICT]["verdict"] == "ran"
