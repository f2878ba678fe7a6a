"""Retries in a fleet of 9 VMs, of which a VM gets more from the first one."""

import time

import pytest

from heathershunt.relay.timeouts import CAPACITY_WAIT_FRACTION, MIN_ABANDON_MS

# The budget of the VM itself is no whole retry.
SLACK = 2
COORDINATOR_SLACK = 50
FLEET = 9
# Streams wait so long for capacity on the routes of the site.
WAIT_S = MIN_ABANDON_MS * CAPACITY_WAIT_FRACTION / 1000


@pytest.fixture
async def vm(site):
    """Return a VM without a retry of its own, and its events; the first one has."""
    for number in range(2, FLEET):
        site.store.put(f"vm/vm-{number}", {"callers": f"127.0.0.1:{number}"})
    bounds = {"retry_budget_slack": SLACK, "retry_budget_ratio": 0}
    gateway = await site.add_gateway(f"vm-{FLEET}", **bounds)
    for item in site.gateways.values():
        await site.until(lambda item=item: len(item.state.members) == FLEET)
    events = []
    gateway.relay_context.events.add_observer(events.append)
    # Let no hash decide whether it has one.
    gateway.relay_context.budget.own._turns = None
    return gateway, events


async def earn_pool(site):
    """Let the first VM be the coordinator for long enough."""
    ledger = site.gateways["vm-1"].relay_context.budget._ledger
    ledger._started_at -= 60_000
    ledger._term = None
    await site.until(lambda: ledger._term is not None)
    ledger._term.earns_from -= 60_000


def named(events, name):
    return [event for event in events if event.name == name]


def reject_streams(site):
    """Let all first runners reject streams, without a pause after that."""
    for name in ("runner-a0", "runner-b0"):
        site.targets[name].pause_s = 0.0


def accept_after_rejection(site, gateway):
    """Let the runners accept streams again once one was rejected."""

    def accept(event):
        if event.name == "send_rejected":
            for target in site.targets.values():
                target.pause_s = None

    gateway.relay_context.events.add_observer(accept)


async def test_rejected_stream_gets_a_retry_of_the_pool(site, vm):
    # Guards against streams that are refused after one rejection while the budget of
    # the fleet is hardly used.
    gateway, events = vm
    await earn_pool(site)
    reject_streams(site)
    accept_after_rejection(site, gateway)
    response = await site.open_stream(vm=gateway.config.vm)
    assert response.status == 200
    await response.read()
    assert [event.origin for event in named(events, "retry_granted")] == ["pool"]
    assert named(events, "send_rejected")


async def test_call_gets_a_retry_of_the_pool(site, vm):
    gateway, events = vm
    await earn_pool(site)
    site.targets["desk-a"].pause_s = 0.1
    status, _, _ = await site.call("GET", "/status/x", vm=gateway.config.vm)
    assert status == 200
    assert [event.origin for event in named(events, "retry_granted")] == ["pool"]


async def test_rejected_stream_without_a_retry_waits_as_for_capacity(site, vm):
    # Guards against refusals at once, and against streams that are held back for longer
    # than they would wait for capacity. The first VM has just started.
    gateway, events = vm
    reject_streams(site)
    started = time.monotonic()
    response = await site.open_stream(vm=gateway.config.vm)
    waited_s = time.monotonic() - started
    assert response.status == 503
    assert WAIT_S - 0.05 <= waited_s <= WAIT_S + 0.3
    (denied,) = named(events, "retry_denied")
    assert denied.pool == "starting"
    assert denied.waited_ms > WAIT_S * 1000 / 2


async def test_call_without_a_retry_is_refused_soon(site, vm):
    gateway, events = vm
    site.targets["desk-a"].pause_s = 0.1
    started = time.monotonic()
    status, _, _ = await site.call("GET", "/status/x", vm=gateway.config.vm)
    assert status == 503
    assert time.monotonic() - started < 0.3
    assert len(named(events, "retry_denied")) == 1


async def test_retries_are_bounded_by_the_pool(site, vm):
    gateway, events = vm
    await earn_pool(site)
    site.targets["desk-a"].pause_s = 0.0
    site.targets["desk-b"].pause_s = 0.0
    for _ in range(60):
        await site.call("GET", "/status/x", vm=gateway.config.vm)
    granted = named(events, "retry_granted")
    assert 0 < len(granted) <= int(0.35 * COORDINATOR_SLACK * 0.7)
