import asyncio

import pytest

from heathershunt.http import Address
from standins.caller import Caller
from standins.oracle import expected_tokens

LAYERS = 12
PROMPT = "Describe the crest of the parish in three sentences"


def expected(count):
    return expected_tokens("m", "v1", LAYERS, PROMPT, count)


async def test_draft_is_whole_and_every_layer_ran_once(fleet):
    address = fleet.ports_by_daemon["vm1"].callers
    got = await Caller("parish-token").draft(address, PROMPT, 20)
    assert got.is_whole
    assert got.tokens == expected(20)


async def test_account_cannot_read_the_draft_of_another(fleet):
    address = fleet.ports_by_daemon["vm1"].callers
    got = await Caller("parish-token").draft(address, PROMPT, 4)
    other = await Caller("notary-token").resume(address, got)
    assert other.status == 404


@pytest.mark.parametrize("stage", [0, 1, 2])
@pytest.mark.parametrize("fault", ["kill", "pause"])
async def test_answer_is_whole_after_the_loss_of_a_stage(fleet, stage, fault):
    """A stage that dies or goes silent mid-answer must not cost or double a token."""
    address = fleet.ports_by_daemon["vm1"].callers
    hit = asyncio.Event()

    def strike(transcript):
        if len(transcript.tokens) >= 10 and not hit.is_set():
            hit.set()
            getattr(fleet.processes_by_name[busy_runner], fault)()

    waiting = Caller("parish-token")
    probe = await waiting.draft(address, PROMPT, 2)
    assert probe.is_whole
    busy_runner = await find_busy_runner(fleet, address, stage)
    got = await waiting.draft(address, PROMPT, 60, on_token=strike)
    assert got.is_whole
    assert got.tokens == expected(60)


async def find_busy_runner(fleet, address, stage):
    """Return the runner of a stage that the last draft ran on."""
    for replica in (0, 1):
        name = f"m-s{stage}-r{replica}"
        engine = fleet.processes_by_name[name].info["engines"][0]
        ledger = await fleet.call(
            Address.from_text(engine["address"]), "GET", "/v1/ledger"
        )
        if ledger["runs"]:
            return name
    raise AssertionError("no runner of the stage ran anything")
