"""Configurations with values that no operator means."""

import math
from copy import deepcopy
from dataclasses import astuple

import h11
from hypothesis import example, given, settings, strategies as st

from heathershunt.clock import Millis
from heathershunt.discovery import Target
from heathershunt.gateway.caller_limits import caller_limits
from heathershunt.gateway.request_handler import _pick_service
from heathershunt.http import Address, Request
from heathershunt.pipelines.chooser import Job
from heathershunt.pipelines.layout import LayoutConfig, plan_layout
from heathershunt.platform.headers import HeaderCodec
from heathershunt.platform.names import CONFIGURATION_KEY
from heathershunt.relay import Dispatch, StreamSpec
from tests.gateway.site import configuration
from tests.gateway.test_odd_entries import ODD_NUMBERS, Site, encode, sound_pairs

DESK = Target("desk", "desk", Address("10.0.0.1", 80), "a", 8)


def leaves(value, path=()):
    """Yield the path of each value of a configuration."""
    items = value.items() if isinstance(value, dict) else enumerate(value)
    for key, item in items:
        if isinstance(item, dict | list):
            yield from leaves(item, (*path, key))
        else:
            yield (*path, key)


ODD_SETTINGS = (
    *ODD_NUMBERS,
    0,
    1e308,
    -1e308,
    1e-300,
    True,
    "x" * 5000,
    "\r\n",
    "\u4e00",
)


@settings(max_examples=500)
@given(
    path=st.sampled_from(list(leaves(configuration(2)))),
    value=st.sampled_from(ODD_SETTINGS),
)
@example(path=("services", 0, "engine", "read_per_s"), value=0)
@example(path=("tenants", 0, "name"), value="\u4e00")
@example(path=("routes", 0, "timeout_ms"), value=1e308)
@example(path=("routes", 2, "priority"), value=10**400)
def test_odd_value_in_a_configuration_is_refused_or_harmless(path, value):
    # Guards against a configuration that comes into force and with which requests then
    # end without an answer, as a number breaks a sum, a division or a header field.
    site = Site()
    site.apply(sound_pairs(), True)
    changed = place = deepcopy(configuration(2))
    for key in path[:-1]:
        place = place[key]
    place[path[-1]] = value
    site.apply([(CONFIGURATION_KEY, encode(changed))], False)
    catalog = site.state.catalog
    if catalog.version == 1:
        site.chosen()
        return
    caller_limits(catalog, 1000)
    codec = HeaderCodec(site.clock)
    request = codec.caller_request(Request("GET", "/", {}, {}, b""))
    for by_prefix in catalog.routes_by_host.values():
        for route in by_prefix.values():
            use_route(site, codec, request, route)
    for account in catalog.accounts_by_key_sha256.values():
        fields = codec.fields(request, Dispatch(DESK, 5, account.name))
        h11.Request(method="GET", target="/", headers=[("host", "x"), *fields])


def use_route(site, codec, request, route):
    """Make the decisions for a request on a route, as the relay does."""
    _pick_service(route)
    service = site.state.catalog.services_by_name.get("engine")
    fields = codec.fields(request, Dispatch(DESK, route.timeout_ms, rank=route.rank))
    assert sum(len(value) for _, value in fields) < 200
    if service is None or service.engine is None:
        return
    spec = StreamSpec(request, route, "engine", service.engine, None, Millis(10_000))
    assert all(map(math.isfinite, astuple(spec.timeouts)))
    runners = site.state.registry.of_service("engine")
    chain = site.chooser.choose(service.engine, runners, Job(700, 20), 1)
    assert chain is None or chain.covers(service.engine.layers)
    plan_layout(service.engine, runners, LayoutConfig())
