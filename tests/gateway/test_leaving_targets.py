"""Targets that say in their answers that they leave, whatever the list says."""

import asyncio

import pytest

from heathershunt.http import Response

# Stated target: a request that can't be served is refused at once.
AT_ONCE_S = 0.25


async def call(site, count=1, path="/status/x", **options):
    """Send calls one after the other; return their statuses."""
    return [(await site.call("GET", path, **options))[0] for _ in range(count)]


async def stream(site, events=10, **options):
    """Return the status of a stream and the number of its events."""
    response = await site.open_stream(events=events, **options)
    return response.status, (await response.read()).count(b"data: ")


async def leave_by_answer(site, target, send):
    """Let a target say that it leaves, and wait until an answer of it has said it."""
    target.says_leaving = True
    known = len(target.received)
    async with asyncio.timeout(5):
        while len(target.received) == known:
            await send(site)
    return len(target.received)


async def refused(site, send):
    """Return the headers of a refusal, which must come at once."""
    started = asyncio.get_running_loop().time()
    status, headers = await send
    assert status == 503
    assert asyncio.get_running_loop().time() - started < AT_ONCE_S
    return headers


async def head_of(response):
    head = response.status, response.headers
    await response.read()
    return head


# Guards against requests that reach a target which has said that it leaves, while the
# list still calls it live and the store does not answer.
async def test_target_that_leaves_by_its_answer_gets_no_more_calls(site):
    leaving = site.targets["desk-a"]
    site.store.is_down = True

    async def call_open(site):
        return await call(site, path="/open/x")

    known = await leave_by_answer(site, leaving, call_open)
    assert await call(site, 20, "/open/x") == [200] * 20
    site.store.is_down = False
    leaving.register()
    await asyncio.sleep(0.5)
    assert await call(site, 20, "/open/x") == [200] * 20
    assert len(leaving.received) == known


# Guards against the same for the first runner of chains, and for its later ones.
@pytest.mark.parametrize("name", ["runner-a0", "runner-a2"])
async def test_runner_that_leaves_by_its_answer_gets_no_more_streams(site, name):
    leaving = site.targets[name]
    leaving.says_leaving = True
    runner = site.gateways["vm-1"].state.registry.get(name)
    # Only first runners answer streams; a report tells it of all others.
    await site.gateways["vm-1"].relay_context.runners.report(runner, 500)
    assert [await stream(site) for _ in range(10)] == [(200, 10)] * 10
    chains = {chain for run in site.runs() for chain in run.chains}
    assert chains and all(leaving.address not in chain for chain in chains)


# Guards against a word that is read in successes only.
@pytest.mark.parametrize("status", [200, 400, 500, 503])
async def test_word_is_read_in_every_kind_of_answer(site, status):
    leaving = site.targets["desk-a"]
    headers = {"heathershunt-not-executed": "1"} if status == 503 else {}
    leaving.answer = lambda request: Response(status, headers)
    known = await leave_by_answer(site, leaving, call)
    await call(site, 20)
    assert len(leaving.received) == known


# Guards against an order or a report whose word is dropped with its failure.
async def test_word_is_read_in_failed_orders_and_reports(site):
    gateway = site.gateways["vm-1"]
    runners = gateway.relay_context.runners
    for name, send in (
        ("runner-a0", lambda r: runners.place(r, r.held, 999, 1)),
        ("runner-a1", lambda r: runners.report(r, 500)),
    ):
        site.targets[name].says_leaving = True
        runner = gateway.state.registry.get(name)
        await send(runner)
        assert gateway.availability.is_leaving(runner)


# Guards against streams that are cut because the runner below them leaves.
async def test_stream_on_a_leaving_runner_goes_on_to_its_end(site):
    for name in ("runner-a0", "runner-b0"):
        site.targets[name].says_leaving = True
    assert await stream(site, events=60) == (200, 60)


# Guards against a first runner that leaves, so that a later one can't be replaced in
# a stream that runs.
async def test_later_runner_is_replaced_under_a_leaving_first_one(site):
    for name in ("runner-a0", "runner-b0"):
        site.targets[name].says_leaving = True
    reading = asyncio.create_task(stream(site, events=120))
    await asyncio.sleep(0.2)
    run = site.runs()[-1]
    last = run.chains[-1].split(",")[-1].partition("=")[0]
    await site.fleet[last].stop()
    assert await reading == (200, 120)


