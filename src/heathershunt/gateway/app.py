"""Composition of one gateway process."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial

import logbook

from heathershunt.availability import AvailabilityTable
from heathershunt.background import keep_running
from heathershunt.catalog import Catalog
from heathershunt.clock import Clock
from heathershunt.coordination import (
    Changes,
    Leadership,
    LeadershipConfig,
    LeaseKeeper,
    MirroredStore,
    Snapshot,
    StoreView,
    ViewConfig,
    ViewMirror,
)
from heathershunt.coordination.revisions import era_of
from heathershunt.crashes import EvidenceKeeper, PartGuard
from heathershunt.discovery import Target
from heathershunt.forwarding import ForwardReceiver
from heathershunt.gateway.caller_limits import caller_limits
from heathershunt.gateway.config import GatewayConfig
from heathershunt.gateway.configurations import (
    ConfigurationInquiry,
    ConfigurationKeeper,
)
from heathershunt.gateway.directory import ANSWER_TTL_S, Directory
from heathershunt.gateway.exchanges import PeerExchanges
from heathershunt.gateway.gauges import add_gauges, add_load_gauges
from heathershunt.gateway.hops import GatewayHops
from heathershunt.gateway.metrics import GatewayMetrics
from heathershunt.gateway.ports import Ports
from heathershunt.gateway.request_handler import RequestHandler
from heathershunt.gateway.retries import fleet_keeper, retry_budget
from heathershunt.gateway.servers import GatewayServers
from heathershunt.gateway.state import (
    LEADER_KEY,
    MEMBER_PREFIX,
    SiteState,
    encode_member,
)
from heathershunt.gateway.topology import Topology
from heathershunt.gateway.where import Where
from heathershunt.http import HttpClient
from heathershunt.logs import EventLog
from heathershunt.logs.events import (
    Readiness,
    Started,
    Stopped,
    Stopping,
    StoreFailed,
)
from heathershunt.pipelines import (
    ChainChooser,
    LoadLedger,
    PaceTracker,
    PeerNotes,
    Placer,
    RunnerNote,
)
from heathershunt.ratelimits import LimitGuard
from heathershunt.ratelimits.runners import CountedRunners
from heathershunt.relay import (
    Diagnosis,
    RelayContext,
    SuspectList,
)
from heathershunt.verdict import may_have_run

log = logbook.Logger("heathershunt.gateway")

LEASE_TTL_MS = 2500
TICK_MS = 100
# Age of the view up to which what it lacks is written to the store.
CURRENT_VIEW_MS = 2000
STOPPED = may_have_run(502, "VM stopped", "the VM stopped before the answer")


class Gateway:
    """One gateway process: its listeners and background tasks.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        config: GatewayConfig,
        ports: Ports,
        http: HttpClient,
        clock: Clock,
        events: EventLog,
    ) -> None:
        self.config = config
        self._ports = ports
        self._clock = clock
        self._events = events
        self.is_leaving = False
        self._tasks: list[asyncio.Task] = []
        bounds = config.bounds
        notes = PeerNotes(clock, self._notes_for_peers, events.emit)
        self.suspects = SuspectList(clock, events.emit, notes)
        self.guard = PartGuard(clock, events.emit, self._vm_count)
        self.limits = LimitGuard(
            clock,
            config.vm,
            lambda: self.state.members.names(),
            lambda target_id: self.state.registry.get(target_id),
            events.emit,
        )
        self.availability = AvailabilityTable(
            clock, lambda target_id: self.state.registry.get(target_id), events.emit
        )
        ports.runners.on_notice = self.availability.record
        state = self.state = SiteState(
            ports.decoder,
            clock,
            self.suspects,
            self.guard,
            self.limits,
            events,
            self._on_catalog,
            self._on_member_removal,
        )
        own_address = str(config.listeners.callers)
        ttl_s = min(ANSWER_TTL_S, bounds.max_directory_ttl_s)
        self.directory = Directory(state.members, own_address, config.domain, ttl_s)
        self._topology = Topology(state.members, config.vm, bounds.watch_wait_ms)
        self.view = StoreView(
            MirroredStore(
                ports.store,
                http,
                clock.now,
                self._topology.upstreams,
                self._topology.max_age_ms,
            ),
            clock,
            ViewConfig(wait_ms=bounds.watch_wait_ms),
            "",
            self._on_snapshot,
            self._on_changes,
            state.on_store_recovery,
            self._topology.wait_ms,
            self._on_store_loss,
            self._on_store_restored,
        )
        self.mirror = ViewMirror(lambda: self.view.age_ms)
        self.keeper = LeaseKeeper(
            ports.store,
            clock,
            max(LEASE_TTL_MS, config.min_lease_ttl_ms),
            self._member_value,
        )
        self._configuration_keeper = ConfigurationKeeper(
            ports.store, clock, state, self._topology.rank, self._has_current_view
        )
        self._inquiry = ConfigurationInquiry(
            http,
            state,
            self._topology.other_vms,
            lambda: era_of(self.view.revision or 0),
        )
        self.leadership = Leadership(
            ports.store,
            self.keeper,
            clock,
            LeadershipConfig(LEADER_KEY),
            config.vm,
            lambda: state.leader,
            events.emit,
        )
        self._ledger = ledger = LoadLedger(clock)
        self._paces = paces = PaceTracker(clock, events.emit, notes)
        topology = self._topology
        budget = retry_budget(
            http, clock, config, state, topology, lambda: self.view.age_ms
        )
        self._fleet_keeper = fleet_keeper(
            ports.store, clock, state, topology, self._has_current_view
        )
        self._exchanges = PeerExchanges(
            http,
            clock,
            config.vm,
            self._topology,
            ledger,
            notes,
            self.guard,
            self.limits,
            budget.pool,
        )
        hops = GatewayHops(
            config, clock, http, state, self.suspects, self.availability, events
        )
        self.links = hops.links
        self._evidence_keeper = EvidenceKeeper(ports.store, self.guard)
        runners = CountedRunners(ports.runners, self.limits, clock)
        self.relay_context = RelayContext(
            clock=clock,
            http=http,
            wire=ports.wire,
            registry=state.registry,
            suspects=self.suspects,
            budget=budget,
            ledger=ledger,
            chooser=ChainChooser(ledger, paces),
            runners=runners,
            diagnosis=Diagnosis(
                clock,
                runners,
                self.suspects,
                paces,
                self._may_check,
                self.availability.is_paused,
                state.registry.record_replacement,
            ),
            endings=hops.endings,
            events=events,
            guard=self.guard,
            limits=self.limits,
            availability=self.availability,
            vm_count=self._vm_count,
            domain=config.domain,
            links=self.links,
        )
        self.request_handler = RequestHandler(
            self.relay_context,
            bounds,
            self._catalog,
            lambda: self.view.age_ms,
            self.links,
            hops.forwarder(self.relay_context),
        )
        self.placer = Placer(
            runners,
            clock,
            state.engines,
            self._placement_candidates,
            lambda: self.leadership.is_leader and not self.is_leaving,
            lambda: self.leadership.fencing_token,
            self.suspects.is_ejected,
            events.emit,
            is_paused=self.availability.is_paused,
        )
        self.metrics = GatewayMetrics()
        events.add_observer(self.metrics.on_event)
        add_gauges(
            self.metrics,
            state,
            view_age_ms=lambda: self.view.age_ms,
            running=lambda: self.servers.callers.active_requests,
            is_leader=lambda: self.leadership.is_leader,
            blocked_parts=lambda: self.guard.blocked_count,
            limited_targets=lambda: self.limits.limited_count,
            leaving_targets=lambda: self.availability.leaving_count,
            paused_targets=lambda: self.availability.paused_count,
            is_cut_off=lambda: self.links.is_cut_off,
            waiting_by_rank=ledger.waiting.by_rank,
            retries=budget,
        )
        add_load_gauges(self.metrics, ledger, self.relay_context.chooser)
        self.servers = GatewayServers(
            clock,
            ports.decoder,
            events,
            self.request_handler,
            self.directory,
            self._inquiry,
            self._exchanges,
            ForwardReceiver(
                clock, events, self.links, self.request_handler.handle_forwarded
            ),
            self.mirror,
            self.metrics,
            Where(
                config.vm,
                self.relay_context,
                self.request_handler,
                lambda: self.view.age_ms,
            ),
        )

    async def start(self) -> None:
        """Bind the listeners and start the background tasks."""
        listeners = self.config.listeners
        await self.servers.start(listeners, self.config.metrics_port)
        polls = self.relay_context.diagnosis.poll_slow_runners
        loops: tuple[Callable[[], Awaitable[None]], ...] = (
            self.view.run,
            self.keeper.run,
            self._inquiry.run,
            self._configuration_keeper.run,
            self.leadership.run,
            self.placer.run,
            *self._exchanges.loops(),
            self._evidence_keeper.run,
            self.relay_context.budget.run,
            self._fleet_keeper.run,
            partial(polls, self.state.registry.get),
            self.links.run,
            self._tick,
        )
        for run in loops:
            self._tasks.append(asyncio.create_task(keep_running(run)))
        self._events.emit(Started(str(listeners.callers)))

    async def shut_down(self) -> None:
        """Leave the directory, finish running requests, then stop.

        Requests that still run shortly before ``grace_ms`` are refused or cut off.
        """
        started = self._clock.now()
        self.is_leaving = True
        self.directory.accepts_callers = False
        self._events.emit(Stopping(self.servers.callers.active_requests))
        ending = asyncio.create_task(self.keeper.end())
        await self.servers.finish_requests(started, self.config.bounds.grace_ms)
        self._events.emit(Stopped(self.servers.callers.active_requests))
        ending.cancel()
        self.stop_now()

    def stop_now(self) -> None:
        """Close all listeners and connections and cancel the background tasks."""
        self.servers.close_now(STOPPED)
        for task in self._tasks:
            task.cancel()
        self._events.close()

    async def _tick(self) -> None:
        """Update the state that depends on time alone, every ``TICK_MS``."""
        while True:
            self.state.expire()
            self.guard.expire()
            self.limits.update()
            self.availability.expire()
            is_ready = self._is_ready()
            if is_ready != self.directory.accepts_callers:
                self.directory.accepts_callers = is_ready
                self.keeper.publish()
                self._events.emit(Readiness(is_ready, self.view.age_ms))
            await asyncio.sleep(TICK_MS / 1000)

    def _is_ready(self) -> bool:
        """Return whether this VM accepts callers' requests."""
        if self.is_leaving or self._catalog() is None:
            return False
        return self.request_handler.has_fresh_view()

    # The configuration

    def _catalog(self) -> Catalog | None:
        """Return the configuration once VMs that run have been asked for theirs."""
        return self.state.catalog if self._inquiry.is_done else None

    def _has_current_view(self) -> bool:
        age = self.view.age_ms
        return age is not None and age < CURRENT_VIEW_MS

    # The view of the store

    def _on_snapshot(self, snapshot: Snapshot) -> None:
        self.mirror.on_snapshot(snapshot)
        self.state.on_snapshot(snapshot)

    def _on_changes(self, changes: Changes) -> None:
        self.mirror.on_changes(changes)
        self.state.on_changes(changes)

    def _on_store_restored(self, era: int) -> None:
        self.leadership.pause_claims(LEASE_TTL_MS)
        self.state.on_store_restored(era)
        self._evidence_keeper.on_store_restored()

    def _on_store_loss(self, detail: str) -> None:
        self._events.emit(StoreFailed(detail, self.view.age_ms))

    def _on_catalog(self, catalog: Catalog) -> None:
        self.servers.set_limits(caller_limits(catalog, self.config.max_descriptors))

    def _on_member_removal(self, vm: str) -> None:
        """Write this VM's entry again if the entry was removed."""
        if vm == self.config.vm and self.directory.accepts_callers:
            self.keeper.publish()

    def _may_check(self, target: Target) -> bool:
        """Return whether a runner may be polled though no stream waits for it."""
        return self.limits.may_check(target) and not self.availability.is_paused(target)

    def _placement_candidates(self, service: str) -> list[Target]:
        """Return the runners of a service that may be ordered to hold layers."""
        runners = self.state.placement_candidates(service)
        return [r for r in runners if not self.availability.is_leaving(r)]

    def _vm_count(self) -> int:
        return max(1, len(self.state.members))

    def _notes_for_peers(self) -> list[RunnerNote]:
        """Return the notes on runners that this VM sends to its peers."""
        rejected = self._ledger.rejections.notes()
        return self._paces.notes() + self.suspects.notes() + rejected

    def _member_value(self) -> tuple[str, bytes] | None:
        if not self.directory.accepts_callers:
            return None
        listeners, domain = self.config.listeners, self.config.domain
        value = encode_member(listeners.callers, domain, listeners.peers)
        return MEMBER_PREFIX + self.config.vm, value
