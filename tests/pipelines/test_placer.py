"""Orders to hold layers, and runners that want none now."""

import pytest

from heathershunt.pipelines import OrderOutcome, OrderReply, RunnerReport
from heathershunt.pipelines.placer import Placer, PlacerConfig
from tests.pipelines import engines


class Runners:
    """Accepts each order; runners are asked for their state before."""

    def __init__(self):
        self.asked = set()
        self.ordered = set()

    async def report(self, runner, timeout_ms):
        self.asked.add(runner.id)
        return RunnerReport(0, 0, False, None, 0, 0, 0.0, 0.0, 1.0)

    async def place(self, runner, layers, orders, fence):
        self.ordered.add(runner.id)
        return OrderReply(OrderOutcome.BEGUN)


@pytest.fixture
def paused():
    return set()


@pytest.fixture
def api():
    return Runners()


@pytest.fixture
def place(api, clock, paused):
    """Return a coroutine function that plans until the orders are sent."""
    runners = [engines.runner(number, "large") for number in (1, 2, 3)]
    placer = Placer(
        api,
        clock,
        dict,
        lambda service: runners,
        lambda: True,
        lambda: 1,
        lambda runner: False,
        lambda event: None,
        is_paused=lambda runner: runner.id in paused,
    )

    async def place():
        for _ in range(3):
            await placer._reconcile("s", engines.engine())
            clock.advance(PlacerConfig().max_debounce_ms)

    return place


# Guards against orders to a runner that asked for a pause, and against one that never
# gets its layers.
async def test_runner_is_ordered_after_its_pause(place, api, paused):
    paused.add("r01")
    await place()
    assert api.ordered == {"r02", "r03"}
    assert "r01" not in api.asked
    paused.clear()
    await place()
    assert api.ordered == {"r01", "r02", "r03"}