# Guards against a wait until the deadline where all targets of a service leave.
async def test_call_is_refused_at_once_when_all_targets_leave(site):
    for name in ("desk-a", "desk-b"):
        await leave_by_answer(site, site.targets[name], call)

    async def send():
        status, headers, _ = await site.call("GET", "/status/x")
        return status, headers

    headers = await refused(site, send())
    assert float(headers["retry-after"]) >= 1.0


async def test_stream_is_refused_at_once_when_all_first_runners_leave(site):
    for name in ("runner-a0", "runner-b0"):
        site.targets[name].says_leaving = True
    await stream(site)
    await stream(site)

    async def send():
        return await head_of(await site.open_stream())

    headers = await refused(site, send())
    assert float(headers["retry-after"]) >= 1.0


# Guards against a target that stays left alone after it was started anew.
async def test_target_started_anew_is_not_bound_by_the_earlier_word(site):
    target = site.targets["desk-a"]
    known = await leave_by_answer(site, target, call)
    target.says_leaving = False
    target.born += 5000
    target.register()
    registry = site.gateways["vm-1"].state.registry
    await site.until(lambda: registry.get("desk-a").incarnation == target.born)
    await call(site, 10)
    assert len(target.received) > known


# Guards against an old copy of an entry that brings a leaving target back.
async def test_leaving_target_that_is_listed_again_stays_left_alone(site):
    target = site.targets["desk-a"]
    known = await leave_by_answer(site, target, call)
    registry = site.gateways["vm-1"].state.registry
    site.store.remove("servers/desk-a")
    await site.until(lambda: registry.get("desk-a") is None)
    target.register()
    await site.until(lambda: registry.get("desk-a") is not None)
    assert await call(site, 10) == [200] * 10
    assert len(target.received) == known


# Guards against the word of a process that only has the address of an earlier one.
async def test_word_of_another_process_at_the_address_is_not_taken(site):
    gateway = site.gateways["vm-1"]
    other = site.targets["desk-a"]
    other.says_leaving = True
    registry = gateway.state.registry
    listed = registry.get("desk-a")
    other.id = "another"
    await call(site, 10)
    assert not gateway.availability.is_leaving(listed)


# Guards against a resumed stream that goes back to a runner that leaves.
async def test_stream_is_not_resumed_on_a_leaving_runner(site):
    leaving = site.targets["runner-a0"]
    leaving.says_leaving = True
    runner = site.gateways["vm-1"].state.registry.get("runner-a0")
    await site.gateways["vm-1"].relay_context.runners.report(runner, 500)
    known = len(leaving.received)
    for _ in range(8):
        resumed = await site.open_stream(events=20, last_event_id="10")
        assert (await resumed.read()).count(b"data: ") == 10
    assert len(leaving.received) == known


# Guards against a VM that, started anew, keeps sending to a leaving target.
async def test_vm_started_anew_learns_by_its_first_answer(site):
    leaving = site.targets["desk-a"]
    await leave_by_answer(site, leaving, call)
    site.gateways.pop("vm-1").stop_now()
    await site.add_gateway("vm-1")
    known = len(leaving.received)
    await call(site, 20)
    assert len(leaving.received) <= known + 1


# Guards against layers that nobody takes over, as their runner is listed as live.
async def test_layers_of_a_leaving_runner_are_planned_for_others(site):
    gateway = site.gateways["vm-1"]
    runner = gateway.state.registry.get("runner-a0")
    site.targets["runner-a0"].says_leaving = True
    await gateway.relay_context.runners.report(runner, 500)
    assert runner not in gateway.placer._runners("engine")


# Guards against logs and metrics that don't say why a target was passed over.
async def test_reason_is_logged_and_counted(site):
    gateway = site.gateways["vm-1"]
    events = []
    gateway.relay_context.events.add_observer(events.append)
    await leave_by_answer(site, site.targets["desk-a"], call)
    await call(site, 3)
    names = [event.name for event in events]
    assert "target_leaving" in names
    passed = next(event for event in events if event.name == "passed_over")
    assert passed.reasons == ("desk-a: leaving by its answer",)
    text = gateway.metrics.render()[0].decode()
    assert "heathershunt_gateway_leaving_targets 1" in text
    assert 'event="target_leaving"' in text
