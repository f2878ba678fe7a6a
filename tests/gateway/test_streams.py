"""Streams over chains of runners, with the failures that the platform specifies."""

import asyncio
import re
from functools import partial

import pytest

from tests.gateway.site import configuration

EVENT = re.compile(rb"id: (\d+)\ndata: event (\d+)\n\n")


def ids(body):
    found = EVENT.findall(body)
    assert b"".join(b"id: %b\ndata: event %b\n\n" % pair for pair in found) == body
    return [int(number) for number, _ in found]


def covers_all_layers(chain):
    at = 0
    for part in chain.split(","):
        first, _, end = part.partition("=")[2].partition("-")
        if int(first) != at:
            return False
        at = int(end)
    return at == 80


async def test_stream_passes_every_layer_once_and_in_order_for_each_event(site):
    response = await site.open_stream(events=30)
    assert ids(await response.read()) == list(range(1, 31))
    (run,) = site.runs()
    assert len(run.chains) == 30
    assert all(map(covers_all_layers, run.chains))


async def test_runner_gets_the_account_and_not_the_key(site):
    response = await site.open_stream(events=2, heathershunt_tenant="forged")
    await response.read()
    (run,) = site.runs()
    assert run.headers["heathershunt-tenant"] == "owner"
    assert "authorization" not in run.headers
    assert run.headers["heathershunt-expect-instance"] == run.runner
    assert int(run.headers["heathershunt-deadline-ms"]) <= 5000


async def add_spares(site):
    """Add a second holder of the middle layers to each domain."""
    for domain in ("a", "b"):
        await site.add_target(f"spare-{domain}", "engine", domain, "large", (30, 60))
    registry = site.gateways["vm-1"].state.registry
    await site.until(lambda: len(registry.of_service("engine")) == 8)


async def test_stream_continues_without_a_gap_after_a_later_runner_dies(site):
    # Guards against a missing or duplicate event after the chain is replaced.
    await add_spares(site)
    response = await site.open_stream(events=100)
    first = await response.read_some()
    chain = site.runs()[0].chains[0]
    later = chain.split(",")[1].partition("=")[0]
    site.fleet[later].is_unresponsive = True
    body = first + await response.read()
    assert ids(body) == list(range(1, 101))
    assert len(site.runs()) == 1, "the chain is replaced, the prompt is not sent again"
    assert later not in site.runs()[0].chains[-1]


async def test_runner_that_dies_during_prefill_is_replaced(site):
    # Guards against a prompt that is processed again from the start, at the cost of a
    # retry, when one of many runners dies.
    await add_spares(site)
    for target in site.targets.values():
        target.read_ms = 400
    opening = asyncio.create_task(site.open_stream(events=5))
    await site.until(lambda: bool(site.runs()))
    chain = site.runs()[0].headers["heathershunt-hop-count"]
    later = chain.split(",")[1].partition("=")[0]
    site.fleet[later].is_unresponsive = True
    response = await opening
    assert ids(await response.read()) == [1, 2, 3, 4, 5]
    assert len(site.runs()) == 1
    assert later not in site.runs()[0].chains[0]


async def test_stream_continues_in_another_domain_if_its_own_has_no_replacement(site):
    response = await site.open_stream(events=100)
    first = await response.read_some()
    later = site.runs()[0].chains[0].split(",")[1].partition("=")[0]
    site.fleet[later].is_unresponsive = True
    body = first + await response.read()
    assert ids(body) == list(range(1, 101))
    resumed = [run for run in site.runs() if run.headers.get("last-event-id")]
    assert len(resumed) == 1
    domains = {site.targets[run.runner].domain for run in site.runs()}
    assert domains == {"a", "b"}


async def test_stream_continues_at_another_runner_after_the_head_dies(site):
    response = await site.open_stream(events=100)
    first = await response.read_some()
    receipt = response.headers["heathershunt-response-signature"]
    run = site.runs()[0]
    await site.targets[run.runner].stop()
    body = first + await response.read()
    assert ids(body) == list(range(1, 101))
    assert receipt == f"receipt-{run.runner}"
    resumed = [run for run in site.runs() if run.headers.get("last-event-id")]
    assert len(resumed) == 1
    assert resumed[0].request_id == run.request_id


