"""What the log says of plain calls that a target broke off."""

import pytest

from heathershunt.http import AnswerError, CutCause
from heathershunt.logs.request_events import CallBroken
from tests.gateway.test_calls import answer_all


@pytest.fixture
def broken(site):
    """Return the list of the calls that were broken off, as the log has them."""
    events = []

    def observe(event):
        if isinstance(event, CallBroken):
            events.append(event)

    site.gateways["vm-1"].relay_context.events.add_observer(observe)
    return events


def reset(request):
    raise AnswerError(CutCause.STREAM_FAILED, "the reply is lost")


def end(site):
    for name in ("desk-a", "desk-b"):
        site.targets[name].deadly_body = b"deadly"


# Guards against reports that cannot tell a target that ended from a lost answer.
async def test_log_tells_a_target_that_ended_from_one_that_runs(site, broken):
    answer_all(site, reset)
    await site.call("POST", "/orders/7", b"deadly")
    end(site)
    await site.call("POST", "/orders/7", b"deadly")
    await site.call("POST", "/orders/8", b"deadly")
    assert [event.ending for event in broken] == ["runs", "crashed", "crashed"]
    keys = [event.key for event in broken]
    assert keys[0] == keys[1] != keys[2]


async def test_log_tells_a_target_that_was_leaving_from_one_that_crashed(site, broken):
    target = site.targets["desk-a"]
    site.targets["desk-b"].is_draining = True
    site.targets["desk-b"].register()
    registry = site.gateways["vm-1"].state.registry
    await site.until(lambda: len(registry.of_service("desk")) == 1)
    target.deadly_body = b"deadly"
    target.leaves_first = True
    await site.call("POST", "/orders/7", b"deadly")
    assert [event.ending for event in broken] == ["left"]
