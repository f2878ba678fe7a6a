"""Requests that a gateway without links to the targets gives to other gateways."""

import asyncio

import msgspec
import pytest

from heathershunt.http import Response
from heathershunt.logs.forward_events import CutOff, ReachedAgain
from tests.gateway.links import (
    HOWS,
    TargetLinks,
    add_gateways,
    cut_off,
    events_of,
    refused,
)

CUT = "vm-2"
LOAD = 60


# The answer


@pytest.mark.parametrize("how", HOWS)
async def test_answer_of_a_call_is_the_same_through_another_vm(site, how):
    # Guards against an answer that loses its status, signature, fields or bytes.
    await add_gateways(site, 2)
    body = bytes(range(256)) * 2000

    def answer(request):
        headers = {"content-type": "x/y", "x-not-taken": "1", "x-sent-to": "a"}
        return Response(207, headers, body)

    for name in ("desk-a", "desk-b"):
        site.targets[name].answer = answer
    await cut_off(site, CUT, how)
    direct = await site.call("POST", "/orders/7", b"x", vm="vm-1")
    forwarded = await site.call("POST", "/orders/7", b"x", vm=CUT)
    assert forwarded[0] == direct[0] == 207
    assert forwarded[2] == direct[2] == body
    signature = "heathershunt-response-signature"
    assert forwarded[1][signature].startswith("receipt-desk")
    assert forwarded[1].keys() == direct[1].keys() - {"x-not-taken", "x-sent-to"}


async def test_stream_is_the_same_through_another_vm(site):
    # Guards against events that are lost or merged, and a stream that is held back.
    await add_gateways(site, 2)
    await cut_off(site, CUT)
    direct = await site.open_stream(events=20, vm="vm-1")
    forwarded = await site.open_stream(events=20, vm=CUT)
    assert await forwarded.read() == await direct.read()
    assert forwarded.headers["content-type"] == direct.headers["content-type"]


async def test_answer_for_the_caller_is_not_taken_for_a_refusal_to_serve(site):
    # Guards against other VMs that are asked although the first one has answered.
    await add_gateways(site, 3)
    for name in ("desk-a", "desk-b"):
        site.targets[name].answer = lambda request: Response(404, {}, b"none")
    await cut_off(site, CUT)
    before = len(site.runs())
    assert (await site.call("GET", "/status/7", vm=CUT))[0::2] == (404, b"none")
    assert len(site.runs()) == before + 1


async def test_route_and_key_are_checked_at_the_first_vm(site):
    # Guards against a VM that forwards what it would refuse itself.
    await add_gateways(site, 2)
    await cut_off(site, CUT)
    received = events_of(site.gateways["vm-1"])
    assert (await site.call("GET", "/none/7", vm=CUT))[0] == 404
    wrong = "Token wrong"
    assert (await site.call("GET", "/status/7", vm=CUT, authorization=wrong))[0] == 401
    assert not [event for event in received if event.name == "forward_received"]


async def test_listener_for_callers_does_not_know_the_path(site):
    # Guards against a caller that has a request sent with the key of another.
    status, _, _ = await site.call("POST", "/forward/", b"\x90")
    assert status == 404


@pytest.mark.parametrize("body", [b"", b"\x90", b"\xff" * 50, b"{}"])
async def test_malformed_message_is_not_taken(site, body):
    # Guards against an internal error that a sender would pass on as the answer.
    peers = site.gateways["vm-1"].config.listeners.peers
    outcome = await site.client.exchange(peers, "POST", "/forward/", body=body)
    assert outcome.ok_value[0] == 503
    response = await site.client.request(peers, "POST", "/forward/", body=body)
    assert "x-not-taken" in response.ok_value.headers


async def test_api_key_is_in_no_event(site):
    # Guards against API keys in logs, as the message between the VMs contains one.
    await add_gateways(site, 2)
    seen = [events_of(gateway) for gateway in site.gateways.values()]
    await cut_off(site, CUT)
    await site.call("GET", "/status/7", vm=CUT)
    lines = msgspec.json.encode([[vars(e) for e in events] for events in seen])
    assert b"forward" in msgspec.json.encode([e.name for e in seen[0]])
    assert b"key-one" not in lines


# The state


@pytest.mark.parametrize("how", HOWS)
async def test_vm_that_knows_forwards_without_local_attempts(site, how):
    # Guards against callers that wait for connect time limits as long as a cut lasts.
    await add_gateways(site, 2)
    links = await cut_off(site, CUT, how)
    started = asyncio.get_running_loop().time()
    before = links.attempts
    for _ in range(5):
        assert (await site.call("POST", "/orders/7", b"x", vm=CUT))[0] == 200
    assert asyncio.get_running_loop().time() - started < 0.25
    assert links.attempts - before <= 1


async def test_own_links_are_used_at_once_when_they_return(site):
    # Guards against targets that stay ejected as the links have failed before.
    await add_gateways(site, 2)
    gateway = site.gateways[CUT]
    events = events_of(gateway)
    links = await cut_off(site, CUT)
    await asyncio.sleep(0.5)
    links.restore()
    await site.until(lambda: not gateway.links.is_cut_off, seconds=1)
    assert [e for e in events if isinstance(e, CutOff)]
    assert [e for e in events if isinstance(e, ReachedAgain)]
    assert not [
        target
        for target in site.gateways[CUT].state.registry.of_service("desk")
        if gateway.suspects.is_suspect(target)
    ]
    received = events_of(site.gateways["vm-1"])
    for _ in range(4):
        assert (await site.call("GET", "/status/7", vm=CUT))[0] == 200
    assert not [event for event in received if event.name == "forward_received"]


async def test_one_dead_target_does_not_cut_a_vm_off(site):
    # Guards against forwarding although the links are sound.
    await add_gateways(site, 2)
    await site.targets["desk-a"].stop()
    for _ in range(6):
        assert (await site.call("GET", "/status/7", vm=CUT))[0] == 200
    assert not site.gateways[CUT].links.is_cut_off


@pytest.mark.parametrize("how", HOWS)
async def test_two_vms_that_are_cut_off_do_not_harm_the_others(site, how):
    # Guards against notes of two VMs that make all VMs avoid sound targets, and crash
    # evidence from refused connections.
    await add_gateways(site, 3)
    for vm in ("vm-2", "vm-3"):
        TargetLinks(site, vm).cut(how, resets_open=True)
    sound = site.gateways["vm-1"]
    calls = [
        asyncio.create_task(site.call("GET", "/status/7", vm=vm))
        for vm in ("vm-2", "vm-3")
        for _ in range(LOAD // 6)
    ]
    until = asyncio.get_running_loop().time() + 1.5
    while asyncio.get_running_loop().time() < until:
        for target_id in site.targets:
            assert not sound.suspects.is_suspect(sound.state.registry.get(target_id))
        await asyncio.sleep(0.02)
    assert refused([await call for call in calls]) == []
    assert not any(g.guard.has_evidence for g in site.gateways.values())


async def test_only_vm_of_a_site_tries_its_own_links(site):
    # Guards against refusals without an attempt where there is nobody to ask.
    links = TargetLinks(site, "vm-1")
    links.cut("refuse")
    assert (await site.call("GET", "/status/7"))[0] == 503
    links.restore()
    assert (await site.call("GET", "/status/7"))[0] == 200
