"""Plain calls that crash each target that begins to run them."""

import asyncio

import pytest

DEADLY = b"deadly"
# Stated target: no more than three targets end before all VMs that are in touch know.
MAX_CRASHES = 3
# Time after which a caller leaves, and after which its target ends.
LEAVE_S = 0.05
END_S = 0.1


@pytest.fixture
async def desks(site):
    """Add targets of the plain service, all of which crash at the deadly call."""
    for number in range(10):
        await site.add_target(f"desk-{number}", "desk", "ab"[number % 2])
    registry = site.gateways["vm-1"].state.registry
    await site.until(lambda: len(registry.of_service("desk")) == 12)
    desks = [item for item in site.targets.values() if item.service == "desk"]
    for desk in desks:
        desk.deadly_body = DEADLY
    return desks


def crashes(desks):
    return sum(desk.is_unresponsive for desk in desks)


# Guards against one plain call that, sent again and again, ends target after target.
async def test_call_that_may_be_repeated_stops_reaching_targets(site, desks):
    for _ in range(6):
        await site.call("POST", "/status/7", DEADLY)
    assert crashes(desks) <= MAX_CRASHES
    status, headers, _ = await site.call("POST", "/status/7", DEADLY)
    assert status == 503
    assert float(headers["retry-after"]) > 0


# Guards against the same of calls that the router does not repeat, but the caller.
async def test_call_that_may_run_once_stops_reaching_targets(site, desks):
    statuses = [
        (await site.call("POST", "/orders/7", DEADLY))[0] for _ in range(MAX_CRASHES)
    ]
    assert crashes(desks) < MAX_CRASHES
    # 503 promises that the call has not run; those that ended a target had begun.
    assert statuses.count(502) == crashes(desks)
    assert statuses[-1] == 503


# Guards against targets of each VM that end until the VM has learned it by itself.
async def test_call_is_refused_at_a_vm_that_never_sent_it(site, desks):
    gateway = await site.add_gateway("vm-2")
    await site.until(lambda: len(gateway.state.registry.of_service("desk")) == 12)
    for _ in range(2):
        await site.call("POST", "/orders/7", DEADLY)
    await site.until(lambda: gateway.guard.blocked_count)
    status, _, _ = await site.call("POST", "/orders/7", DEADLY, vm="vm-2")
    assert status == 503
    assert crashes(desks) == 2


# Guards against callers that pay for the deadly call of another one.
async def test_other_calls_are_served_beside_deadly_ones(site, desks):
    for number in range(6):
        await site.call("POST", "/status/7", DEADLY)
        for path in ("/status/7", "/status/8", f"/orders/{number}"):
            status, _, _ = await site.call("POST", path, b"sound")
            assert status == 200
    assert crashes(desks) <= MAX_CRASHES


# Guards against several deadly calls that hide each other.
async def test_several_deadly_calls_stop_reaching_targets(site, desks):
    paths = ("/status/1", "/status/2", "/orders/3")
    for _ in range(4):
        await asyncio.gather(*(site.call("POST", path, DEADLY) for path in paths))
    assert crashes(desks) <= MAX_CRASHES * len(paths)
    for path in paths:
        status, _, _ = await site.call("POST", path, DEADLY)
        assert status == 503


# Guards against calls that are refused as targets were lost that announced their end.
async def test_targets_that_were_leaving_are_no_evidence(site, desks):
    registry = site.gateways["vm-1"].state.registry
    for desk in desks:
        desk.leaves_first = True
    for _ in range(3):
        status, _, _ = await site.call("POST", "/orders/7", DEADLY)
        assert status == 502
        gone = crashes(desks)
        await site.until(
            lambda gone=gone: len(registry.of_service("desk")) <= 12 - gone
        )
    assert not site.gateways["vm-1"].guard.blocked_count


# Guards against a sound call that stays refused since it ran beside a deadly one.
async def test_call_that_was_answered_is_cleared(site, desks):
    await site.call("POST", "/orders/7", DEADLY)
    for desk in desks:
        desk.deadly_body = None
    status, _, _ = await site.call("POST", "/orders/7", DEADLY)
    assert status == 200
    for desk in desks:
        desk.deadly_body = DEADLY
    status, _, _ = await site.call("POST", "/orders/7", DEADLY)
    assert status == 502
    assert not site.gateways["vm-1"].guard.blocked_count


# Guards against calls that hide by naming parts of a prompt, other ones each time.
async def test_parts_that_a_call_names_do_not_count(site, desks):
    for number in range(4):
        parts = {"heathershunt_prompt_prefix": f"{number:08x}:40"}
        status, _, _ = await site.call("POST", "/orders/7", DEADLY, **parts)
    assert crashes(desks) < MAX_CRASHES
    assert status == 503


# Guards against a call that ends target after target as each of its callers leaves
# before the target ends.
async def test_call_whose_callers_leave_stops_reaching_targets(site, desks):
    for desk in desks:
        end_later(desk)
    for _ in range(2 * MAX_CRASHES):
        calling = asyncio.create_task(site.call("POST", "/orders/7", DEADLY))
        await asyncio.sleep(LEAVE_S)
        calling.cancel()
        await asyncio.gather(calling, return_exceptions=True)
        await asyncio.sleep(2 * END_S)
    assert crashes(desks) <= MAX_CRASHES


def end_later(desk):
    """Make a target end some time after it began the deadly call, left or not."""

    async def end():
        await asyncio.sleep(END_S)
        await desk.stop()

    async def crash():
        desk.ending = asyncio.create_task(end())
        await asyncio.sleep(3600)

    desk._crash_at_call = crash


# Guards against a call that is cleared by the answers to others with the same path and
# body, as the fields that make it deadly are not in its key.
async def test_call_with_a_deadly_field_stops_reaching_targets(site, desks):
    for desk in desks:
        end_at_field(desk)
    for _ in range(2 * MAX_CRASHES):
        await site.call("GET", "/orders/7", accept="deadly")
        await site.call("GET", "/orders/7", accept="sound")
    assert crashes(desks) <= MAX_CRASHES


def end_at_field(desk):
    """Make a target end as it begins a request with a certain field."""
    handle = desk._answer

    async def answer(request):
        if request.headers.get("accept") == "deadly":
            await desk._crash_at_call()
        return await handle(request)

    desk._answer = answer
