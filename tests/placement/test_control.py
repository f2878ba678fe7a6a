from dataclasses import replace

import pytest

from heathershunt.bundle import Bundle
from heathershunt.placement import OrderReply, OrderSender, PlacementControl
from heathershunt.placement.control import READ_BACK_MS, ModelControl
from heathershunt.routing.inflight import InFlight
from heathershunt.runners import RunnerBoard
from heathershunt.settings import PlacementSettings
from tests.placement.test_lease import LeaseStore, Runner, keeper
from tests.placement.test_plan import M2, fleet

BUNDLE = Bundle(2, models_by_name={"m": M2})
SETTINGS = PlacementSettings(
    enabled=True, layers_per_runner=4, loads_at_a_time=1, weight_layers_per_second=1e6
)


@pytest.fixture
def runner():
    return Runner()


@pytest.fixture
def control(clock, runner):
    held = keeper(LeaseStore(clock))
    return ModelControl(held, OrderSender(runner, clock, held), clock, SETTINGS)


async def loads(control, states):
    return [result.order for result in await control.tick("m", BUNDLE, states)]


async def test_new_holder_reads_back_before_it_changes_anything(control, clock):
    """Reports from before the lease may lack the last orders of the old holder."""
    states = fleet(2, "v1")
    assert await loads(control, states) == []
    clock.advance(READ_BACK_MS)
    assert len(await loads(control, states)) == 1


async def test_order_counts_before_it_is_reported(control, clock):
    """A stale report must not cause a second load beyond the limit."""
    states = fleet(2, "v1")
    await loads(control, states)
    clock.advance(READ_BACK_MS)
    assert len(await loads(control, states)) == 1
    clock.advance(900)
    states = [replace(state, received_at=clock.now()) for state in states]
    assert await loads(control, states) == []


async def test_runner_that_leaves_by_the_vm_list_is_left_alone(clock, runner):
    """The list may know of a leaving VM before its runner says so."""
    board = RunnerBoard(InFlight())
    for state in fleet(2, "v2"):
        board.record(state)
    board.set_leaving(frozenset({"s0r0"}))
    placement = PlacementControl(
        SETTINGS, "vm1", 1, None, runner, clock, board, lambda: BUNDLE, tuple
    )
    marked = map(placement._marked, board.states_by_runner.values())
    assert [s.report.runner for s in marked if s.report.leaving] == ["s0r0"]


async def test_fenced_holder_raises_its_token(control, clock, runner):
    """A runner that came from another model may know a higher token."""
    runner.status = 409
    states = fleet(2, "v2")
    results = await control.tick("m", BUNDLE, states)
    assert {result.reply for result in results} == {OrderReply.FENCED}
    runner.status = 200
    await control.tick("m", BUNDLE, states)
    assert min(runner.fences[6:]) > max(runner.fences[:6])


async def test_store_out_means_no_orders(control, clock, runner):
    control.keeper._store.is_out = True
    clock.advance(READ_BACK_MS)
    assert await loads(control, fleet(2, "v1")) == []
    assert runner.fences == []
