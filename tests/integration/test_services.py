"""Calls run at most once, as checked in the ledger of the service stand-in."""

import asyncio
import json

import pytest

from standins.caller import Caller
from standins.demo import demo_bundle

ORDERS = "/v1/services/orders/orders"
REPEATS = 20
WAIT_SECONDS = 20


@pytest.fixture
async def system(deployment):
    """Two daemons and two addresses of the order service."""
    await deployment.start_platform()
    await deployment.start_service("orders")
    await deployment.start_service("orders2", "orders")
    await deployment.publish_vms()
    await deployment.start_daemons(2)
    await deployment.roll(demo_bundle(1))
    await deployment.wait_ready()
    return deployment


def daemon(system, name="vm1"):
    return system.ports_by_daemon[name].callers


async def place_order(system, name="vm1", body=b"die", token="parish-token", **headers):
    """Place an order; return the status and the decoded answer.

    Without a response they are 0 and ``None``.
    """
    named = {key.replace("_", "-"): value for key, value in headers.items()}
    status, _, answer = await Caller(token).call(
        daemon(system, name), "POST", ORDERS, body, **named
    )
    return status, json.loads(answer) if status else None


async def ledger(system, *names):
    calls = []
    for name in names or ("orders", "orders2"):
        address = system.processes_by_name[name].address
        calls += (await system.call(address, "GET", "/ledger"))["calls"]
    return [call for call in calls if call["method"] == "POST"]


async def wait_for_calls(system, count):
    async with asyncio.timeout(WAIT_SECONDS):
        while len(await ledger(system)) < count:
            await asyncio.sleep(0.01)


async def set_platform_faults(system, **values):
    await system.call(system.platform, "POST", "/v1/faults", values)


async def issued_key(system, name="vm1", token="parish-token"):
    _, _, answer = await Caller(token).call(daemon(system, name), "GET", "/v1/address")
    return json.loads(answer)["idempotency_key"]


async def key_of_kind(system, kind):
    return await issued_key(system) if kind == "issued" else "order-17"


each_key_kind = pytest.mark.parametrize("kind", ["issued", "own"])


@each_key_kind
async def test_repeat_of_a_lost_answer_never_runs_again(system, kind):
    """A caller that repeats a lost order 20 times must not get a second order."""
    key = await key_of_kind(system, kind)
    for _ in range(REPEATS):
        status, answer = await place_order(system, idempotency_key=key, x_cut="1")
        assert (status, answer["verdict"]) == (502, "may_have_run")
    assert len(await ledger(system)) == 1


async def test_call_without_key_is_never_retried_after_it_was_sent(system):
    """A call whose answer was lost must not run again at the other address."""
    status, answer = await place_order(system, x_cut="1")
    assert (status, answer["verdict"]) == (502, "may_have_run")
    assert len(await ledger(system)) == 1


@each_key_kind
async def test_repeats_get_the_kept_answer(system, kind):
    """Concurrent and later repeats must all get the answer of the one run."""
    key = await key_of_kind(system, kind)
    send = [
        place_order(system, idempotency_key=key, x_delay_ms="200") for _ in range(10)
    ]
    answers = await asyncio.gather(*send)
    answers += [await place_order(system, idempotency_key=key) for _ in range(10)]
    assert all(status == 200 for status, _ in answers)
    assert len({answer["number"] for _, answer in answers}) == 1
    assert len(await ledger(system)) == 1


@each_key_kind
async def test_other_request_with_the_same_key_is_refused(system, kind):
    """A key used for one order must neither run nor answer another order."""
    key = await key_of_kind(system, kind)
    await place_order(system, idempotency_key=key)
    for name in ("vm1", "vm2") if kind == "own" else ("vm1",):
        status, answer = await place_order(system, name, b"other", idempotency_key=key)
        assert (status, answer["verdict"]) == (422, "not_run")
    assert [call["body"] for call in await ledger(system)] == ["die"]


@each_key_kind
async def test_same_key_at_another_vm_does_not_run_again(system, kind):
    """The second VM does not have the first one's answer and must not run the call."""
    key = await key_of_kind(system, kind)
    await place_order(system, idempotency_key=key)
    status, answer = await place_order(system, "vm2", idempotency_key=key)
    assert status == 200 or answer["verdict"] == "may_have_run"
    assert len(await ledger(system)) == 1


@each_key_kind
async def test_call_of_a_killed_daemon_does_not_run_again(system, kind):
    """Neither the other VM nor the restarted one may run the order again."""
    key = await key_of_kind(system, kind)
    first = asyncio.create_task(
        place_order(system, idempotency_key=key, x_delay_ms="2000")
    )
    await wait_for_calls(system, 1)
    system.processes_by_name["vm1"].kill()
    assert (await first)[0] == 0
    await system.processes_by_name["vm1"].process.wait()
    status, answer = await place_order(system, "vm2", idempotency_key=key)
    assert (status, answer["verdict"]) == (502, "may_have_run")
    process = await system.start_daemon("vm1")
    await system.wait_status(process, "/readyz")
    status, answer = await place_order(system, idempotency_key=key)
    assert (status, answer["verdict"]) == (502, "may_have_run")
    assert len(await ledger(system)) == 1


