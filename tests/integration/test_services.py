"""Calls run at most once; the ledger of the stand-in service is the judge."""

import asyncio
import json

import pytest

from standins.caller import Caller
from standins.demo import demo_bundle

ORDERS = "/v1/services/orders/orders"
REPEATS = 20
WAIT_SECONDS = 20


@pytest.fixture
async def shop(deployment):
    """Two daemons before two addresses of the order service."""
    await deployment.start_platform()
    await deployment.start_service("orders")
    await deployment.start_service("orders2", "orders")
    await deployment.publish_vms()
    await deployment.start_daemons(2)
    await deployment.roll(demo_bundle(1))
    await deployment.wait_ready()
    return deployment


def daemon(shop, name="vm1"):
    return shop.ports_by_daemon[name].callers


async def book(shop, name="vm1", body=b"die", token="parish-token", **headers):
    """Book an order; return status and decoded answer (``None`` if cut)."""
    named = {key.replace("_", "-"): value for key, value in headers.items()}
    status, _, answer = await Caller(token).call(
        daemon(shop, name), "POST", ORDERS, body, **named
    )
    return status, json.loads(answer) if status else None


async def ledger(shop, *names):
    calls = []
    for name in names or ("orders", "orders2"):
        address = shop.processes_by_name[name].address
        calls += (await shop.call(address, "GET", "/ledger"))["calls"]
    return [call for call in calls if call["method"] == "POST"]


async def wait_for_calls(shop, count):
    async with asyncio.timeout(WAIT_SECONDS):
        while len(await ledger(shop)) < count:
            await asyncio.sleep(0.01)


async def faults(shop, **values):
    await shop.call(shop.platform, "POST", "/v1/faults", values)


async def issued_key(shop, name="vm1", token="parish-token"):
    _, _, answer = await Caller(token).call(daemon(shop, name), "GET", "/v1/address")
    return json.loads(answer)["idempotency_key"]


async def any_key(shop, kind):
    return await issued_key(shop) if kind == "issued" else "order-17"


keyed = pytest.mark.parametrize("kind", ["issued", "own"])


@keyed
async def test_repeat_of_a_lost_answer_never_runs_again(shop, kind):
    """A caller that repeats a lost order 20 times must not get a second order."""
    key = await any_key(shop, kind)
    for _ in range(REPEATS):
        status, answer = await book(shop, idempotency_key=key, x_cut="1")
        assert (status, answer["verdict"]) == (502, "may_have_run")
    assert len(await ledger(shop)) == 1


async def test_call_without_key_is_never_retried_after_it_was_sent(shop):
    """A lost answer must not be answered by a second run at the other address."""
    status, answer = await book(shop, x_cut="1")
    assert (status, answer["verdict"]) == (502, "may_have_run")
    assert len(await ledger(shop)) == 1


@keyed
async def test_repeats_get_the_kept_answer(shop, kind):
    """Repeats at the same time and later must all get the answer of the one run."""
    key = await any_key(shop, kind)
    send = [book(shop, idempotency_key=key, x_delay_ms="200") for _ in range(10)]
    answers = await asyncio.gather(*send)
    answers += [await book(shop, idempotency_key=key) for _ in range(10)]
    assert all(status == 200 for status, _ in answers)
    assert len({answer["number"] for _, answer in answers}) == 1
    assert len(await ledger(shop)) == 1


@keyed
async def test_other_request_with_the_same_key_is_refused(shop, kind):
    """A key used for one order must neither run nor answer another order."""
    key = await any_key(shop, kind)
    await book(shop, idempotency_key=key)
    for name in ("vm1", "vm2") if kind == "own" else ("vm1",):
        status, answer = await book(shop, name, b"other", idempotency_key=key)
        assert (status, answer["verdict"]) == (422, "not_run")
    assert [call["body"] for call in await ledger(shop)] == ["die"]


@keyed
async def test_same_key_at_another_vm_does_not_run_again(shop, kind):
    """The second VM cannot see the first one's answer and must not run the call."""
    key = await any_key(shop, kind)
    await book(shop, idempotency_key=key)
    status, answer = await book(shop, "vm2", idempotency_key=key)
    assert status == 200 or answer["verdict"] == "may_have_run"
    assert len(await ledger(shop)) == 1


@keyed
async def test_daemon_killed_after_dispatch(shop, kind):
    """Neither the other VM nor the restarted one may run the order again."""
    key = await any_key(shop, kind)
    first = asyncio.create_task(book(shop, idempotency_key=key, x_delay_ms="2000"))
    await wait_for_calls(shop, 1)
    shop.processes_by_name["vm1"].kill()
    assert (await first)[0] == 0
    await shop.processes_by_name["vm1"].process.wait()
    status, answer = await book(shop, "vm2", idempotency_key=key)
    assert (status, answer["verdict"]) == (502, "may_have_run")
    process = await shop.start_daemon("vm1")
    await shop.wait_status(process, "/readyz")
    status, answer = await book(shop, idempotency_key=key)
    assert (status, answer["verdict"]) == (502, "may_have_run")
    assert len(await ledger(shop)) == 1


