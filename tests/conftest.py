import pytest
from hypothesis import settings

from heathershunt.clock import ManualClock
from tests.nodes import Node

# Test results must not depend on random examples; `make fuzz` uses random ones.
settings.register_profile("fixed", derandomize=True, deadline=None)
settings.load_profile("fixed")


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
