"""Control loop of each model: hold the lease, plan, order, compare with reports."""

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
from heathershunt.runners import RunnerBoard, RunnerReport, RunnerState
from heathershunt.settings import PlacementSettings
from heathershunt.store import KeyValueStore

log = logbook.Logger("heathershunt.placement")

TICK_MS = 500
# The runner may have described itself this long before its report arrived.
LONGEST_POLL_MS = 1_000
# All reports are asked for within this time, so a new holder sees the state after it.
READ_BACK_MS = 2_000
# VMs that compete for the lease of one model; more would only add reads.
CANDIDATES_PER_MODEL = 3
MILLISECONDS_PER_SECOND = 1000


def is_candidate(model: str, vm: str, vms: Collection[str]) -> bool:
    """Return whether ``vm`` is among the few that compete for a model's lease."""

    def weight(name: str) -> bytes:
        return hashlib.sha256(f"{model}\0{name}".encode()).digest()

    ranked = sorted({vm, *vms}, key=weight)
    return vm in ranked[:CANDIDATES_PER_MODEL]


class LoadPacer:
    """Keeps the loads of one model within its share of the weight store's rate.

    :param layers_per_second: rate of the weight store over all models.

    .. versionadded:: 0.1
    """

    def __init__(self, layers_per_second: float) -> None:
        self._rate = layers_per_second
        self._free_at = Millis(0)

    def take(self, layers: int, models: int, now: Millis) -> bool:
        """Start a load, or return ``False`` while an earlier one uses the share."""
        if now < self._free_at:
            return False
        spent = MILLISECONDS_PER_SECOND * layers * models / self._rate
        self._free_at = Millis(now + round(spent))
        return True


@dataclass(frozen=True)
class _Sent:
    """An order that its runner may have taken, and when that was known."""

    order: Order
    fence: int
    at: Millis

    def expected(self, report: RunnerReport) -> RunnerReport:
        """Return the report that the runner gives if it took the order."""
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


class ModelControl:
    """Control of one model on this VM.

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
        self._sent_by_runner: dict[str, _Sent] = {}

    async def tick(
        self, model_name: str, bundle: Bundle, states: Sequence[RunnerState]
    ) -> tuple[OrderResult, ...]:
        """Compare the runners' reports with the plan and order what differs."""
        lease = await self.keeper.hold()
        if lease is None:
            self._sent_by_runner.clear()
            return ()
        models = tuple(bundle.models_by_name.values())
        view = self._with_sent_orders(states)
        orders = plan(
            bundle.models_by_name[model_name],
            models,
            view,
            layers_per_runner=self._settings.layers_per_runner,
            loads=self._settings.loads_at_a_time,
            token=lease.revision,
        )
        chosen = self._choose(lease, orders, view, len(models))
        results = await asyncio.gather(*map(self._sender.send, chosen))
        self._note(results, lease.revision)
        if any(result.reply is OrderReply.FENCED for result in results):
            await self.keeper.raise_token()
        return tuple(results)

    def _with_sent_orders(self, states: Sequence[RunnerState]) -> list[RunnerState]:
        """Return the states with orders that are newer than the reports."""
        view = []
        for state in states:
            sent = self._sent_by_runner.get(state.report.runner)
            asked_at = state.received_at - LONGEST_POLL_MS
            if sent is None or asked_at >= sent.at:
                self._sent_by_runner.pop(state.report.runner, None)
                view.append(state)
                continue
            view.append(replace(state, report=sent.expected(state.report)))
        return view

    def _choose(
        self,
        lease: Lease,
        orders: Sequence[Order],
        view: Sequence[RunnerState],
        models: int,
    ) -> list[Order]:
        """Return the orders that may be sent now."""
        now = self._clock.now()
        reports = {state.report.runner: state.report for state in view}
        is_read_back = now >= lease.acquired_at + READ_BACK_MS or all(
            state.received_at - LONGEST_POLL_MS >= lease.acquired_at for state in view
        )
        chosen = []
        for order in orders:
            if not self._sender.may_send(order, lease, now):
                continue
            if not order.is_fulfilled_by(reports[order.runner]):
                layers = order.end_layer - order.first_layer
                if not is_read_back or not self._pacer.take(layers, models, now):
                    continue
            chosen.append(order)
        return chosen

    def _note(self, results: Sequence[OrderResult], fence: int) -> None:
        now = self._clock.now()
        for result in results:
            log.info("{}: {}", result.order, result.reply.value)
            if result.reply in (OrderReply.TAKEN, OrderReply.FAILED):
                self._sent_by_runner[result.order.runner] = _Sent(
                    result.order, fence, now
                )


class PlacementControl:
    """Runs the control of every model of the bundle in force.

    :param entry_vms: gives the names of the VMs that may hold leases.

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
        board: RunnerBoard,
        bundle: Callable[[], Bundle | None],
        entry_vms: Callable[[], Collection[str]],
    ) -> None:
        self._settings = settings
        self._vm = vm
        self._holder = f"{vm}.{incarnation}"
        self._store = store
        self._http = http
        self._clock = clock
        self._board = board
        self._bundle = bundle
        self._entry_vms = entry_vms
        self._is_released = False
        self._controls_by_model: dict[str, ModelControl] = {}

    async def run(self) -> None:
        """Control until cancelled or released."""
        while not self._is_released:
            bundle = self._bundle()
            if bundle is not None:
                await self._tick_all(bundle)
            await asyncio.sleep(TICK_MS * random.uniform(0.9, 1.1) / 1000)

    async def _tick_all(self, bundle: Bundle) -> None:
        states = [self._marked(s) for s in self._board.states_by_runner.values()]
        vms = self._entry_vms()
        ticks = [
            self._control(name).tick(name, bundle, states)
            for name in bundle.models_by_name
            if name in self._controls_by_model or is_candidate(name, self._vm, vms)
        ]
        for outcome in await asyncio.gather(*ticks, return_exceptions=True):
            if isinstance(outcome, Exception):
                log.error("placement failed: {!r}", outcome)

    def _marked(self, state: RunnerState) -> RunnerState:
        """Return the state, leaving also if the VM list or an operator says so."""
        if not self._board.views_by_runner[state.report.runner].leaving:
            return state
        return replace(state, report=replace(state.report, leaving=True))

    def _control(self, model: str) -> ModelControl:
        control = self._controls_by_model.get(model)
        if control is None:
            keeper = LeaseKeeper(
                self._store,
                self._clock,
                model,
                self._holder,
                self._settings.lease_ttl_ms,
            )
            sender = OrderSender(self._http, self._clock, keeper)
            control = ModelControl(keeper, sender, self._clock, self._settings)
            self._controls_by_model[model] = control
        return control

    def leases(self) -> list[dict[str, Any]]:
        """Return the leases held here, as values for the operators' status."""
        now = self._clock.now()
        held = [(n, c.keeper.current()) for n, c in self._controls_by_model.items()]
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
        """Send no more orders and give all leases back."""
        self._is_released = True
        keepers = [control.keeper for control in self._controls_by_model.values()]
        await asyncio.gather(*(keeper.release() for keeper in keepers))
