import ast
import gc

import pytest
from hypothesis import settings

from heathershunt.clock import ManualClock
from tests.nodes import Node

# Test results must not depend on random examples; `make fuzz` uses random ones.
settings.register_profile("fixed", derandomize=True, deadline=None)
settings.load_profile("fixed")


_parse = ast.parse


def parse_without_collection(*arguments, **options):
    """Parse source while no garbage is collected.

    In Python 3.11 a finalizer that runs inside of the parser and parses itself, as the
    report of its error does, breaks the outer call: "AST constructor recursion depth
    mismatch". pytest and hypothesis parse the sources of tests, and connections that
    are collected after their loop is closed report an error.
    """
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        return _parse(*arguments, **options)
    finally:
        if was_enabled:
            gc.enable()


ast.parse = parse_without_collection


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
