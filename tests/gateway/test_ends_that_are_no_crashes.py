"""Ends of runs and calls that say nothing about the request."""

import pytest

from heathershunt.availability import Notice
from heathershunt.logs.request_events import CallBroken


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
