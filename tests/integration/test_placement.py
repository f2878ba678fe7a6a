"""Placement of one model by two daemons, checked in the runners' order ledgers."""

import asyncio
import json
from dataclasses import replace

import pytest

from heathershunt.http import Address
from heathershunt.store import KeyValueStore
from standins.caller import Caller
from standins.demo import demo_bundle
from standins.launch import pipeline_specs
from standins.oracle import expected_tokens

LAYERS = 12
LAYERS_PER_SECOND = 80
SETTINGS = f"""
[placement]
enabled = true
lease_ttl_ms = 1500
weight_layers_per_second = {LAYERS_PER_SECOND}
"""
WAIT_SECONDS = 20
PROMPT = "Describe the crest"


def bundle(number, version):
    raw = demo_bundle(number)
    raw["models"][0]["version"] = version
    return raw


@pytest.fixture
async def system(deployment):
    """Two daemons and three stages; one of two runners each checks fencing tokens."""
    await deployment.start_platform()
    weights = await deployment.start_weights(LAYERS_PER_SECOND)
    specs = [
        replace(spec, checks_fence=spec.runner.endswith("r0"))
        for spec in pipeline_specs(
            "m", "v1", LAYERS, 3, 2, weights=str(weights.address)
        )
    ]
    await deployment.start_engines(specs)
    await deployment.publish_vms()
    deployment.extra_settings = SETTINGS
    await deployment.start_daemons(2)
    await deployment.roll(bundle(1, "v1"))
    await deployment.wait_ready()
    await deployment.wait_runners(6)
    return deployment


def engines(system):
    return [
        Address.from_text(engine["address"])
        for engine in system.processes_by_name["engines"].info["engines"]
    ]


async def lease_holder(system, other_than=""):
    """Return the name of the VM that holds the lease, and the fencing token."""
    store = KeyValueStore(system.http, (system.platform,))
    async with asyncio.timeout(WAIT_SECONDS):
        while True:
            held = (await store.get("placement/m")).unwrap()
            name = held.value.decode().split(".")[0] if held.value else ""
            if name and name != other_than:
                return name, held.revision
            await asyncio.sleep(0.05)


async def runner_statuses(system):
    return [await system.call(a, "GET", "/v1/status") for a in engines(system)]


async def wait_serving(system, version):
    """Wait until every runner serves a version; a full chain must always exist."""
    deadline = asyncio.get_running_loop().time() + WAIT_SECONDS
    while asyncio.get_running_loop().time() < deadline:
        statuses = await runner_statuses(system)
        serving = {
            (r["version"], r["first_layer"])
            for r in statuses
            if r["role"] == "drafting"
        }
        full = [v for v in ("v1", "v2") if {(v, x) for x in (0, 4, 8)} <= serving]
        assert full, "no version had a full chain"
        if all((r["version"], r["role"]) == (version, "drafting") for r in statuses):
            return
        await asyncio.sleep(0.05)
    raise AssertionError(f"not every runner serves {version}: {statuses}")


async def orders_up_to(system, token):
    """Return all orders, including rejected ones, with a token up to ``token``."""
    ledgers = [await system.call(a, "GET", "/v1/ledger") for a in engines(system)]
    orders = [order for ledger in ledgers for order in ledger["orders"]]
    return [order for order in orders if order["fence"] <= token]


async def test_holder_paused_past_its_lease_changes_nothing(system):
    """The old holder resumes with the old bundle and cannot read the store."""
    old, old_token = await lease_holder(system)
    system.processes_by_name[old].pause()
    new, new_token = await lease_holder(system, other_than=old)
    assert new_token > old_token
    await system.roll(bundle(2, "v2"))
    await wait_serving(system, "v2")
    before = await orders_up_to(system, old_token)
    await system.call(system.platform, "POST", "/v1/faults", {"outage": True})
    system.processes_by_name[old].resume()
    await asyncio.sleep(3)
    assert await orders_up_to(system, old_token) == before
    address = system.ports_by_daemon[new].callers
    got = await Caller("parish-token").draft(address, PROMPT, 8)
    assert got.tokens == expected_tokens("m", "v2", LAYERS, PROMPT, 8)
    await system.call(system.platform, "POST", "/v1/faults", {})
    await lease_holder(system)
    await asyncio.sleep(1)
    await wait_serving(system, "v2")
    assert await orders_up_to(system, old_token) == before


async def test_operators_see_who_holds_a_lease(system):
    """The status must name the holder, so that a stuck placement can be traced."""
    leases = []
    async with asyncio.timeout(WAIT_SECONDS):
        # The store has the lease before the holder has the reply to its write.
        while not leases:
            name, token = await lease_holder(system)
            outcome = await system.http.request_json(
                system.ports_by_daemon[name].operators,
                "GET",
                "/v1/operator/status",
                headers={"authorization": f"Bearer {system.operator_key}"},
            )
            leases = outcome.unwrap()[1]["leases"]
    (lease,) = leases
    assert lease["model"] == "m"
    assert lease["holder"].startswith(f"{name}.")
    assert lease["fence"] == token


async def test_late_order_of_an_old_holder_is_corrected(system):
    """A runner that checks fencing tokens rejects it; the other gets a new order."""
    await system.roll(bundle(2, "v2"))
    await wait_serving(system, "v2")
    for address in engines(system)[:2]:
        report = await system.call(address, "GET", "/v1/status")
        late = {k: report[k] for k in ("model", "adapters", "first_layer")}
        late |= {"end_layer": report["end_layer"], "role": "drafting"}
        late |= {"version": "v1", "fence": 1}
        status, _ = (
            await system.http.request_json(address, "POST", "/v1/orders", late)
        ).unwrap()
        assert status == (409 if report["checks_fence"] else 200)
    await wait_serving(system, "v2")


async def test_loads_stay_within_the_rate_of_the_weight_store(system):
    """Loads that queue at the weight store would keep their runners out of service."""
    await system.roll(bundle(2, "v2"))
    await wait_serving(system, "v2")
    weights = system.processes_by_name["weights"].address
    counts = await system.call(weights, "GET", "/v1/counts")
    assert counts["layers"] == 2 * LAYERS
    assert counts["longest_queue"] <= 2 * LAYERS / 3


async def test_layers_of_a_leaving_runner_are_moved(system):
    """The layers go to a runner of a range with two; leaving runners keep theirs."""
    for address in engines(system)[:2]:
        await system.call(address, "POST", "/v1/leave")
    held = []
    deadline = asyncio.get_running_loop().time() + WAIT_SECONDS
    while not {0, 4, 8} <= set(held):
        assert asyncio.get_running_loop().time() < deadline
        held = [r for r in await runner_statuses(system) if not r["leaving"]]
        held = [r["first_layer"] for r in held if r["role"] == "drafting"]
        await asyncio.sleep(0.05)
    ledger = await system.call(engines(system)[1], "GET", "/v1/ledger")
    assert json.dumps(ledger["orders"]).count('"first_layer": 0') == len(
        ledger["orders"]
    )
