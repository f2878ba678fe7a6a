"""Forwarded requests while other VMs fail, callers leave, or many come at once."""

import asyncio

import pytest

from heathershunt.http import AnswerError, CutCause, Response
from tests.gateway.links import (
    HOWS,
    TargetLinks,
    add_gateways,
    break_hops,
    cut_off,
    receiver_of,
    refused,
)
from tests.gateway.site import configuration

CUT = "vm-2"
LOAD = 60


async def hang(request):
    await asyncio.sleep(3600)


def lose_after_run(site, gateway):
    """Let a gateway break hops off once a target runs the request."""
    handle = receiver_of(gateway).handle

    async def handle_and_break(request):
        runs = len(site.runs())
        serving = asyncio.create_task(handle(request))
        await site.until(lambda: len(site.runs()) > runs)
        serving.cancel()
        raise AnswerError(CutCause.STREAM_FAILED, "lost")

    receiver_of(gateway).handle = handle_and_break


def stream_runs(site):
    """Return the runs that have sent events."""
    return [run for run in site.runs() if run.events]


# Other VMs that fail


async def test_vm_that_is_cut_off_too_is_passed_over(site):
    # Guards against a refusal by a VM that has no links either.
    await add_gateways(site, 3)
    await cut_off(site, "vm-3")
    await cut_off(site, CUT)
    for _ in range(6):
        assert (await site.call("POST", "/orders/7", b"x", vm=CUT))[0] == 200


async def test_all_vms_cut_off_refuse_at_once_and_serve_again(site):
    # Guards against requests that circle between VMs or wait for their deadline.
    await add_gateways(site, 3)
    links = [await cut_off(site, vm) for vm in site.gateways]
    started = asyncio.get_running_loop().time()
    status, headers, _ = await site.call("POST", "/orders/7", b"x", vm=CUT)
    assert asyncio.get_running_loop().time() - started < 0.3
    assert (
        status == 503
        and "heathershunt-retry-after" in headers
        or "retry-after" in (headers)
    )
    for item in links:
        item.restore()
    await site.until(
        lambda: not any(g.links.is_cut_off for g in site.gateways.values())
    )
    assert (await site.call("POST", "/orders/7", b"x", vm=CUT))[0] == 200


async def test_vm_that_stops_is_passed_over(site):
    # Guards against requests that are refused as the VM that was asked is stopping.
    await add_gateways(site, 3)
    await cut_off(site, CUT)
    stopping = asyncio.create_task(site.gateways["vm-3"].shut_down())
    calls = (site.call("POST", "/orders/7", b"x", vm=CUT) for _ in range(LOAD))
    assert refused(await asyncio.gather(*calls)) == []
    await stopping


async def test_vm_that_stops_finishes_a_forwarded_stream(site):
    # Guards against a stop that breaks forwarded requests in its grace time.
    await add_gateways(site, 2)
    await cut_off(site, CUT)
    response = await site.open_stream(events=60, vm=CUT)
    await asyncio.gather(site.gateways["vm-1"].shut_down(), response.read())
    assert [len(run.events) for run in stream_runs(site)] == [60]


async def test_vm_that_was_not_reached_is_asked_again(site):
    # Guards against a refusal as a sender that was held up missed a connect time limit.
    await add_gateways(site, 2)
    await cut_off(site, CUT)
    http = site.gateways[CUT].relay_context.http
    peers = site.gateways["vm-1"].config.listeners.peers
    acquire = http._acquire
    missed = []

    async def miss_once(address, fresh, connect_ms=1000):
        if address == peers and fresh and not missed:
            missed.append(address)
            raise TimeoutError("held up")
        return await acquire(address, fresh, connect_ms)

    http._acquire = miss_once
    assert (await site.call("POST", "/orders/7", b"x", vm=CUT))[0] == 200
    assert missed


async def test_frozen_vm_costs_an_idempotent_call_a_quarter_of_its_time(site):
    # Guards against callers that wait for a VM that is frozen until their deadline.
    await add_gateways(site, 3)
    await cut_off(site, CUT)
    receiver_of(site.gateways["vm-3"]).handle = hang
    calls = (
        site.call("GET", "/status/7", vm=CUT, heathershunt_deadline_ms="4000")
        for _ in range(4)
    )
    started = asyncio.get_running_loop().time()
    answers = await asyncio.gather(*calls)
    assert refused(answers) == []
    assert asyncio.get_running_loop().time() - started < 2


