"""Control loop of each model: renew the lease, compare reports with the plan, order."""

import asyncio
import hashlib
import random
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, replace
from typing import Any

import logbook

from heathershunt.bundle import Bundle
from heathershunt.clock import Clock, Millis
from heathershunt.http import HttpClient
from heathershunt.placement.lease import Lease, LeaseKeeper
from heathershunt.placement.orders import OrderReply, OrderResult, OrderSender
from heathershunt.placement.plan import LOADING, Order, plan
from heathershunt.runners import RunnerRegistry, RunnerReport, RunnerState
from heathershunt.settings import PlacementSettings
from heathershunt.store import KeyValueStore

log = logbook.Logger("heathershunt.placement")

TICK_MS = 500
# A report may describe the runner as it was this long before the report arrived.
MAX_POLL_MS = 1_000
# Every runner is polled within this time, so a new holder of the lease has a report of
# each runner that is newer than the lease.
REPORTS_WAIT_MS = 2_000
# VMs that compete for the lease of one model; more would only add reads of the store.
CANDIDATES_PER_MODEL = 3
MILLISECONDS_PER_SECOND = 1000


def is_candidate(model: str, vm: str, vms: Collection[str]) -> bool:
    """Return whether ``vm`` is among the few that compete for a model's lease.

    The VMs are ranked by rendezvous hashing.
    """

    def weight(name: str) -> bytes:
        return hashlib.sha256(f"{model}\0{name}".encode()).digest()

    ranked = sorted({vm, *vms}, key=weight)
    return vm in ranked[:CANDIDATES_PER_MODEL]


class LoadPacer:
    """Limits the loads of one model to its share of the weight store's read rate.

    :param layers_per_second: read rate of the weight store for all models together.

    .. versionadded:: 0.1
    """

    def __init__(self, layers_per_second: float) -> None:
        self._rate = layers_per_second
        self._free_at = Millis(0)

    def take(self, layers: int, models: int, now: Millis) -> bool:
        """Reserve the time for a load; ``False`` while an earlier load uses the share.

        :param layers: layers that the runner loads.
        :param models: models that share the weight store.
        """
        if now < self._free_at:
            return False
        duration_ms = MILLISECONDS_PER_SECOND * layers * models / self._rate
        self._free_at = Millis(now + round(duration_ms))
        return True


@dataclass(frozen=True)
class _SentOrder:
    """An order that its runner may have accepted.

    :param fence: fencing token that the order carried.
    :param recorded_at: monotonic time of the reply or of the failure.
    """

    order: Order
    fence: int
    recorded_at: Millis

    def expected_report(self, report: RunnerReport) -> RunnerReport:
        """Return the report that the runner sends if it accepted the order."""
        if self.order.is_fulfilled_by(report):
            return replace(report, fence=self.fence)
        return replace(
            report,
            fence=self.fence,
            model=self.order.model,
            version=self.order.version,
            adapters=self.order.adapters,
            first_layer=self.order.first_layer,
            end_layer=self.order.end_layer,
            role=LOADING,
        )