async def test_forged_key_is_refused(shop):
    """A key with a wrong MAC, or of another account, must not start a call."""
    key = await issued_key(shop)
    forged = key[:-1] + ("0" if key[-1] != "0" else "1")
    for headers in ({"idempotency_key": forged}, {"token": "notary-token"}):
        status, answer = await book(shop, **{"idempotency_key": key, **headers})
        assert (status, answer["verdict"]) == (422, "not_run")
    assert await ledger(shop) == []


async def test_two_vms_race_with_one_key(shop):
    """Two VMs that claim one key at the same moment must run it once."""
    for index in range(REPEATS):
        key, body = f"race-{index}", f"die {index}".encode()
        answers = await asyncio.gather(
            *(book(shop, vm, body, idempotency_key=key) for vm in ("vm1", "vm2") * 2)
        )
        assert any(status == 200 for status, _ in answers)
        verdicts = {answer.get("verdict", "ran") for _, answer in answers}
        assert verdicts <= {"ran", "may_have_run"}
    bodies = [call["body"] for call in await ledger(shop)]
    assert sorted(bodies) == sorted(f"die {index}" for index in range(REPEATS))


async def test_store_out(shop):
    """Without the store a caller's key is refused at once; an issued key works."""
    issued = await issued_key(shop)
    await faults(shop, outage=True)
    status, answer = await book(shop, idempotency_key="k")
    assert (status, answer["verdict"]) == (503, "not_run")
    assert answer["retry_after_ms"] > 0
    assert await ledger(shop) == []
    assert (await book(shop, idempotency_key=issued))[0] == 200
    await faults(shop)
    status = 503
    async with asyncio.timeout(WAIT_SECONDS):
        while status == 503:
            status, _ = await book(shop, idempotency_key="k", body=b"after")
            await asyncio.sleep(0.02)
    bodies = [call["body"] for call in await ledger(shop)]
    assert sorted(bodies) == ["after", "die"]


@pytest.mark.parametrize("lost", [1, 3, 50])
async def test_reply_of_the_claim_is_lost(shop, lost):
    """A claim that was written although its reply was lost must run exactly once."""
    await faults(shop, lose_replies=lost)
    status, answer = await book(shop, idempotency_key="k")
    assert status == 200
    for vm in ("vm1", "vm2"):
        await book(shop, vm, idempotency_key="k")
    assert len(await ledger(shop)) == 1


@keyed
async def test_service_killed_while_it_runs_an_order(shop, kind):
    """The other address of the service must not get an order that may have run."""
    key = await any_key(shop, kind)
    running = asyncio.create_task(book(shop, idempotency_key=key, x_delay_ms="2000"))
    await wait_for_calls(shop, 1)
    names = ["orders", "orders2"]
    victim = names[0] if await ledger(shop, "orders") else names[1]
    other = next(name for name in names if name != victim)
    shop.processes_by_name[victim].kill()
    status, answer = await running
    assert (status, answer["verdict"]) == (502, "may_have_run")
    for _ in range(REPEATS):
        status, answer = await book(shop, idempotency_key=key)
        assert (status, answer["verdict"]) == (502, "may_have_run")
    assert await ledger(shop, other) == []


async def test_dead_address_costs_no_call(shop):
    """No byte reaches a dead address, so the call goes on to the other one."""
    shop.processes_by_name["orders"].kill()
    await shop.processes_by_name["orders"].process.wait()
    for index in range(REPEATS):
        status, _ = await book(shop, idempotency_key=f"k{index}")
        assert status == 200
    assert len(await ledger(shop, "orders2")) == REPEATS


async def test_shutdown_waits_for_calls_in_flight(shop):
    """A graceful shutdown must not cut an order that is running."""
    running = asyncio.create_task(book(shop, x_delay_ms="500"))
    await wait_for_calls(shop, 1)
    assert await shop.processes_by_name["vm1"].terminate() == 0
    status, _ = await running
    assert status == 200


async def test_query_and_headers_are_relayed_without_the_token(shop):
    """The service sees the account and the query, never the caller's token."""
    target = "/v1/services/orders/orders?a=1&a=2&b=%2Fx"
    status, _, answer = await Caller("parish-token").call(
        daemon(shop), "POST", target, b"", **{"x-client-account": "forged", "te": "x"}
    )
    assert status == 200
    seen = (await ledger(shop))[0]
    assert seen["account"] == "parish"
    assert seen["target"] == "/orders?a=1&a=2&b=%2Fx"
    assert "authorization" not in seen["headers"]
    assert "te" not in seen["headers"]