async def test_frozen_vm_has_a_call_that_may_not_run_twice(site):
    # Guards against a second run of a call that the frozen VM may go on with.
    await add_gateways(site, 2)
    await cut_off(site, CUT)
    receiver_of(site.gateways["vm-1"]).handle = hang
    deadline = {"heathershunt_deadline_ms": "700"}
    status, _, body = await site.call("POST", "/orders/7", b"y", vm=CUT, **deadline)
    assert status in (502, 504)
    assert b"may_have_run" in body


@pytest.mark.parametrize(("path", "status"), [("/orders/7", 502), ("/status/7", 200)])
async def test_hop_lost_before_the_head(site, path, status):
    # Guards against a second run of a call that may run once only, and against a
    # failure of one that may run twice.
    await add_gateways(site, 3)
    await cut_off(site, CUT)
    lose_after_run(site, site.gateways["vm-1"])
    lose_after_run(site, site.gateways["vm-3"])
    receiver = receiver_of(site.gateways["vm-1" if status == 200 else "vm-3"])
    before = len(site.runs())
    if status == 200:
        # One of the two VMs is sound again after it lost the first hop.
        receiver.handle = type(receiver).handle.__get__(receiver)
    answers = [await site.call("POST", path, b"y", vm=CUT) for _ in range(3)]
    assert [answer[0] for answer in answers] == [status] * 3
    if status == 502:
        assert len(site.runs()) == before + 3


async def test_stream_goes_on_through_another_vm_after_a_broken_hop(site):
    # Guards against a resumable stream that ends with the VM that relays it.
    await add_gateways(site, 3)
    await cut_off(site, CUT)
    whole = await (await site.open_stream(events=60, vm="vm-1")).read()
    response = await site.open_stream(events=60, vm=CUT)
    await asyncio.sleep(0.05)
    for vm in ("vm-1", "vm-3"):
        if receiver_of(site.gateways[vm]).active_requests:
            break_hops(site.gateways[vm])
    assert await response.read() == whole


async def test_stream_that_may_not_resume_is_aborted_with_its_hop(site):
    # Guards against a stream that ends early and looks complete.
    changed = configuration(2)
    changed["routes"][0]["resumable"] = False
    site.store.put("op/config", changed)
    await add_gateways(site, 2)
    for gateway in site.gateways.values():
        await site.until(lambda g=gateway: g.state.catalog.version == 2)
    await cut_off(site, CUT)
    response = await site.open_stream(events=60, vm=CUT)
    break_hops(site.gateways["vm-1"])
    with pytest.raises(ConnectionError):
        await response.read()


@pytest.mark.parametrize("how", HOWS)
async def test_stream_that_began_on_own_links_goes_on_through_another_vm(site, how):
    # Guards against streams that end as open connections are reset by the cut.
    await add_gateways(site, 2)
    whole = await (await site.open_stream(events=60, vm="vm-1")).read()
    links = TargetLinks(site, CUT)
    response = await site.open_stream(events=60, vm=CUT)
    await asyncio.sleep(0.05)
    links.cut(how, resets_open=True)
    assert await response.read() == whole
    assert not site.gateways[CUT].guard.has_evidence


async def test_stream_behind_a_silent_link_goes_on_through_another_vm(site):
    # Guards against streams that wait for their deadline behind a link that hangs.
    await add_gateways(site, 2)
    whole = await (await site.open_stream(events=60, vm="vm-1")).read()
    links = TargetLinks(site, CUT)
    response = await site.open_stream(events=60, vm=CUT)
    await asyncio.sleep(0.05)
    links.cut("hang", silences_open=True)
    async with asyncio.timeout(2.5):
        assert await response.read() == whole


