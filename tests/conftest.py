import gc

import pytest
from hypothesis import settings

from heathershunt.clock import ManualClock
from tests.nodes import Node

# Test results must not depend on random examples; `make fuzz` uses random ones.
settings.register_profile("fixed", derandomize=True, deadline=None)
settings.load_profile("fixed")


@pytest.hookimpl(wrapper=True, tryfirst=True)
def pytest_runtest_makereport(item, call):
    """Report a test while no garbage is collected.

    Finalizers that run while Python 3.11 parses the source of a failed test break the
    parser, and pytest-xdist then loses the failure and exits with 0.
    """
    gc.disable()
    try:
        return (yield)
    finally:
        gc.enable()


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
async def start_node():
    """Return a coroutine function that starts a node; all nodes stop after the test."""
    nodes = []

    async def start(vm, *seeds, **options):
        nodes.append(Node(vm, **options))
        return await nodes[-1].start(*seeds)

    yield start
    for node in nodes:
        await node.stop()
