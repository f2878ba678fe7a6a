"""Helpers of the tests that inject faults while a draft runs."""

import asyncio
import re

from heathershunt.http import Address
from standins.oracle import expected_tokens

LAYERS = 12


def engine_address(deployment, runner):
    """Return the HTTP address of a runner that has a process of its own."""
    engine = deployment.processes_by_name[runner].info["engines"][0]
    return Address.from_text(engine["address"])


async def start_draft(caller, address, prompt, count, **options):
    """Start a draft and wait for ten tokens; return its task and its transcript."""
    has_ten_tokens = asyncio.Event()
    seen = []

    def on_token(transcript):
        if len(transcript.tokens) >= 10:
            seen[:] = [transcript]
            has_ten_tokens.set()

    task = asyncio.create_task(
        caller.draft(address, prompt, count, on_token=on_token, **options)
    )
    waiting = asyncio.create_task(has_ten_tokens.wait())
    await asyncio.wait({waiting, task}, return_when="FIRST_COMPLETED")
    assert has_ten_tokens.is_set(), f"the draft ended early: {await task}"
    return task, seen[0]


async def busy_runner(deployment, request_id, stage):
    """Return the runner that runs ``stage`` of a draft."""
    for name in deployment.processes_by_name:
        if f"-s{stage}-" not in name:
            continue
        outcome = await deployment.http.request_json(
            engine_address(deployment, name), "GET", f"/v1/runs/{request_id}"
        )
        if outcome.unwrap()[0] == 200:
            return name
    raise AssertionError(f"no runner of stage {stage} runs {request_id}")


def assert_complete(got, prompt, count, version="v1"):
    """Check an answer against the oracle, which runs every layer once, in order."""
    assert got.is_complete, got
    assert got.tokens == expected_tokens("m", version, LAYERS, prompt, count)


async def answers_cut(deployment, vm="vm1"):
    """Return how many answers a daemon reports as cut, by the cause."""
    address = deployment.ports_by_daemon[vm].callers
    outcome = await deployment.http.exchange(address, "GET", "/metrics")
    text = outcome.unwrap()[1].decode()
    found = re.findall(r"answers_cut_total\{.*cause=\"(\w+)\".*\} (\d+)", text)
    return {cause: int(count) for cause, count in found}


async def assert_layers_once(deployment, request_id, count):
    """Check in the engines' ledgers that no stage ran a position twice in an epoch.

    Returns the layer ranges that ran, by position and epoch.
    """
    passes = {}
    for name, process in deployment.processes_by_name.items():
        if "engines" not in process.info or process.process.returncode is not None:
            continue
        ledger = await deployment.call(
            engine_address(deployment, name), "GET", "/v1/ledger"
        )
        for entry in ledger["runs"]:
            if entry["run"] == request_id:
                key = (entry["position"], entry["epoch"])
                passes.setdefault(key, []).append(tuple(entry["layers"]))
    for key, ranges in passes.items():
        assert len(ranges) == len(set(ranges)), f"a stage ran {key} twice"
    return passes
