"""Calls of services, and VMs, that fall silent for a second or so and then go on."""

import asyncio
import json

import pytest

from standins.bundles import demo_bundle
from standins.caller import Caller
from tests.integration.faults import answers_cut

ORDERS = "/v1/services/orders/orders"
STATUS = "/v1/services/orders/orders/1"
WAIT_SECONDS = 20
each_silence = pytest.mark.parametrize("silence_ms", [800, 1600])


@pytest.fixture
async def system(deployment):
    """Two daemons and a service with one address: there is no other one to try."""
    await deployment.start_platform()
    await deployment.start_service("orders")
    await deployment.publish_vms()
    await deployment.start_daemons(2)
    await deployment.roll(bundle(1))
    await deployment.wait_ready()
    return deployment


def bundle(version, timeout_ms=3000):
    raw = demo_bundle(version)
    raw["services"][0]["timeout_ms"] = timeout_ms
    return raw


def address_of(system, vm="vm1"):
    return system.ports_by_daemon[vm].callers


async def send(system, method, target, vm="vm1", **headers):
    """Send a call; return status and decoded answer, or 0 and the error without one."""
    status, _, answer = await Caller("parish-token").call(
        address_of(system, vm), method, target, b"die", **headers
    )
    return status, json.loads(answer) if status else answer


async def send_in_a_silence(system, name, silence_ms, *call, **headers):
    """Send a call to a silent process, beside a bundle with a shorter timeout."""
    silent = asyncio.create_task(system.processes_by_name[name].fall_silent(silence_ms))
    await asyncio.sleep(0.05)
    sending = asyncio.create_task(send(system, *call, **headers))
    await asyncio.sleep(0.1)
    await system.roll(bundle(2, timeout_ms=300))
    answer = await sending
    await silent
    return answer


async def ledger(system):
    address = system.processes_by_name["orders"].address
    return (await system.call(address, "GET", "/ledger"))["calls"]


# Guards against calls that are refused, or run twice, because the only address of their
# service gave no sign for a second.
@each_silence
@pytest.mark.parametrize("method, target", [("GET", STATUS), ("POST", ORDERS)])
async def test_call_waits_for_a_silent_service(system, silence_ms, method, target):
    status, _ = await send_in_a_silence(system, "orders", silence_ms, method, target)
    assert status == 200
    assert len(await ledger(system)) == 1
    assert await answers_cut(system) == {}


# Guards against the same where a key names the call, which its own VM runs or another.
@each_silence
@pytest.mark.parametrize("vm", ["vm1", "vm2"])
async def test_keyed_call_waits_for_a_silent_service(system, silence_ms, vm):
    _, _, answer = await Caller("parish-token").call(
        address_of(system), "GET", "/v1/address"
    )
    headers = {"idempotency-key": json.loads(answer)["idempotency_key"]}
    status, answer = await send_in_a_silence(
        system, "orders", silence_ms, "POST", ORDERS, vm, **headers
    )
    assert status == 200
    assert await send(system, "POST", ORDERS, "vm1", **headers) == (200, answer)
    assert len(await ledger(system)) == 1
    assert await answers_cut(system, vm) == {}


# Guards against forwarded calls that are refused because the VM of their key gave
# no sign for a second.
@each_silence
async def test_forwarded_call_waits_for_the_silent_vm_of_its_key(system, silence_ms):
    _, _, answer = await Caller("parish-token").call(
        address_of(system), "GET", "/v1/address"
    )
    headers = {"idempotency-key": json.loads(answer)["idempotency_key"]}
    async with asyncio.timeout(WAIT_SECONDS):
        while (await send(system, "GET", "/readyz", "vm2"))[1]["vms"] < 2:
            await asyncio.sleep(0.05)
    status, _ = await send_in_a_silence(
        system, "vm1", silence_ms, "POST", ORDERS, "vm2", **headers
    )
    assert status == 200
    assert len(await ledger(system)) == 1
    assert await answers_cut(system, "vm2") == {}


# Guards against callers that are told "not run" for a call that runs or ran, because a
# bundle left its service out meanwhile.
@pytest.mark.parametrize("silence_ms", [0, 1600])
async def test_repeat_of_a_keyed_call_is_answered_after_its_service_left_the_bundle(
    system, silence_ms
):
    headers = {"idempotency-key": "order-17"}
    silent = asyncio.create_task(
        system.processes_by_name["orders"].fall_silent(silence_ms)
    )
    await asyncio.sleep(0.05)
    first = asyncio.create_task(send(system, "POST", ORDERS, **headers))
    await asyncio.sleep(0.2)
    await system.roll(demo_bundle(2) | {"services": []})
    await system.wait_version(2)
    repeated = await send(system, "POST", ORDERS, **headers)
    assert repeated == await first
    assert repeated[0] == 200
    await silent
    assert len(await ledger(system)) == 1
    assert (await send(system, "POST", ORDERS))[0] == 404
