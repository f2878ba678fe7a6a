"""Callers that leave, and what both runs of a race leave behind."""

import asyncio

import pytest

from tests.gateway.test_repeated_silences import other_head
from tests.gateway.test_silent_targets import head_of


@pytest.mark.parametrize("is_read", [True, False])
async def test_both_runs_end_as_the_caller_leaves(site, is_read):
    # Guards against runs that go on, and load that stays counted, after a caller left
    # while its silent run was kept.
    gateway = site.gateways["vm-1"]
    for target in site.targets.values():
        target.read_ms = 0 if is_read else 400
    opening = asyncio.create_task(site.open_stream(events=600))
    await site.until(lambda: bool(site.runs()))
    response = await opening if is_read else None
    other_head(site).read_ms = 3000
    head_of(site).fall_silent(0.6)
    await site.until(lambda: len(site.runs()) == 2)
    if response is None:
        opening.cancel()
    else:
        response.close()
    servers = [target._server for target in site.targets.values()]
    async with asyncio.timeout(1.5):
        while any(server.active_requests for server in servers):
            await asyncio.sleep(0.02)
    await site.until(lambda: gateway.servers.callers.active_requests == 0)
    assert gateway.relay_context.ledger.own() == {}
    assert len(site.runs()) == 2