class ModelController:
    """Controls the placement of one model from this VM.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        keeper: LeaseKeeper,
        sender: OrderSender,
        clock: Clock,
        settings: PlacementSettings,
    ) -> None:
        self.keeper = keeper
        self._sender = sender
        self._clock = clock
        self._settings = settings
        self._pacer = LoadPacer(settings.weight_layers_per_second)
        self._sent_orders_by_runner: dict[str, _SentOrder] = {}

    async def tick(
        self, model_name: str, bundle: Bundle, states: Sequence[RunnerState]
    ) -> tuple[OrderResult, ...]:
        """Compare the reports with the plan and send orders for the differences.

        Returns the results of the orders; none without the lease.
        """
        lease = await self.keeper.acquire_or_renew()
        if lease is None:
            self._sent_orders_by_runner.clear()
            return ()
        models = tuple(bundle.models_by_name.values())
        view = self._with_sent_orders(states)
        orders = plan(
            bundle.models_by_name[model_name],
            models,
            view,
            layers_per_runner=self._settings.layers_per_runner,
            max_loads=self._settings.loads_at_a_time,
            token=lease.revision,
        )
        chosen = self._orders_to_send(lease, orders, view, len(models))
        results = await asyncio.gather(*map(self._sender.send, chosen))
        self._record_results(results, lease.revision)
        if any(result.reply is OrderReply.FENCED for result in results):
            await self.keeper.raise_token()
        return tuple(results)

    def _with_sent_orders(self, states: Sequence[RunnerState]) -> list[RunnerState]:
        """Return the states, with the effect of orders newer than their reports."""
        view = []
        for state in states:
            sent = self._sent_orders_by_runner.get(state.report.runner)
            polled_at = state.received_at - MAX_POLL_MS
            if sent is None or polled_at >= sent.recorded_at:
                self._sent_orders_by_runner.pop(state.report.runner, None)
                view.append(state)
                continue
            view.append(replace(state, report=sent.expected_report(state.report)))
        return view

    def _orders_to_send(
        self,
        lease: Lease,
        orders: Sequence[Order],
        view: Sequence[RunnerState],
        models: int,
    ) -> list[Order]:
        """Return the orders that may be sent now.

        Orders that load layers wait for fresh reports and for the weight store.
        """
        now = self._clock.now()
        reports = {state.report.runner: state.report for state in view}
        are_reports_fresh = now >= lease.acquired_at + REPORTS_WAIT_MS or all(
            state.received_at - MAX_POLL_MS >= lease.acquired_at for state in view
        )
        chosen = []
        for order in orders:
            if not self._sender.may_send(order, lease, now):
                continue
            if not order.is_fulfilled_by(reports[order.runner]):
                layers = order.end_layer - order.first_layer
                if not are_reports_fresh or not self._pacer.take(layers, models, now):
                    continue
            chosen.append(order)
        return chosen

    def _record_results(self, results: Sequence[OrderResult], fence: int) -> None:
        now = self._clock.now()
        for result in results:
            log.info("{}: {}", result.order, result.reply.value)
            if result.reply in (OrderReply.ACCEPTED, OrderReply.FAILED):
                self._sent_orders_by_runner[result.order.runner] = _SentOrder(
                    result.order, fence, now
                )


class PlacementController:
    """Runs a controller for each model of the bundle in force.

    :param bundle: returns the bundle in force, or ``None`` before the first one.
    :param entry_vms: returns the names of the VMs that may hold leases.
    :param is_leaving: returns whether a runner said in an answer that it leaves.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        settings: PlacementSettings,
        vm: str,
        incarnation: int,
        store: KeyValueStore,
        http: HttpClient,
        clock: Clock,
        registry: RunnerRegistry,
        bundle: Callable[[], Bundle | None],
        entry_vms: Callable[[], Collection[str]],
        is_leaving: Callable[[RunnerState], bool] = lambda state: False,
    ) -> None:
        self._is_leaving = is_leaving
        self._settings = settings
        self._vm = vm
        self._holder = f"{vm}.{incarnation}"
        self._store = store
        self._http = http
        self._clock = clock
        self._registry = registry
        self._bundle = bundle
        self._entry_vms = entry_vms
        self._is_released = False
        self._controllers_by_model: dict[str, ModelController] = {}

    async def run(self) -> None:
        """Run the control loop until cancelled or released."""
        while not self._is_released:
            bundle = self._bundle()
            if bundle is not None:
                await self._tick_all(bundle)
            await asyncio.sleep(TICK_MS * random.uniform(0.9, 1.1) / 1000)

    async def _tick_all(self, bundle: Bundle) -> None:
        states = [
            self._with_leaving(s) for s in self._registry.states_by_runner.values()
        ]
        vms = self._entry_vms()
        ticks = [
            self._controller(name).tick(name, bundle, states)
            for name in bundle.models_by_name
            if name in self._controllers_by_model or is_candidate(name, self._vm, vms)
        ]
        for outcome in await asyncio.gather(*ticks, return_exceptions=True):
            if isinstance(outcome, Exception):
                log.error("placement of a model failed: {!r}", outcome)

    def _with_leaving(self, state: RunnerState) -> RunnerState:
        """Return the state, also marked as leaving if its VM or the runner is leaving.

        A VM is leaving by the VM list or by an operator's command, and a runner by its
        answers.
        """
        view = self._registry.views_by_runner[state.report.runner]
        if not view.leaving and not self._is_leaving(state):
            return state
        return replace(state, report=replace(state.report, leaving=True))

    def _controller(self, model: str) -> ModelController:
        controller = self._controllers_by_model.get(model)
        if controller is None:
            keeper = LeaseKeeper(
                self._store,
                self._clock,
                model,
                self._holder,
                self._settings.lease_ttl_ms,
            )
            sender = OrderSender(self._http, self._clock, keeper)
            controller = ModelController(keeper, sender, self._clock, self._settings)
            self._controllers_by_model[model] = controller
        return controller

    def leases(self) -> list[dict[str, Any]]:
        """Return the leases that this VM holds, as values for the operators' status."""
        now = self._clock.now()
        held = [(m, c.keeper.current()) for m, c in self._controllers_by_model.items()]
        return [
            {
                "model": model,
                "holder": self._holder,
                "fence": lease.revision,
                "expires_ms": lease.expires_at - now,
            }
            for model, lease in held
            if lease is not None
        ]

    async def release(self) -> None:
        """Stop sending orders and revoke all leases."""
        self._is_released = True
        keepers = [c.keeper for c in self._controllers_by_model.values()]
        await asyncio.gather(*(keeper.release() for keeper in keepers))
