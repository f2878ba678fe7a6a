import pytest
from hypothesis import settings

from heathershunt.clock import ManualClock
from tests.nodes import Node

# The verdict of a run must not depend on drawn examples; `make fuzz` draws its own.
settings.register_profile("fixed", derandomize=True, deadline=None)
settings.load_profile("fixed")


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
