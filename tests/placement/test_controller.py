from dataclasses import replace

import pytest

from heathershunt.bundle import Bundle
from heathershunt.placement import OrderReply, OrderSender, PlacementController
from heathershunt.placement.controller import REPORTS_WAIT_MS, ModelController
from heathershunt.routing.inflight import InFlight
from heathershunt.runners import RunnerRegistry
from heathershunt.settings import PlacementSettings
from tests.placement.test_lease import FakeHttpClient, FakeLeaseStore, make_keeper
from tests.placement.test_plan import M2, fleet

BUNDLE = Bundle(2, models_by_name={"m": M2})
SETTINGS = PlacementSettings(
    enabled=True, layers_per_runner=4, loads_at_a_time=1, weight_layers_per_second=1e6
)


@pytest.fixture
def http():
    return FakeHttpClient()


@pytest.fixture
def controller(clock, http):
    keeper = make_keeper(FakeLeaseStore(clock))
    return ModelController(keeper, OrderSender(http, clock, keeper), clock, SETTINGS)


async def loads(controller, states):
    return [result.order for result in await controller.tick("m", BUNDLE, states)]


async def test_new_holder_waits_for_fresh_reports_before_it_orders_loads(
    controller, clock
):
    """Guards against plans from reports that lack the last orders of the old holder."""
    states = fleet(2, "v1")
    assert await loads(controller, states) == []
    clock.advance(REPORTS_WAIT_MS)
    assert len(await loads(controller, states)) == 1


async def test_accepted_order_counts_before_the_runner_reports_it(controller, clock):
    """Guards against a load beyond the limit that is planned from a stale report."""
    states = fleet(2, "v1")
    await loads(controller, states)
    clock.advance(REPORTS_WAIT_MS)
    assert len(await loads(controller, states)) == 1
    clock.advance(900)
    states = [replace(state, received_at=clock.now()) for state in states]
    assert await loads(controller, states) == []


async def test_runner_of_a_leaving_vm_is_marked_as_leaving(clock, http):
    """Guards against orders to a runner that does not report yet that its VM leaves."""
    registry = RunnerRegistry(InFlight())
    for state in fleet(2, "v2"):
        registry.record(state)
    registry.set_leaving(frozenset({"s0r0"}))
    placement = PlacementController(
        SETTINGS, "vm1", 1, None, http, clock, registry, lambda: BUNDLE, tuple
    )
    marked = map(placement._with_leaving, registry.states_by_runner.values())
    assert [s.report.runner for s in marked if s.report.leaving] == ["s0r0"]


async def test_holder_with_a_rejected_token_raises_it(controller, clock, http):
    """Guards against a token that stays below that of a runner from another model."""
    http.status = 409
    states = fleet(2, "v2")
    results = await controller.tick("m", BUNDLE, states)
    assert {result.reply for result in results} == {OrderReply.FENCED}
    http.status = 200
    await controller.tick("m", BUNDLE, states)
    assert min(http.fences[6:]) > max(http.fences[:6])


async def test_no_orders_while_the_store_is_unavailable(controller, clock, http):
    controller.keeper._store.is_unavailable = True
    clock.advance(REPORTS_WAIT_MS)
    assert await loads(controller, fleet(2, "v1")) == []
    assert http.fences == []
