"""Composition of one daemon."""

import asyncio
from collections.abc import Coroutine

import logbook

from heathershunt.bundle import BundleKeeper
from heathershunt.clock import Clock, SystemClock
from heathershunt.daemon.callers import CallerRoutes
from heathershunt.drafts import (
    DraftExecutor,
    DraftHandler,
    DraftTable,
    EngineClient,
    ProgressMonitor,
)
from heathershunt.http import Address, HttpClient, HttpServer
from heathershunt.placement import PlacementControl
from heathershunt.runners import RunnerBoard, RunnerPoller
from heathershunt.services import ServiceHandler
from heathershunt.settings import Settings
from heathershunt.store import BundleWatch, KeyValueStore, VmList

log = logbook.Logger("heathershunt.daemon")

HOUSEKEEPING_MS = 1000
DRAIN_POLL_MS = 20


class Daemon:
    """One entry VM's process.

    .. versionadded:: 0.1
    """

    def __init__(self, settings: Settings, clock: Clock | None = None) -> None:
        self.settings = settings
        self.clock = clock or SystemClock()
        self.incarnation = self.clock.wall()
        self.http = HttpClient()
        self.keeper = BundleKeeper(settings.bundle.trusted_keys)
        addresses = tuple(map(Address.from_text, settings.platform.store))
        self.store = KeyValueStore(self.http, addresses)
        self.watch = BundleWatch(self.store, self.keeper, lambda: None)
        self.board = RunnerBoard()
        self.vm_list = VmList(
            self.http,
            Address.from_text(settings.platform.vm_list),
            lambda entries: None,
        )
        self.poller = RunnerPoller(
            self.http, self.clock, self.board, lambda: self.vm_list.entries
        )
        self.monitor = ProgressMonitor(self.clock)
        self.table = DraftTable(
            settings.vm.name,
            self.incarnation,
            self.clock,
            settings.drafts.resume_window_ms,
        )
        executor = DraftExecutor(
            EngineClient(self.http),
            self.board,
            self.monitor,
            self.clock,
            settings.drafts.progress_floor_ms,
        )
        self.drafts = DraftHandler(self.table, executor, self.clock)
        self.services = ServiceHandler.create(
            settings.vm.name,
            self.incarnation,
            self.http,
            self.store,
            self.clock,
            self.vm_list.service_addresses,
        )
        self.placement = PlacementControl(
            settings.placement,
            settings.vm.name,
            self.incarnation,
            self.store,
            self.http,
            self.clock,
            self.board,
            lambda: self.keeper.bundle,
            self.vm_list.entry_vms,
        )
        self.callers = HttpServer(CallerRoutes(self).handle)
        self.is_leaving = False
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Bind the listeners and start the background tasks."""
        address = Address.from_text(self.settings.listen.callers)
        await self.callers.start(address.host, address.port)
        await self.vm_list.poll()
        for work in (
            self.watch.run(),
            self.vm_list.run(),
            self.poller.run(),
            self.monitor.run(),
            self._keep_house(),
        ):
            self._spawn(work)
        if self.settings.placement.enabled:
            self._spawn(self.placement.run())
        log.info("{} listens for callers on {}", self.settings.vm.name, address)

    def _spawn(self, work: Coroutine) -> None:
        self._tasks.append(asyncio.create_task(work))

    async def _keep_house(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_MS / 1000)
            self.table.remove_old()
            self.services.remove_old()

    def _is_busy(self) -> bool:
        running = self.table.running or self.services.running
        return bool(running or self.callers.busy)

    async def shut_down(self) -> None:
        """Finish what runs, refuse what is new, then stop."""
        self.is_leaving = True
        self.callers.drain()
        await self.placement.release()
        limit = self.clock.now() + self.settings.drafts.drain_limit_ms
        while self._is_busy() and self.clock.now() < limit:
            await asyncio.sleep(DRAIN_POLL_MS / 1000)
        await self.callers.close()
        for task in self._tasks:
            task.cancel()
        self.http.close()
