"""Priorities of routes and client accounts, and streams that wait in line."""

import asyncio
from copy import deepcopy
from functools import partial

import pytest

from heathershunt.gateway.request_handler import MIN_ORDERED_VMS
from heathershunt.http import Address
from heathershunt.logs.run_events import LineLeft
from heathershunt.platform.configuration import decode_configuration
from tests.gateway.site import KEY, configuration
from tests.gateway.test_odd_entries import encode

OTHER_KEY = "key-other"
TENANTS = [
    {"name": "owner", "api_keys": [KEY], "priority": 2},
    {"name": "other", "api_keys": [OTHER_KEY]},
]
RANK = "heathershunt-request-priority"


@pytest.fixture
async def gateway(site):
    """Return a gateway whose engine has streams of two priorities."""
    changed = configuration(2, tenants=TENANTS)
    changed["routes"][0]["priority"] = 1
    site.store.put("op/config", changed)
    gateway = site.gateways["vm-1"]
    await site.until(lambda: gateway.state.catalog.version == 2)
    return gateway


@pytest.fixture
def fill_one(monkeypatch):
    """Return a function that lets all chains of a VM seem full, or no longer."""

    def fill_one(gateway, is_full):
        chooser = gateway.relay_context.chooser
        choose = type(chooser).choose

        def choose_if_free(*args, needs_room=False, **options):
            if needs_room and is_full:
                return None
            return choose(chooser, *args, needs_room=needs_room, **options)

        monkeypatch.setattr(chooser, "choose", choose_if_free)

    return fill_one


@pytest.fixture
def fill(gateway, fill_one):
    """Return a function that lets all chains seem full, or no longer."""
    return partial(fill_one, gateway)


async def test_priority_of_the_account_takes_precedence_over_the_route(site, gateway):
    # The runners were told the priority of the route whatever the account was.
    for key, rank in ((KEY, "2"), (OTHER_KEY, "1")):
        site.targets["runner-a0"].runs.clear()
        site.targets["runner-b0"].runs.clear()
        stream = await site.open_stream(events=2, authorization=f"Token {key}")
        await stream.read()
        assert [run.headers[RANK] for run in site.runs()] == [rank]


async def gauges(site, gateway):
    config = gateway.config
    address = Address(config.listeners.callers.host, config.metrics_port)
    outcome = await site.client.exchange(address, "GET", "/metrics")
    return outcome.unwrap()[1].decode()


async def test_streams_of_several_priorities_wait_in_line(site, gateway, fill):
    ended = []
    gateway.relay_context.events.add_observer(ended.append)
    fill(True)
    waiting = gateway.relay_context.ledger.waiting
    streams = [
        asyncio.create_task(site.open_stream(2, authorization=f"Token {key}"))
        for key in (KEY, KEY, OTHER_KEY)
    ]
    await site.until(lambda: waiting.own() == {("engine", 2): 2, ("engine", 1): 1})
    text = await gauges(site, gateway)
    assert 'heathershunt_gateway_waiting_streams{rank="2"} 2' in text
    fill(False)
    for stream in await asyncio.gather(*streams):
        await stream.read()
    left = [event for event in ended if isinstance(event, LineLeft)]
    assert [(event.rank, event.outcome) for event in left] == [
        (1, "placed"),
        (2, "placed"),
        (2, "placed"),
    ]
    text = await gauges(site, gateway)
    assert 'events_total{event="line_left",outcome="placed"} 3' in text
    assert 'heathershunt_gateway_waiting_streams{rank="2"} 0' in text


async def test_streams_of_one_priority_wait_as_before_in_a_small_fleet(site):
    gateway = site.gateways["vm-1"]
    assert gateway.state.catalog.ranks_by_service["engine"] == {1}
    stream = await site.open_stream(events=2)
    await stream.read()
    assert "line_left" not in await gauges(site, gateway)
    assert not gateway.relay_context.ledger.waiting.by_rank()


async def test_streams_wait_in_line_in_a_large_fleet(site, fill_one):
    # Load pattern: a large account beside small ones, all of one priority.
    gateway = site.gateways["vm-1"]
    for number in range(2, MIN_ORDERED_VMS + 1):
        site.store.put(f"vm/vm-{number}", {"callers": "127.0.0.1:1"})
    await site.until(lambda: len(gateway.state.members) == MIN_ORDERED_VMS)
    fill_one(gateway, True)
    waiting = gateway.relay_context.ledger.waiting
    stream = asyncio.create_task(site.open_stream(2))
    await site.until(lambda: waiting.own() == {("engine", 1): 1})
    fill_one(gateway, False)
    await (await stream).read()


async def test_stream_in_line_ends_its_wait_when_its_caller_leaves(site, gateway, fill):
    fill(True)
    waiting = gateway.relay_context.ledger.waiting
    stream = asyncio.create_task(site.open_stream(2))
    await site.until(waiting.own)
    stream.cancel()
    await site.until(lambda: not waiting.own(), seconds=0.3)
    assert site.runs() == []


def changed(path, value):
    """Return a configuration with a changed value."""
    raw = configuration(3, tenants=deepcopy(TENANTS))
    raw["routes"][0]["traffic_split"] = [{"service": "engine", "weight": 1}]
    place = raw
    for key in path[:-1]:
        place = place[key]
    place[path[-1]] = value
    return raw


INVALID = [
    (("routes", 0, "priority"), -1, "priority"),
    (("routes", 0, "priority"), 10, "priority"),
    (("routes", 0, "priority"), "high", "priority"),
    (("tenants", 0, "priority"), -1, "priority"),
    (("tenants", 0, "priority"), 10, "priority"),
    (("routes", 0, "traffic_split", 0, "weight"), -1, "weight"),
    (("limits", "max_header_bytes"), 0, "max_header_bytes"),
    (("limits", "max_body_bytes"), -1, "max_body_bytes"),
    (("limits", "header_timeout_ms"), 0, "header_timeout_ms"),
    (("limits", "idle_timeout_ms"), 0, "idle_timeout_ms"),
]


@pytest.mark.parametrize("path, value, field", INVALID)
def test_invalid_priority_weight_or_limit_is_refused_with_its_field(path, value, field):
    # Guards against a priority beyond what runners are told, which would be ordered
    # differently at the VMs and at the runners, and limits that no request keeps.
    with pytest.raises(ValueError, match=rf"\.{field}`"):
        decode_configuration(encode(changed(path, value)))


def test_service_without_traffic_in_a_split_is_accepted():
    # An operator takes a service out of a split with the weight 0.
    path = ("routes", 0, "traffic_split", 0, "weight")
    assert decode_configuration(encode(changed(path, 0))).version == 3


async def test_configuration_in_force_stays_when_a_priority_is_invalid(site, gateway):
    site.store.put("op/config", changed(("tenants", 0, "priority"), -1))
    site.store.put("vm/mark", {"callers": "127.0.0.1:1"})
    await site.until(lambda: len(gateway.state.members) == 2)
    assert gateway.state.catalog.version == 2
    stream = await site.open_stream(events=2)
    await stream.read()
    assert [run.headers[RANK] for run in site.runs()] == ["2"]
