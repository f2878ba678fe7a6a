"""Answers of targets that fall silent for a second or so and go on."""

import asyncio

import pytest

from tests.gateway.site import configuration
from tests.gateway.test_streams import ids

SILENCE_SECONDS = 1.3
# Time limit of a call whose first try is silent for more than half of it.
TWO_SECONDS = {"heathershunt_deadline_ms": "2000"}


async def change_configuration(site, version, vm="vm-1", **route_changes):
    """Put a configuration in force in which the route of drafts is changed."""
    changed = configuration(version)
    changed["routes"][0] |= route_changes
    site.store.put("op/config", changed)
    await site.until(lambda: site.gateways[vm].state.catalog.version == version)


def head_of(site, number=0):
    """Return the first runner of a run's chain."""
    return site.targets[site.runs()[number].runner]


def later_runner_of(site):
    """Return the second runner of the first run's chain."""
    chain = site.runs()[0].headers["heathershunt-hop-count"]
    return site.fleet[chain.split(",")[1].partition("=")[0]]


async def remove_domain(site, vm="vm-1"):
    """Remove the targets of the domain that the first run does not use."""
    used = head_of(site).domain
    for name, target in list(site.targets.items()):
        if target.domain != used:
            site.store.remove(f"servers/{name}")
    registry = site.gateways[vm].state.registry
    await site.until(lambda: len(registry) == 4)


async def test_stream_is_whole_though_its_silent_runner_has_no_replacement(site):
    # Guards against a stream that is ended because its runner is silent for a moment
    # and no other runner holds its layers.
    response = await site.open_stream(events=60)
    first = await response.read_some()
    await remove_domain(site)
    later_runner_of(site).fall_silent(SILENCE_SECONDS)
    body = first + await response.read()
    assert ids(body) == list(range(1, 61))


async def test_stream_is_whole_though_all_runners_are_silent(site):
    # Guards against streams that end when no runner answers for a moment.
    response = await site.open_stream(events=60)
    first = await response.read_some()
    for target in site.targets.values():
        target.fall_silent(SILENCE_SECONDS)
    body = first + await response.read()
    assert ids(body) == list(range(1, 61))


@pytest.mark.parametrize("find_silent", [head_of, later_runner_of])
async def test_stream_is_whole_though_no_retry_is_left(site, find_silent):
    # Guards against a stream that leaves its silent runner before it knows whether it
    # may be sent to another one.
    await site.add_gateway("vm-2", retry_budget_slack=0, retry_budget_ratio=0)
    response = await site.open_stream(events=60, vm="vm-2")
    first = await response.read_some()
    find_silent(site).fall_silent(SILENCE_SECONDS)
    body = first + await response.read()
    assert ids(body) == list(range(1, 61))


@pytest.mark.parametrize("find_silent", [head_of, later_runner_of])
async def test_stream_that_is_not_resumable_is_whole_after_a_silence(site, find_silent):
    # Guards against an answer that is ended though its runner goes on with it.
    await change_configuration(site, 2, resumable=False)
    response = await site.open_stream(events=60)
    first = await response.read_some()
    find_silent(site).fall_silent(SILENCE_SECONDS)
    body = first + await response.read()
    assert ids(body) == list(range(1, 61))
    assert len(site.runs()) == 1


@pytest.mark.parametrize("is_head", [True, False])
async def test_stream_that_is_not_resumable_runs_once_if_its_start_is_silent(
    site, is_head
):
    # Guards against a second run of a stream that may run once, and against an error in
    # place of the answer that the first run gives.
    await change_configuration(site, 2, resumable=False)
    for target in site.targets.values():
        target.read_ms = 200
    opening = asyncio.create_task(site.open_stream(events=20))
    await site.until(lambda: bool(site.runs()))
    silent = head_of(site) if is_head else later_runner_of(site)
    silent.fall_silent(SILENCE_SECONDS)
    response = await opening
    assert response.status == 200
    assert ids(await response.read()) == list(range(1, 21))
    assert len(site.runs()) == 1


