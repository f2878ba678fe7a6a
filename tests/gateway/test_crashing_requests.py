"""Requests that crash the runner that begins to write an answer on them."""

import asyncio
import itertools

import pytest

DEADLY = "dead0000"
SHARED = "5c1e07a2"
# Stated target: at most five crashes until the system knows the part.
MAX_CRASHES = 5
# Stated target: at most three crashes until the system knows a single request.
MAX_CRASHES_OF_ONE = 3

_own_parts = itertools.count(1)


def prompt(*parts):
    """Return the header field for a prompt with these parts and one of its own."""
    ids = [*parts, f"{next(_own_parts):08x}"]
    return ",".join(f"{part}:40" for part in ids)


async def add_first_runners(site, count=8):
    """Add runners that begin chains, all of which crash at the deadly part."""
    for number in range(count):
        name = f"first-{number}"
        await site.add_target(name, "engine", "ab"[number % 2], "large", (0, 40))
    registry = site.gateways["vm-1"].state.registry
    await site.until(lambda: len(registry.of_service("engine")) == 6 + count)
    for target in site.targets.values():
        target.deadly_part = DEADLY


async def send(site, *parts, **changes):
    """Send one stream; return the status, the headers and whether it was complete."""
    response = await site.open_stream(
        events=5, heathershunt_prompt_prefix=prompt(*parts), **changes
    )
    try:
        body = await response.read()
    except OSError:
        return response.status, response.headers, False
    return response.status, response.headers, body.count(b"data: ") == 5


def crashes(site):
    return sum(target.is_unresponsive for target in site.targets.values())


# Guards against requests with one part that crash back ends one after the other.
async def test_part_that_crashes_runners_stops_reaching_them(site):
    await add_first_runners(site)
    sound = []
    for _ in range(12):
        await send(site, SHARED, DEADLY)
        sound.append(await send(site, SHARED))
        await asyncio.sleep(0.02)
    assert crashes(site) <= MAX_CRASHES
    assert all(status == 200 and is_complete for status, _, is_complete in sound)
    status, headers, _ = await send(site, SHARED, DEADLY)
    assert status == 503
    assert float(headers["retry-after"]) > 0


# Guards against streams that name no part of their prompt, of which nothing is known.
async def test_stream_without_parts_stops_reaching_runners(site):
    await add_first_runners(site)
    for target in site.targets.values():
        target.deadly_body = b"prompt"
    outcomes = [await send_whole(site) for _ in range(6)]
    assert crashes(site) <= MAX_CRASHES
    assert outcomes[-1] == 503


# Guards against a stream that ends runner after runner and is never blocked, as sound
# streams of its session clear all parts of its prompt.
async def test_stream_of_a_session_stops_reaching_runners(site):
    await add_first_runners(site)
    for target in site.targets.values():
        target.deadly_body = b"deadly"
    session = {"heathershunt_prompt_prefix": f"{SHARED}:40,0051be55:700"}
    sound = []
    for number in range(6):
        body = b"sound %d" % number
        sound.append(await send_whole(site, body=body, **session))
        status = await send_whole(site, body=b"deadly", **session)
    assert crashes(site) <= MAX_CRASHES_OF_ONE
    assert status == 503
    assert sound == [200] * len(sound)


async def send_whole(site, events=5, **changes):
    """Send one stream; return its status, 0 if it was not complete."""
    response = await site.open_stream(events=events, **changes)
    try:
        await response.read()
    except OSError:
        return 0
    return response.status


# Guards against a part that ends runner after runner just after the first event, which
# clears it each time, as the stream is resumed at the next runner.
@pytest.mark.parametrize("after_events", [1, 20])
async def test_part_that_crashes_runners_after_an_event_stops_reaching_them(
    site, after_events
):
    await add_first_runners(site)
    for target in site.targets.values():
        target.crashes_after = after_events
    sound = []
    for _ in range(6):
        await send_whole(site, events=60, **prefix(SHARED, DEADLY))
        sound.append(await send_whole(site, events=60, **prefix(SHARED)))
    assert crashes(site) <= MAX_CRASHES
    assert sound == [200] * len(sound)
    assert await send_whole(site, **prefix(SHARED, DEADLY)) == 503


def prefix(*parts):
    return {"heathershunt_prompt_prefix": prompt(*parts)}
