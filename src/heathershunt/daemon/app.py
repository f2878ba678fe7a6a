"""Wiring of the components of one daemon."""

import asyncio
from collections.abc import Awaitable, Callable

import logbook

from heathershunt.admission import ShareConfig, ShareSplitter
from heathershunt.availability import AvailabilityTable, Notice
from heathershunt.background import keep_running
from heathershunt.bundle import Bundle, BundleKeeper
from heathershunt.clock import Clock, SystemClock
from heathershunt.crashes import PartGuard
from heathershunt.daemon.callers import CallerRoutes
from heathershunt.daemon.fleet import Fleet
from heathershunt.daemon.forwarding import PeerRequests
from heathershunt.daemon.operations import Operations
from heathershunt.drafts import (
    AdmissionGate,
    DraftExecutor,
    DraftHandler,
    DraftObserver,
    DraftTable,
    EngineClient,
    ProgressMonitor,
)
from heathershunt.http import Address, HttpClient, HttpServer
from heathershunt.placement import PlacementController
from heathershunt.ratelimits import LimitGuard, Statement, TargetProcess
from heathershunt.retries import EjectionConfig, EjectionPolicy
from heathershunt.routing import Router, RoutingConfig
from heathershunt.runners import RunnerPoller, RunnerRegistry
from heathershunt.services import ServiceHandler
from heathershunt.settings import Settings
from heathershunt.store import BundleWatch, KeyValueStore, ListedVm, VmList

log = logbook.Logger("heathershunt.daemon")

HOUSEKEEPING_INTERVAL_MS = 1000
DRAIN_POLL_INTERVAL_MS = 20
# Time to send the refusals of what a shutdown ends.
REFUSAL_FLUSH_MS = 500


