"""Targets that turn requests away and ask for a pause."""

import asyncio
import itertools
import random

import pytest

from heathershunt.clock import SystemClock

# The stated rule: no more than two requests of a machine reach a target between half a
# second after it asked that machine for a pause and the end of the pause.
SLACK_S = 0.5
ALLOWED = 2
# Stated target: a request that can't be served is refused at once.
AT_ONCE_S = 0.25
VMS = ("vm-1", "vm-2", "vm-3")


@pytest.fixture
async def fleet(site):
    """Return a site with three gateways that know each other."""
    for vm in VMS[1:]:
        await site.add_gateway(vm)
    gateways = site.gateways.values()
    await site.until(lambda: all(len(g.state.members) == len(VMS) for g in gateways), 8)
    return site


async def call(site, vm="vm-1", path="/status/x", **options):
    """Send one call; return its status, its headers and the time that it took."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    status, headers, _ = await site.call("GET", path, vm=vm, **options)
    return status, headers, loop.time() - started


async def stream(site, vm="vm-1", **options):
    loop = asyncio.get_running_loop()
    started = loop.time()
    response = await site.open_stream(vm=vm, events=5, **options)
    waited = loop.time() - started
    await response.read()
    return response.status, response.headers, waited


async def send_for(seconds, per_s, send):
    """Send requests at random moments; return their results."""
    source = random.Random(1)
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    tasks = []
    while loop.time() < end:
        tasks.append(asyncio.create_task(send()))
        await asyncio.sleep(source.expovariate(per_s))
    return await asyncio.gather(*tasks)


def most_in_a_pause(target, pause_s, vm_of):
    """Return the most requests of one VM that reached a target within a pause.

    :param vm_of: returns the VM that a request with an id was sent to.
    """
    by_vm = {}
    for at, request_id in target.received:
        by_vm.setdefault(vm_of(request_id), []).append(at)
    return max(
        sum(asked + SLACK_S < at < asked + pause_s for at in times)
        for times in by_vm.values()
        for asked in times
    )


def sender(site, send):
    """Return a coroutine function that sends to one VM after the other."""
    vms = itertools.cycle(VMS)
    numbers = itertools.count()

    async def send_next():
        vm = next(vms)
        request_id = f"{vm}/{next(numbers)}"
        return await send(site, vm, heathershunt_request_id=request_id)

    return send_next


def vm_of(request_id):
    return request_id.partition("/")[0]


# Guards against a target that is sent requests although it asked for a pause, at full
# load and from several VMs.
@pytest.mark.parametrize("pause_s", [0.5, 1.0, 3.0, 20.0])
async def test_target_gets_nothing_within_its_pause(fleet, pause_s):
    pausing = fleet.targets["desk-a"]
    pausing.pause_s = pause_s
    results = await send_for(3.0, 60, sender(fleet, call))
    assert [status for status, _, _ in results] == [200] * len(results)
    assert most_in_a_pause(pausing, pause_s, vm_of) <= ALLOWED


# Guards against the same for the runner that begins the chains of streams.
@pytest.mark.parametrize("pause_s", [1.0, 20.0])
async def test_runner_gets_no_streams_within_its_pause(fleet, pause_s):
    pausing = fleet.targets["runner-a0"]
    pausing.pause_s = pause_s
    results = await send_for(3.0, 30, sender(fleet, stream))
    assert [status for status, _, _ in results] == [200] * len(results)
    assert most_in_a_pause(pausing, pause_s, vm_of) <= ALLOWED


# Guards against a pause that doesn't end, and a target that then stays empty.
async def test_target_is_used_again_after_its_pause(site):
    pausing = site.targets["desk-a"]
    pausing.pause_s = 0.6
    for _ in range(5):
        await call(site)
    known = len(pausing.received)
    pausing.pause_s = None
    await send_for(1.5, 30, lambda: call(site))
    assert len(pausing.received) > known


# Guards against callers that wait for the end of a pause up to their deadline, and that
# come back while it still lasts.
async def test_call_is_refused_at_once_when_all_targets_pause(site):
    for name in ("desk-a", "desk-b"):
        site.targets[name].pause_s = 2.0
    asked_at = asyncio.get_running_loop().time()
    await call(site)
    await call(site)
    results = await send_for(1.0, 30, lambda: call(site))
    assert {status for status, _, _ in results} == {503}
    assert all(waited < AT_ONCE_S for _, _, waited in results)
    for name in ("desk-a", "desk-b"):
        assert len(site.targets[name].received) == 1
    status, headers, _ = await call(site)
    back_at = asyncio.get_running_loop().time() + float(headers["retry-after"])
    assert asked_at + 2.0 <= back_at + 0.05 < asked_at + 3.0
    for name in ("desk-a", "desk-b"):
        site.targets[name].pause_s = None
    await asyncio.sleep(float(headers["retry-after"]))
    assert (await call(site))[0] == 200


async def test_stream_is_refused_at_once_when_all_first_runners_pause(site):
    heads = [site.targets[name] for name in ("runner-a0", "runner-b0")]
    for head in heads:
        head.pause_s = 2.0
    await stream(site)
    results = await send_for(1.0, 30, lambda: stream(site))
    assert {status for status, _, _ in results} == {503}
    assert all(waited < AT_ONCE_S for _, _, waited in results)
    assert [len(head.received) for head in heads] == [1, 1]
    status, headers, _ = await stream(site)
    assert 0.5 <= float(headers["retry-after"]) <= 2.6
    for head in heads:
        head.pause_s = None
    await asyncio.sleep(float(headers["retry-after"]))
    assert (await stream(site))[0] == 200


# Guards against a service that stays empty for longer than its targets asked.
async def test_small_service_is_used_as_soon_as_the_first_pause_ends(site):
    desks = [site.targets[name] for name in ("desk-a", "desk-b")]
    for desk in desks:
        desk.pause_s = 1.0
    await call(site)
    ended_at = asyncio.get_running_loop().time() + 1.0
    for desk in desks:
        desk.pause_s = None
    async with asyncio.timeout(3):
        while (await call(site))[0] != 200:
            await asyncio.sleep(0.01)
    assert asyncio.get_running_loop().time() < ended_at + 0.2


# Guards against kept connections over which requests reach a target in its pause.
async def test_kept_connection_of_a_caller_does_not_reach_a_paused_target(site):
    pausing = site.targets["desk-a"]
    pausing.pause_s = 3.0
    address = site.gateways["vm-1"].config.listeners.callers
    statuses = []
    for _ in range(20):
        outcome = await site.client.request(
            address, "GET", "/status/x", headers=site.headers()
        )
        response = outcome.unwrap()
        await response.read()
        statuses.append(response.status)
    assert statuses == [200] * 20
    assert len(pausing.received) == 1


# Guards against a wall clock whose steps end or lengthen a pause.
@pytest.mark.parametrize("step_ms", [-3_600_000, 3_600_000])
async def test_step_of_the_wall_clock_does_not_change_a_pause(
    site, monkeypatch, step_ms
):
    pausing = site.targets["desk-a"]
    pausing.pause_s = 1.0
    for _ in range(3):
        await call(site)
    wall = SystemClock.wall
    monkeypatch.setattr(SystemClock, "wall", lambda self: wall(self) + step_ms)
    await send_for(0.6, 30, lambda: call(site))
    assert len(pausing.received) == 1
    pausing.pause_s = None
    await asyncio.sleep(0.8)
    await send_for(0.5, 30, lambda: call(site))
    assert len(pausing.received) > 1


# Guards against a malformed value that keeps a target from being used.
@pytest.mark.parametrize(
    "value", ["-5", "1e9", "999999999999", "soon", "Fri, 31 Dec 2027 23:59:59 GMT", ""]
)
async def test_malformed_pause_is_ignored(site, value):
    target = site.targets["desk-a"]
    target.pause_s = value
    for _ in range(4):
        assert (await call(site))[0] == 200
    target.pause_s = None
    known = len(target.received)
    for _ in range(10):
        assert (await call(site))[0] == 200
    assert len(target.received) > known


# Guards against polls that reach a runner only because it asked for a pause.
async def test_runner_is_not_polled_because_it_asked_for_a_pause(site):
    pausing = site.targets["runner-a0"]
    other = site.targets["runner-b0"]
    reports = []
    for target in (pausing, other):
        report = target._report

        def count(target=target, report=report):
            reports.append(target.id)
            return report()

        target._report = count
    pausing.pause_s = 5.0
    for _ in range(5):
        await stream(site)
    assert "runner-a0" not in reports


# Guards against logs and metrics that don't say why a target was passed over.
async def test_reason_is_logged_and_counted(site):
    gateway = site.gateways["vm-1"]
    events = []
    gateway.relay_context.events.add_observer(events.append)
    site.targets["desk-a"].pause_s = 3.0
    for _ in range(3):
        await call(site)
    paused = next(event for event in events if event.name == "target_paused")
    passed = next(event for event in events if event.name == "passed_over")
    assert passed.reasons == (f"desk-a: paused until {paused.until}",)
    text = gateway.metrics.render()[0].decode()
    assert "heathershunt_gateway_paused_targets 1" in text
    assert 'event="target_paused"' in text
