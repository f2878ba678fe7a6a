"""What a gateway records of runners that reject streams, and shows of their load."""

import pytest


@pytest.fixture
def ledger(site):
    return site.gateways["vm-1"].relay_context.ledger


@pytest.fixture
def runners(site):
    return [target for target in site.targets.values() if target.kind is not None]


async def read_stream(site):
    response = await site.open_stream(events=3)
    await response.read()


async def test_runner_that_rejects_a_stream_counts_as_full(site, ledger, runners):
    # Guards against rejections that the next choices and the other VMs do not know of.
    rejecting = runners[0]
    rejecting.layers = None
    for _ in range(20):
        await read_stream(site)
        if ledger.rejections.ages():
            break
    assert list(ledger.rejections.ages()) == [rejecting.id]
    notes = site.gateways["vm-1"]._notes_for_peers()
    assert rejecting.id in {n.runner for n in notes if n.rejected_ms is not None}


async def test_runner_that_asks_for_a_pause_does_not_count_as_full(
    site, ledger, runners
):
    for runner in runners:
        runner.pause_s = 5
    await read_stream(site)
    assert not ledger.rejections.ages()


async def test_gauges_show_runners_that_count_as_full(site, ledger):
    ledger.rejections.record("r1")
    text = site.gateways["vm-1"].metrics.render()[0].decode()
    assert "heathershunt_gateway_full_runners 1" in text