class Daemon:
    """The daemon of one entry VM.

    .. versionadded:: 0.1
    """

    def __init__(self, settings: Settings, clock: Clock | None = None) -> None:
        self.settings = settings
        self.clock = clock or SystemClock()
        self.incarnation = self.clock.wall()
        self.http = HttpClient()
        self.operations = Operations(self)
        self.keeper = BundleKeeper(
            settings.bundle.trusted_keys, self._on_bundle, self.operations.on_conflict
        )
        addresses = tuple(map(Address.from_text, settings.platform.store))
        self.store = KeyValueStore(self.http, addresses)
        self.router = Router.from_config(RoutingConfig(), self.incarnation)
        self.registry = RunnerRegistry(self.router.in_flight)
        self.ejection = EjectionPolicy.from_config(EjectionConfig())
        self.splitter = ShareSplitter.from_config(ShareConfig(), settings.vm.name)
        self.gate = AdmissionGate(
            self.registry, self.splitter, self.clock, self._live_vms
        )
        self.bundle_watch = BundleWatch(
            self.store, self.keeper, self._on_store_contact, self.operations.on_refused
        )
        self.vm_list = VmList(
            self.http,
            Address.from_text(settings.platform.vm_list),
            self._on_vm_list,
        )
        self.poller = RunnerPoller(
            self.http, self.clock, self.registry, lambda: self.vm_list.entries
        )
        self.monitor = ProgressMonitor(self.clock)
        self.draft_table = DraftTable(
            settings.vm.name,
            self.incarnation,
            self.clock,
            settings.drafts.resume_window_ms,
        )
        self.guard = PartGuard(
            self.clock, self.operations.on_part, lambda: len(self._live_vms())
        )
        # Runners and addresses of services; their restarts are not told apart.
        self.limits = LimitGuard(
            self.clock,
            settings.vm.name,
            self._live_vms,
            TargetProcess,
            self.operations.on_limit,
        )
        self.availability = AvailabilityTable(
            self.clock, self._process, self.operations.on_availability
        )
        observer = DraftObserver(self.operations.timeline, self.operations.metrics)
        executor = DraftExecutor(
            EngineClient(self.http, self.clock, self._on_limit, self._on_notice),
            self.router,
            self.registry,
            self.ejection,
            self.monitor,
            self.clock,
            settings.drafts.progress_floor_ms,
            observer,
            self.guard,
            self.limits,
            self.availability,
        )
        self.drafts = DraftHandler(
            self.draft_table, executor, self.gate, self.clock, observer
        )
        self.services = ServiceHandler.create(
            settings.vm.name,
            self.incarnation,
            self.http,
            self.store,
            self.clock,
            self.vm_list.service_addresses,
            self.limits,
            self.guard,
            self.availability,
        )
        self.store.on_restored = self.services.on_store_restored
        self.fleet = Fleet(self)
        self.peer_requests = PeerRequests(self)
        self.services.set_peers(
            self.peer_requests,
            self.peer_requests,
            lambda: tuple(self.fleet.live_vms()),
        )
        self.placement = PlacementController(
            settings.placement,
            settings.vm.name,
            self.incarnation,
            self.store,
            self.http,
            self.clock,
            self.registry,
            lambda: self.keeper.bundle,
            self.vm_list.entry_vms,
            lambda state: self.availability.is_leaving(
                TargetProcess(state.report.runner, state.report.incarnation)
            ),
        )
        self.operations.leases = self.placement.leases
        self.callers = HttpServer(
            CallerRoutes(self).handle, on_cut=self.operations.on_cut
        )
        self.is_shutting_down = False
        self._tasks: list[asyncio.Task] = []

    @property
    def is_leaving(self) -> bool:
        """Whether this VM refuses new work: it shuts down, is drained or superseded."""
        return self.is_shutting_down or self.fleet.membership.is_leaving

    async def start(self) -> None:
        """Bind the listeners and start the background tasks.

        :raises OSError: if a listener cannot be bound.
        """
        address = Address.from_text(self.settings.listen.callers)
        await self.callers.start(address.host, address.port, self.operations.server_tls)
        await self.operations.start()
        await self.fleet.start()
        await self.vm_list.poll()
        for run in (
            self.bundle_watch.run,
            self.vm_list.run,
            self.poller.run,
            self.monitor.run,
            self.gate.run,
            self.operations.loop_lag.run,
            self._run_housekeeping,
        ):
            self._spawn(run)
        if self.settings.placement.enabled:
            self._spawn(self.placement.run)
        log.info("{} listens for callers on {}", self.settings.vm.name, address)

    def _on_bundle(self, bundle: Bundle) -> None:
        self.gate.set_bundle(bundle)
        self.operations.on_bundle(bundle)
        self.fleet.replicator.announce()

    def _on_vm_list(self, entries: tuple[ListedVm, ...]) -> None:
        leaving = frozenset(entry.vm for entry in entries if entry.is_leaving)
        self.registry.set_leaving(leaving)
        self.fleet.apply_vm_list(entries)

    def _on_store_contact(self) -> None:
        self.fleet.tracker.record_store_contact(self.clock.now())
        self.fleet.replicator.announce()

    def _on_limit(self, runner: str, statement: Statement) -> None:
        self.limits.record(TargetProcess(runner), statement)

    def _on_notice(self, runner: str, notice: Notice) -> None:
        self.availability.record(self._process(runner), notice)

    def _process(self, target: str) -> TargetProcess:
        """Return a runner with its start, or an address of a service without one."""
        state = self.registry.states_by_runner.get(target)
        return TargetProcess(target, state.report.incarnation if state else 0)

    def _live_vms(self) -> frozenset[str]:
        return self.fleet.live_vms()

    def _spawn(self, run: Callable[[], Awaitable[None]]) -> None:
        self._tasks.append(asyncio.create_task(keep_running(run)))

    async def _run_housekeeping(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_MS / 1000)
            self.draft_table.remove_expired()
            self.ejection.set_ranges(self.registry.ranges_by_runner())
            self.services.remove_expired()
            self.guard.expire()
            self.limits.update()
            self.availability.expire()
            self.fleet.tick()

    def _has_unfinished_work(self) -> bool:
        window = self.settings.drafts.return_window_ms
        running = self.services.running or self.callers.pending_connections
        return bool(self.draft_table.undelivered(window) or running)

    async def shut_down(self) -> None:
        """Refuse new work, finish running work up to the drain limit, then stop.

        What still runs at the drain limit is refused.
        """
        self.is_shutting_down = True
        self.fleet.set_leaving(self.settings.vm.name, True)
        self.operations.on_draining()
        self.callers.drain()
        await self.placement.release()
        limit = self.clock.now() + self.settings.drafts.drain_limit_ms
        while self._has_unfinished_work() and self.clock.now() < limit:
            self.callers.drain()
            await asyncio.sleep(DRAIN_POLL_INTERVAL_MS / 1000)
        await self.refuse_unfinished()
        await self.callers.close()
        await self.operations.close()
        await self.fleet.close()
        for task in self._tasks:
            task.cancel()
        self.http.close()

    async def refuse_unfinished(self) -> None:
        """Refuse the drafts and calls that still run, and send the refusals."""
        self.draft_table.refuse_running()
        self.services.stop_waiting()
        limit = self.clock.now() + REFUSAL_FLUSH_MS
        while self.callers.pending_connections and self.clock.now() < limit:
            self.callers.drain()
            await asyncio.sleep(DRAIN_POLL_INTERVAL_MS / 1000)
