"""Silent runs and calls whose targets end: each end is reported once, silence never."""

import asyncio

import pytest

from heathershunt.http import Response
from heathershunt.logs.request_events import CallBroken
from heathershunt.logs.run_events import RunCrashed, RunHeld
from tests.gateway.test_crashing_requests import SHARED, send
from tests.gateway.test_repeated_silences import other_head

BODY = b"deadly"
# The call is tried at a second target after half of this.
DEADLINE_MS = "1500"
END_S = 0.9


@pytest.fixture
def events(site):
    """Return the list of the events of the gateway."""
    events = []
    site.gateways["vm-1"].relay_context.events.add_observer(events.append)
    return events


@pytest.fixture
def desks(site):
    """Return the targets of the plain service; the first one to run a call ends late.

    The second one answers.
    """
    desks = [site.targets["desk-a"], site.targets["desk-b"]]
    for desk in desks:
        desk.deadly_body = BODY
        desk._crash_at_call = lambda desk=desk: end_late(desk, desks)
    return desks


async def end_late(desk, desks):
    for other in desks:
        other.deadly_body = None
    await asyncio.sleep(END_S)
    await desk.stop()
    await asyncio.sleep(3600)


def of_kind(events, kind):
    return [event for event in events if isinstance(event, kind)]


def has_evidence(site):
    return site.gateways["vm-1"].guard.has_evidence


async def call(site):
    return await site.call(
        "POST", "/status/7", BODY, heathershunt_deadline_ms=DEADLINE_MS
    )


# Guards against ends of silent targets that nobody reports, or two tasks do.
async def test_end_of_the_target_of_a_held_call_is_reported_once(site, events, desks):
    for desk in desks:
        desk.answer = lambda request: Response(503, {"heathershunt-not-executed": "1"})
    status, _, _ = await call(site)
    assert status != 200
    assert [event.ending for event in of_kind(events, CallBroken)] == ["crashed"]
    assert has_evidence(site)


# Guards against a sound call that is blamed as another target has answered it.
async def test_answer_of_a_successor_clears_a_held_call(site, events, desks):
    status, _, _ = await call(site)
    assert status == 200
    assert not has_evidence(site)


# Guards against a reply to another request that is taken for the end of a target.
async def test_reply_to_another_request_is_no_evidence(site, events):
    headers = {"heathershunt-request-id": "other"}
    for name in ("desk-a", "desk-b"):
        site.targets[name].answer = lambda request: Response(200, headers)
    assert (await site.call("POST", "/orders/7", BODY))[0] == 502
    assert [event.ending for event in of_kind(events, CallBroken)] == ["runs"]
    assert not has_evidence(site)


# Guards against the same for streams, whose silent run is kept in a task of its own.
async def test_end_of_the_runner_of_a_held_run_is_reported_once(site, events):
    for target in site.targets.values():
        target.read_ms = 400
    sending = asyncio.create_task(send(site, SHARED))
    await site.until(site.runs)
    head = site.targets[site.runs()[0].runner]
    other_head(site).read_ms = 1500
    head.fall_silent(3)
    await site.until(lambda: of_kind(events, RunHeld))
    assert not of_kind(events, RunCrashed)
    await head.stop()
    assert (await sending)[0] == 200
    assert [event.target for event in of_kind(events, RunCrashed)] == [head.id]


# Guards against prompts that are blamed for runners which were all silent for a while.
async def test_silence_of_all_runners_is_no_evidence(site, events):
    runners = [target for target in site.targets.values() if target.kind]
    for target in runners:
        target.read_ms = 400
    sending = asyncio.create_task(send(site, SHARED))
    await site.until(site.runs)
    for target in runners:
        target.fall_silent(1.5)
    assert (await sending)[0] == 200
    assert not of_kind(events, RunCrashed)
