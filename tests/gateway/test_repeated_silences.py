"""Streams and calls whose second target is silent too, fails, or is never needed."""

import asyncio
import time

from heathershunt.http import Response
from tests.gateway.test_silent_targets import head_of
from tests.gateway.test_streams import ids


def other_head(site):
    """Return the first runner of the domain that the first run does not use."""
    return site.targets["runner-b0" if head_of(site).domain == "a" else "runner-a0"]


async def test_silent_successor_is_kept_if_no_further_retry_is_left(site):
    # Guards against an answer that ends as the second run is dropped for a silence,
    # though the first one does not go on and no third one can be started.
    await site.add_gateway("vm-2", retry_budget_slack=4, retry_budget_ratio=0)
    response = await site.open_stream(events=60, vm="vm-2")
    first = await response.read_some()
    head_of(site).fall_silent(9)
    other_head(site).fall_silent(1.6)
    body = first + await response.read()
    assert ids(body) == list(range(1, 61))
    assert len(site.runs()) == 2


async def test_silent_successor_is_kept_once_the_first_run_has_ended(site):
    # Guards against the same after the connection of the first run has ended.
    await site.add_gateway("vm-2", retry_budget_slack=4, retry_budget_ratio=0)
    response = await site.open_stream(events=60, vm="vm-2")
    first = await response.read_some()
    silent = head_of(site)
    silent.fall_silent(9)
    other_head(site).fall_silent(1.6)
    await asyncio.sleep(0.3)
    await silent.stop()
    body = first + await response.read()
    assert ids(body) == list(range(1, 61))


async def test_stream_outlives_a_successor_that_answers_with_a_failure(
    site, monkeypatch
):
    # Guards against an answer that ends as the runner that is to go on with it answers
    # with a status of its own.
    async def fail(request):
        fields = {
            "heathershunt-request-id": request.headers["heathershunt-request-id"],
            "heathershunt-response-signature": "receipt",
        }
        return Response(400, fields, b"no")

    response = await site.open_stream(events=60)
    first = await response.read_some()
    monkeypatch.setattr(other_head(site), "_stream", fail)
    head_of(site).fall_silent(1.3)
    body = first + await response.read()
    assert ids(body) == list(range(1, 61))


async def test_runners_that_were_not_needed_count_as_attempts(site):
    # Guards against a stream that runs at another runner in each silence of its first
    # one, beyond ``max_attempts``.
    for domain in "cde":
        await site.add_target(f"runner-{domain}0", "engine", domain, "large", (0, 40))
    registry = site.gateways["vm-1"].state.registry
    await site.until(lambda: len(registry) == 11)
    response = await site.open_stream(events=300)
    first = await response.read_some()
    silent = head_of(site)
    for target in site.targets.values():
        if target is not silent:
            target.read_ms = 3000
    reading = asyncio.create_task(response.read())
    for _ in range(4):
        silent.fall_silent(0.6)
        await asyncio.sleep(0.9)
        # The next silence finds a different successor.
        for run in site.runs():
            target = site.targets[run.runner]
            if target is not silent and not target.is_draining:
                target.is_draining = True
                target.register()
    assert ids(first + await reading) == list(range(1, 301))
    assert len({run.runner for run in site.runs()}) <= 2


async def test_timeout_of_a_call_counts_once(site):
    # Guards against a target that is ejected after two timeouts in place of three.
    site.store.remove("servers/desk-b")
    gateway = site.gateways["vm-1"]
    await site.until(lambda: len(gateway.state.registry.of_service("desk")) == 1)
    site.targets["desk-a"].fall_silent(9)
    for _ in range(2):
        status, _, _ = await site.call(
            "GET", "/status/7", heathershunt_deadline_ms="300"
        )
        assert status == 504
    (target,) = gateway.state.registry.of_service("desk")
    assert not gateway.suspects.is_ejected(target)


async def test_failure_of_a_second_target_does_not_end_a_call(site):
    # Guards against a failure in place of the answer that the silent target gives.
    site.targets["desk-a"].fall_silent(1.3)
    site.targets["desk-b"].answer = lambda request: Response(500, {}, b"failed")
    status, _, body = await site.call(
        "GET", "/status/7", heathershunt_deadline_ms="2000"
    )
    assert (status, body) == (200, b"done")


async def test_silence_until_the_deadline_is_no_crash(site):
    # Guards against a prompt that counts as the cause of a crash, and a caller that
    # waits past its deadline, as a runner does not answer in time.
    await site.add_gateway("vm-2", retry_budget_slack=0, retry_budget_ratio=0)
    for target in site.targets.values():
        target.read_ms = 100
    recorded = []
    guard = site.gateways["vm-2"].guard
    guard.record_crash = lambda *crash: recorded.append(crash)
    opening = asyncio.create_task(
        site.open_stream(
            vm="vm-2",
            heathershunt_deadline_ms="1000",
            heathershunt_prompt_prefix="5c1e07a2:40,00000001:40",
        )
    )
    started = time.monotonic()
    await site.until(lambda: bool(site.runs()))
    for target in site.targets.values():
        target.fall_silent(9)
    response = await opening
    assert response.status == 504
    assert time.monotonic() - started < 1.25
    assert recorded == []


async def test_held_stream_without_a_retry_searches_no_chain(site):
    # Guards against searches and log lines of each silent stream, several times a
    # second, where the retry budget allows no send.
    gateway = await site.add_gateway("vm-2", retry_budget_slack=0, retry_budget_ratio=0)
    denied = []
    gateway.relay_context.events.add_observer(
        lambda event: (
            denied.append(event) if type(event).__name__ == "RetryDenied" else None
        )
    )
    response = await site.open_stream(events=60, vm="vm-2")
    first = await response.read_some()
    searches = []
    chooser = gateway.relay_context.chooser
    choose = chooser.choose

    def count(*args, **options):
        searches.append(args)
        return choose(*args, **options)

    chooser.choose = count
    head_of(site).fall_silent(3)
    body = first + await response.read()
    assert ids(body) == list(range(1, 61))
    assert len(denied) == 1
    assert len(searches) <= 1
