"""Composition of the retry budget of one gateway."""

from collections.abc import Callable

from heathershunt.clock import Clock
from heathershunt.coordination import Store
from heathershunt.gateway.config import GatewayConfig
from heathershunt.gateway.state import SiteState
from heathershunt.gateway.topology import MAX_FLAT_FLEET, Topology
from heathershunt.http import HttpClient
from heathershunt.relay import RetryBudget
from heathershunt.retrybudget import (
    FleetKeeper,
    GrantLedger,
    HeldGrants,
    RetryPool,
    Standing,
    Turns,
    WindowBudgetConfig,
)


def retry_budget(
    http: HttpClient,
    clock: Clock,
    config: GatewayConfig,
    state: SiteState,
    topology: Topology,
    view_age_ms: Callable[[], int | None],
) -> RetryBudget:
    """Return the retry budget of a VM.

    :param state: lists the VMs that share it.
    :param view_age_ms: returns the age of the view of the store; ``None`` before the
        first answer of the store.

    .. versionadded:: 0.10
    """
    bounds = config.bounds
    limits = WindowBudgetConfig(
        bounds.retry_window_ms, bounds.retry_ratio, bounds.retry_slack, MAX_FLAT_FLEET
    )
    ledger = GrantLedger(clock, limits)
    held = HeldGrants(clock)
    members = state.members

    def standing() -> Standing:
        group = topology.group()
        return Standing(
            is_first=group[:1] == [config.vm],
            group=len(group),
            vms=max(1, len(members)),
            view_age_ms=view_age_ms(),
        )

    return RetryBudget(
        clock,
        limits,
        Turns(clock, config.vm, members.names, limits.window_ms, MAX_FLAT_FLEET + 1),
        ledger,
        held,
        RetryPool(http, clock, config.vm, topology.coordinators, ledger, held),
        standing,
        lambda: state.fleet,
    )


def fleet_keeper(
    store: Store,
    clock: Clock,
    state: SiteState,
    topology: Topology,
    is_current: Callable[[], bool],
) -> FleetKeeper:
    """Return what keeps the size and the restarts of the fleet in the store.

    :param is_current: returns whether this VM sees the store as it is now.

    .. versionadded:: 0.10
    """
    return FleetKeeper(
        store,
        clock,
        lambda: len(state.members),
        lambda: state.fleet,
        topology.rank,
        is_current,
        MAX_FLAT_FLEET,
    )
