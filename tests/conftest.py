import pytest

from heathershunt.clock import ManualClock
from tests.nodes import Node


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
async def start_node():
    """Return a coroutine function that starts a node; all are stopped at the end."""
    nodes = []

    async def start(vm, *seeds, **options):
        nodes.append(Node(vm, **options))
        return await nodes[-1].start(*seeds)

    yield start
    for node in nodes:
        await node.stop()
