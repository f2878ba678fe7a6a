"""Ends of runs and calls that say nothing about the request."""

import asyncio

import pytest

from heathershunt.availability import Notice
from heathershunt.logs.request_events import CallBroken
from heathershunt.logs.run_events import RunCrashed
from tests.gateway.test_crashing_requests import send

PART = "5c1e07a2"


@pytest.fixture
def context(site):
    return site.gateways["vm-1"].relay_context


@pytest.fixture
def events(context):
    """Return the list of the events of the gateway."""
    events = []
    context.events.add_observer(events.append)
    return events


def of_kind(events, kind):
    return [event for event in events if isinstance(event, kind)]


def say_leaving(context, target):
    """Record that an answer to another request said that a target leaves."""
    listed = context.registry.get(target.id)
    context.availability.record(listed, Notice(is_leaving=True))


# Guards against calls that are blocked by planned ends which only answers announced.
async def test_target_that_said_it_leaves_is_no_evidence_on_calls(
    site, context, events
):
    desks = [site.targets[name] for name in ("desk-a", "desk-b")]
    for desk in desks:
        desk.deadly_body = b"deadly"
        desk.leaves_first = True
        # The list does not say that the target leaves.
        desk.register = lambda desk=desk: say_leaving(context, desk)
    await site.call("POST", "/orders/7", b"deadly")
    assert [event.ending for event in of_kind(events, CallBroken)] == ["left"]
    assert not context.guard.has_evidence


async def begin(site):
    """Begin a stream that ends its first runner; return its task and the runner."""
    for target in site.targets.values():
        target.deadly_part = PART
        target.read_ms = 300
    sending = asyncio.create_task(send(site, PART))
    await site.until(site.runs)
    return sending, site.targets[site.runs()[0].runner]


def crashes_of(events, target):
    return [item for item in of_kind(events, RunCrashed) if item.target == target.id]


# Guards against tests that pass as nothing counts: an end without notice is a crash.
async def test_runner_that_ended_unannounced_is_evidence_on_streams(site, events):
    sending, head = await begin(site)
    await sending
    assert crashes_of(events, head)


# Guards against streams that are refused as runners ended that were being released.
async def test_runner_that_was_leaving_is_no_evidence_on_streams(site, context, events):
    sending, head = await begin(site)
    head.is_draining = True
    head.register()
    await site.until(lambda: context.registry.get(head.id).is_draining)
    await sending
    assert head.is_unresponsive
    assert not crashes_of(events, head)


# Guards against the same of runners that say it in their answers only.
async def test_runner_that_said_it_leaves_is_no_evidence_on_streams(
    site, context, events
):
    sending, head = await begin(site)
    say_leaving(context, head)
    await sending
    assert head.is_unresponsive
    assert not crashes_of(events, head)


# Guards against prompts that are blamed for runners which are silent, not ended.
async def test_silent_runner_that_broke_a_stream_off_is_no_evidence(
    site, events, monkeypatch
):
    sending, head = await begin(site)

    async def break_off(sink):
        """Lose the connection of the stream, and answer nobody for a while."""
        head.fall_silent(1.0)
        raise ConnectionError("the connection is lost")

    monkeypatch.setattr(head, "_crash", break_off)
    await sending
    assert not crashes_of(events, head)