async def test_unreachable_runner_uses_no_retry_budget(site):
    # Guards against a retry budget that is used up by sends that reached no runner,
    # after many runners died at once.
    await site.add_gateway("vm-2", retry_budget_slack=0, retry_budget_ratio=0)
    draft = partial(
        site.call,
        "POST",
        "/drafts/x",
        b"prompt",
        vm="vm-2",
        heathershunt_token_counts="700,20",
    )
    await draft()
    await site.targets[site.runs()[0].runner].stop()
    status, _, body = await draft()
    assert status == 200
    assert ids(body) == list(range(1, 11))


async def test_stream_that_is_not_resumable_ends_with_an_error(site):
    changed = configuration(2)
    changed["routes"][0]["resumable"] = False
    site.store.put("op/config", changed)
    await site.until(lambda: site.gateways["vm-1"].state.catalog.version == 2)
    response = await site.open_stream(events=100)
    await response.read_some()
    await site.targets[site.runs()[0].runner].stop()
    with pytest.raises(ConnectionError):
        await response.read()
    assert len(site.runs()) == 1


async def test_runner_stops_when_the_caller_disconnects(site):
    response = await site.open_stream(events=500)
    await response.read_some()
    response.close()
    run = site.runs()[0]
    await asyncio.sleep(0.1)
    made = len(run.events)
    await asyncio.sleep(0.2)
    assert len(run.events) == made


async def test_request_without_a_complete_chain_is_refused_at_once(site):
    for name in ("runner-a0", "runner-b0"):
        target = site.targets[name]
        target.is_draining = True
        target.register()
    registry = site.gateways["vm-1"].state.registry
    await site.until(lambda: len(registry.of_service("engine")) == 4)
    status, headers, _ = await site.call(
        "POST", "/drafts/x", b"p", heathershunt_token_counts="700,20"
    )
    assert status == 503
    assert float(headers["retry-after"]) > 0
    assert site.runs() == []


async def test_missing_layers_are_ordered_from_a_redundant_runner(site):
    # Guards against a domain that stays without a chain although other runners could
    # hold the missing layers.
    spare = await site.add_target("spare", "engine", "a", "small", (31, 36))
    await site.targets["runner-a1"].stop()
    site.store.remove("servers/runner-a1")
    await site.until(lambda: bool(spare.order_bodies))
    order = spare.order_bodies[0]
    assert (order["operation"], order["from"]) == ("place", 40)
    assert order["expected"] == 0
    assert order["fencing_token"] > 0


@pytest.mark.parametrize("trickle", [b": still here\n\n", b"d", b""])
async def test_stalled_stream_that_still_sends_bytes_continues_elsewhere(site, trickle):
    # Guards against a stall that never ends because bytes without an event arrive.
    response = await site.open_stream(events=30)
    first = await response.read_some()
    run = site.runs()[0]
    stalling = site.targets[run.runner]
    stalling.trickle = trickle
    stalling.stalls_after = run.events[-1] + 1
    async with asyncio.timeout(4):
        body = first + await response.read()
    found = ids(body.replace(b": still here\n\n", b""))
    assert found == list(range(1, 31))
    resumed = [run for run in site.runs() if run.headers.get("last-event-id")]
    assert len(resumed) == 1
    assert resumed[0].runner != run.runner


async def test_slow_stream_without_a_fault_is_not_interrupted(site, monkeypatch):
    # The gaps exceed the target of 100 ms, but events keep arriving.
    monkeypatch.setattr("standins.layer_runner.EVENT_MS", 300)
    response = await site.open_stream(events=6)
    assert ids(await response.read()) == [1, 2, 3, 4, 5, 6]
    assert len(site.runs()) == 1