@pytest.mark.parametrize("reads", [True, False])
async def test_stream_is_whole_though_its_silent_runner_left_without_a_word(
    site, reads
):
    # Guards against answers that are cut as their runner's entry is gone while it is
    # silent for a moment: it serves on for many seconds.
    await change_configuration(site, 2, resumable=False)
    for target in site.targets.values():
        target.read_ms = 0 if reads else 300
    opening = asyncio.create_task(site.open_stream(events=60))
    await site.until(lambda: bool(site.runs()))
    response = await opening if reads else None
    head = head_of(site)
    site.store.remove(f"servers/{head.id}")
    registry = site.gateways["vm-1"].state.registry
    await site.until(lambda: registry.get(head.id) is None)
    head.fall_silent(SILENCE_SECONDS)
    response = response or await opening
    assert response.status == 200
    assert ids(await response.read()) == list(range(1, 61))
    assert len(site.runs()) == 1


async def test_stream_that_is_not_resumable_runs_once_though_its_runner_ends(site):
    # Guards against a second run of a stream that may run once, after its runner ended
    # before the first event.
    await change_configuration(site, 2, resumable=False)
    for target in site.targets.values():
        target.read_ms = 100
    opening = asyncio.create_task(site.open_stream(events=20))
    await site.until(lambda: bool(site.runs()))
    await head_of(site).stop()
    response = await opening
    assert response.status == 502
    assert len(site.runs()) == 1


async def test_start_of_a_stream_outlives_a_silence_if_no_retry_is_left(site):
    # Guards against a refusal of a stream whose run would have gone on.
    await site.add_gateway("vm-2", retry_budget_slack=0, retry_budget_ratio=0)
    for target in site.targets.values():
        target.read_ms = 200
    opening = asyncio.create_task(site.open_stream(events=20, vm="vm-2"))
    await site.until(lambda: bool(site.runs()))
    head_of(site).fall_silent(SILENCE_SECONDS)
    response = await opening
    assert response.status == 200
    assert ids(await response.read()) == list(range(1, 21))


@pytest.mark.parametrize(
    "changes",
    [
        {"service": "desk"},
        {"timeout_ms": 300},
        {"timeout_ms": 30_000},
        {"prefix": "/moved/"},
        {"resumable": False},
        {"max_attempts": 1},
    ],
)
async def test_stream_is_whole_if_its_route_changes_during_a_silence(site, changes):
    # Guards against a running answer that a change of the configuration ends.
    response = await site.open_stream(events=60)
    first = await response.read_some()
    for target in site.targets.values():
        target.fall_silent(SILENCE_SECONDS)
    await change_configuration(site, 2, **changes)
    body = first + await response.read()
    assert ids(body) == list(range(1, 61))


@pytest.mark.parametrize("path", ["/orders/x", "/status/x"])
async def test_call_is_answered_once_after_a_silence_of_all_targets(site, path):
    # Guards against calls that fail because no target answers for a moment.
    for target in site.targets.values():
        target.fall_silent(SILENCE_SECONDS)
    status, _, body = await site.call("POST", path, b"order")
    assert (status, body) == (200, b"done")


async def test_repeatable_call_waits_for_its_only_target(site):
    # Guards against a failure at half of the caller's time, though no other target is
    # there and the silent one goes on.
    site.store.remove("servers/desk-b")
    registry = site.gateways["vm-1"].state.registry
    await site.until(lambda: len(registry.of_service("desk")) == 1)
    site.targets["desk-a"].fall_silent(SILENCE_SECONDS)
    status, _, body = await site.call("GET", "/status/7", **TWO_SECONDS)
    assert (status, body) == (200, b"done")
    assert len(site.runs()) == 1


async def test_repeatable_call_waits_for_its_target_if_no_retry_is_left(site):
    # Guards against a failure at half of the caller's time as no retry is left.
    await site.add_gateway("vm-2", retry_budget_slack=0, retry_budget_ratio=0)
    for name in ("desk-a", "desk-b"):
        site.targets[name].fall_silent(SILENCE_SECONDS)
    status, _, body = await site.call("GET", "/status/7", vm="vm-2", **TWO_SECONDS)
    assert (status, body) == (200, b"done")


async def test_repeatable_call_gets_the_first_answer_of_two_targets(site):
    # Guards against an answer that is lost as its call was sent to another target.
    site.targets["desk-a"].fall_silent(SILENCE_SECONDS)
    site.targets["desk-b"].fall_silent(9)
    status, _, body = await site.call("GET", "/status/7", **TWO_SECONDS)
    assert (status, body) == (200, b"done")


async def test_repeatable_call_is_sent_elsewhere_if_its_target_is_silent(site):
    # Guards against a caller that waits for a silent target though another one answers.
    site.targets["desk-a"].fall_silent(9)
    status, _, body = await site.call("GET", "/status/7", **TWO_SECONDS)
    assert (status, body) == (200, b"done")
