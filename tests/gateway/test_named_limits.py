"""Targets that name how many requests a second they take from all VMs together."""

import asyncio
import itertools
import random

import pytest

# The stated rule: in each 4 s, one and a half times what the limit allows and 5 more.
WINDOW_S = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_MORE = 5
# A VM that knows of a limit for this long must keep to it.
KNOWN_S = 0.5
RUN_S = 5.5
# Stated target: a request that can't be served is refused at once.
AT_ONCE_S = 0.25
VMS = ("vm-1", "vm-2", "vm-3")


def most_in_a_window(arrivals, since):
    """Return the largest number of arrivals in a window that begins after a time."""
    times = [time for time in arrivals if time >= since]
    return max(
        (sum(start <= time < start + WINDOW_S for time in times) for start in times),
        default=0,
    )


def allowed(limit_per_s):
    return ALLOWED_FACTOR * WINDOW_S * limit_per_s + ALLOWED_MORE


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


@pytest.fixture
async def fleet(site):
    """Return a site with three gateways that know each other."""
    for vm in VMS[1:]:
        await site.add_gateway(vm)
    gateways = site.gateways.values()
    await site.until(lambda: all(len(g.state.members) == len(VMS) for g in gateways), 8)
    return site


def caller(fleet):
    """Return a coroutine function that calls one VM after the other."""
    vms = itertools.cycle(VMS)

    async def call():
        loop = asyncio.get_running_loop()
        started = loop.time()
        status, headers, _ = await fleet.call("GET", "/status/x", vm=next(vms))
        return status, headers, loop.time() - started

    return call


# Guards against a back end that gets far more requests than the limit that it named.
async def test_target_gets_no_more_calls_than_it_named(fleet):
    limited = fleet.targets["desk-a"]
    limited.limit_per_s = 2.0
    await send_for(1.0, 15, caller(fleet))
    known_at = asyncio.get_running_loop().time() + KNOWN_S
    results = await send_for(RUN_S, 30, caller(fleet))
    assert most_in_a_window(limited.arrivals, known_at) <= allowed(2.0)
    assert [status for status, _, _ in results] == [200] * len(results)


# Guards against the same for the runner that begins the chains of streams.
async def test_runner_gets_no_more_streams_than_it_named(fleet):
    limited = fleet.targets["runner-a0"]
    limited.limit_per_s = 2.0
    vms = itertools.cycle(VMS)

    async def stream():
        response = await fleet.open_stream(vm=next(vms), events=10)
        return response.status, (await response.read()).count(b"data: ")

    await send_for(1.0, 15, stream)
    known_at = asyncio.get_running_loop().time() + KNOWN_S
    results = await send_for(RUN_S, 20, stream)
    assert most_in_a_window(limited.arrivals, known_at) <= allowed(2.0)
    assert results == [(200, 10)] * len(results)


# Guards against callers that wait for targets whose limits leave nothing for them.
async def test_calls_beyond_all_limits_are_refused_at_once(fleet):
    desks = [fleet.targets["desk-a"], fleet.targets["desk-b"]]
    for desk in desks:
        desk.limit_per_s = 2.0
    await send_for(1.0, 15, caller(fleet))
    known_at = asyncio.get_running_loop().time() + KNOWN_S
    results = await send_for(RUN_S, 30, caller(fleet))
    for desk in desks:
        assert most_in_a_window(desk.arrivals, known_at) <= allowed(2.0)
    refused = [item for item in results if item[0] == 503]
    assert refused and len(refused) < len(results)
    assert all(float(headers["retry-after"]) > 0 for _, headers, _ in refused)
    assert sorted(waited for _, _, waited in refused)[len(refused) // 2] < AT_ONCE_S
