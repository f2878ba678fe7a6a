"""First requests of a process that does not know the configuration yet."""

import asyncio

import pytest

from heathershunt.clock import Millis
from heathershunt.gateway.startup import STARTUP_MS, StartupWait


class Configuration:
    def __init__(self):
        self.is_known = False

    def __call__(self):
        return self.is_known


@pytest.fixture
def configuration():
    return Configuration()


@pytest.fixture
def startup(clock, configuration):
    return StartupWait(clock, configuration)


async def test_request_waits_for_the_first_configuration(startup, configuration):
    # Guards against callers that are refused by all VMs after a restart of all of them.
    waiting = asyncio.create_task(startup.wait(None))
    await asyncio.sleep(0)
    assert not waiting.done()
    configuration.is_known = True
    await asyncio.wait_for(waiting, 1)


async def test_request_does_not_wait_for_a_known_configuration(startup, configuration):
    configuration.is_known = True
    await asyncio.wait_for(startup.wait(None), 0.01)


async def test_request_does_not_wait_once_the_start_is_over(startup, clock):
    # Guards against requests that are held up one after the other in an outage of the
    # store, when it is known that they cannot be served.
    clock.advance(STARTUP_MS)
    await asyncio.wait_for(startup.wait(None), 0.01)


async def test_request_waits_no_longer_than_its_caller(startup, clock):
    await asyncio.wait_for(startup.wait(Millis(clock.now())), 0.01)


async def test_gateway_serves_a_request_that_came_before_its_configuration(site):
    # Guards against a refusal of what the configuration, a moment later, allows.
    gateway = site.gateways["vm-1"]
    handler = gateway.request_handler
    catalog, handler._catalog = handler._catalog, lambda: None
    handler._startup = StartupWait(
        handler._context.clock, lambda: handler._catalog() is not None
    )
    calling = asyncio.create_task(site.call("GET", "/status/7"))
    await asyncio.sleep(0.1)
    assert not calling.done()
    handler._catalog = catalog
    assert (await calling)[0] == 200