async def test_forged_key_is_refused(system):
    """A key with a wrong MAC, or of another account, must not start a call."""
    key = await issued_key(system)
    forged = key[:-1] + ("0" if key[-1] != "0" else "1")
    for headers in ({"idempotency_key": forged}, {"token": "notary-token"}):
        status, answer = await place_order(
            system, **{"idempotency_key": key, **headers}
        )
        assert (status, answer["verdict"]) == (422, "not_run")
    assert await ledger(system) == []


async def test_concurrent_calls_with_one_key_at_two_vms_run_once(system):
    """Two VMs that claim one key at the same time must run the call once."""
    for index in range(REPEATS):
        key, body = f"race-{index}", f"die {index}".encode()
        answers = await asyncio.gather(
            *(
                place_order(system, vm, body, idempotency_key=key)
                for vm in ("vm1", "vm2") * 2
            )
        )
        assert any(status == 200 for status, _ in answers)
        verdicts = {answer.get("verdict", "ran") for _, answer in answers}
        assert verdicts <= {"ran", "may_have_run"}
    bodies = [call["body"] for call in await ledger(system)]
    assert sorted(bodies) == sorted(f"die {index}" for index in range(REPEATS))


async def test_store_outage_refuses_own_keys_but_not_issued_ones(system):
    """Without the store a caller's key is refused at once; an issued key works."""
    issued = await issued_key(system)
    await set_platform_faults(system, outage=True)
    status, answer = await place_order(system, idempotency_key="k")
    assert (status, answer["verdict"]) == (503, "not_run")
    assert answer["retry_after_ms"] > 0
    assert await ledger(system) == []
    assert (await place_order(system, idempotency_key=issued))[0] == 200
    await set_platform_faults(system)
    status = 503
    async with asyncio.timeout(WAIT_SECONDS):
        while status == 503:
            status, _ = await place_order(system, idempotency_key="k", body=b"after")
            await asyncio.sleep(0.02)
    bodies = [call["body"] for call in await ledger(system)]
    assert sorted(bodies) == ["after", "die"]


@pytest.mark.parametrize("lost", [1, 3, 50])
async def test_call_runs_once_when_the_reply_to_its_claim_is_lost(system, lost):
    """A claim that was written although its reply was lost must run exactly once."""
    await set_platform_faults(system, lose_replies=lost)
    status, answer = await place_order(system, idempotency_key="k")
    assert status == 200
    for vm in ("vm1", "vm2"):
        await place_order(system, vm, idempotency_key="k")
    assert len(await ledger(system)) == 1


@each_key_kind
async def test_order_of_a_killed_service_is_not_sent_elsewhere(system, kind):
    """The other address of the service must not get an order that may have run."""
    key = await key_of_kind(system, kind)
    running = asyncio.create_task(
        place_order(system, idempotency_key=key, x_delay_ms="2000")
    )
    await wait_for_calls(system, 1)
    names = ["orders", "orders2"]
    victim = names[0] if await ledger(system, "orders") else names[1]
    other = next(name for name in names if name != victim)
    system.processes_by_name[victim].kill()
    status, answer = await running
    assert (status, answer["verdict"]) == (502, "may_have_run")
    for _ in range(REPEATS):
        status, answer = await place_order(system, idempotency_key=key)
        assert (status, answer["verdict"]) == (502, "may_have_run")
    assert await ledger(system, other) == []


async def test_call_to_a_dead_address_goes_to_the_other_one(system):
    """A dead address receives no byte, so the call may go to the other address."""
    system.processes_by_name["orders"].kill()
    await system.processes_by_name["orders"].process.wait()
    for index in range(REPEATS):
        status, _ = await place_order(system, idempotency_key=f"k{index}")
        assert status == 200
    assert len(await ledger(system, "orders2")) == REPEATS


async def test_shutdown_waits_for_calls_in_flight(system):
    """A graceful shutdown must not cut an order that is running."""
    running = asyncio.create_task(place_order(system, x_delay_ms="500"))
    await wait_for_calls(system, 1)
    assert await system.processes_by_name["vm1"].terminate() == 0
    status, _ = await running
    assert status == 200


async def test_query_and_headers_are_relayed_without_the_token(system):
    """The service must receive the account and the query, never the caller's token."""
    target = "/v1/services/orders/orders?a=1&a=2&b=%2Fx"
    status, _, answer = await Caller("parish-token").call(
        daemon(system), "POST", target, b"", **{"x-client-account": "forged", "te": "x"}
    )
    assert status == 200
    seen = (await ledger(system))[0]
    assert seen["account"] == "parish"
    assert seen["target"] == "/orders?a=1&a=2&b=%2Fx"
    assert "authorization" not in seen["headers"]
    assert "te" not in seen["headers"]