async def test_stream_on_a_connection_that_stays_open_is_kept(site):
    # Guards against runs that are ended though their connections are sound.
    await add_gateways(site, 2)
    links = TargetLinks(site, CUT)
    response = await site.open_stream(events=60, vm=CUT)
    links.cut("refuse")
    await site.call("GET", "/status/7", vm=CUT)
    await response.read()
    assert [len(run.events) for run in stream_runs(site)] == [60]


@pytest.mark.parametrize("status", [404, 413, 503])
async def test_answer_of_a_listener_is_not_passed_on(site, status):
    # Guards against answers of VMs of an earlier version, or of a listener with too
    # many connections, that callers would take for theirs.
    await add_gateways(site, 3)
    await cut_off(site, CUT)

    async def answer(request):
        return Response(status)

    receiver_of(site.gateways["vm-3"]).handle = answer
    calls = (site.call("POST", "/orders/7", b"x", vm=CUT) for _ in range(10))
    assert [answer[0] for answer in await asyncio.gather(*calls)] == [200] * 10


async def test_request_is_counted_once_in_the_retry_budgets(site):
    # Guards against retries that requests earn at both VMs.
    await add_gateways(site, 3)
    await cut_off(site, CUT)

    def counted():
        windows = [
            gateway.relay_context.budget.own._requests_by_service.get("desk")
            for gateway in site.gateways.values()
        ]
        return sum(window.count(0) for window in windows if window is not None)

    before = counted()
    for _ in range(5):
        await site.call("POST", "/orders/7", b"x", vm=CUT)
    assert counted() == before + 5
    await cut_off(site, "vm-3")
    # One request found out, one was forwarded at once.
    await site.call("POST", "/orders/7", b"x", vm="vm-3")
    assert counted() == before + 7


# Callers that leave, and requests under load


async def test_caller_that_leaves_ends_its_request_everywhere(site):
    # Guards against targets that work on for callers that are gone.
    await add_gateways(site, 2)
    await cut_off(site, CUT)
    response = await site.open_stream(events=400, vm=CUT)
    response.close()
    (run,) = stream_runs(site)
    await asyncio.sleep(0.5)
    events = len(run.events)
    await asyncio.sleep(0.2)
    assert len(run.events) == events < 400
    receiver = receiver_of(site.gateways["vm-1"])
    assert not receiver.active_requests


async def test_caller_that_leaves_before_the_head_ends_its_request(site):
    # Guards against a forwarded request that reaches a target after its caller left.
    await add_gateways(site, 2)
    await cut_off(site, CUT)
    for target in site.targets.values():
        target.is_unresponsive = True
    calling = asyncio.create_task(site.call("GET", "/status/7", vm=CUT))
    receiver = receiver_of(site.gateways["vm-1"])
    await site.until(lambda: receiver.active_requests)
    calling.cancel()
    await site.until(lambda: not receiver.active_requests, seconds=0.5)


@pytest.mark.parametrize("how", HOWS)
@pytest.mark.parametrize("cut", [["vm-2"], ["vm-2", "vm-3"]])
async def test_burst_at_vms_that_do_not_know_yet_is_served(site, how, cut):
    # Guards against requests that fail in the moment in which the cut begins, also as
    # the VM that is asked does not know of its own cut, and against calls that may not
    # run twice and do.
    await add_gateways(site, 3)
    for vm in cut:
        TargetLinks(site, vm).cut(how, resets_open=True)
    calls = (site.call("POST", "/orders/7", b"x", vm=CUT) for _ in range(LOAD))
    assert refused(await asyncio.gather(*calls)) == []
    ids = [run.request_id for run in site.runs("desk-a", "desk-b")]
    assert len(ids) == len(set(ids)) == LOAD


async def test_no_request_is_sent_to_more_targets_than_its_route_allows(site):
    # Guards against attempts that are counted at each VM alone.
    await add_gateways(site, 3)
    await cut_off(site, CUT)
    for name in ("desk-a", "desk-b"):
        site.targets[name].answer = lambda request: Response(500, {}, b"failed")
    for number in range(5):
        request_id = f"attempts-{number}"
        await site.call("GET", "/status/7", vm=CUT, heathershunt_request_id=request_id)
        sent = [
            received
            for target in site.targets.values()
            for _, received in target.received
            if received == request_id
        ]
        assert len(sent) <= 2
