"""Composition of one gateway process."""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Protocol

import logbook
import msgspec

from heathershunt.catalog import Catalog, Engine
from heathershunt.clock import Clock
from heathershunt.coordination import (
    Changes,
    Entry as StoreEntry,
    FollowingStore,
    Leadership,
    LeadershipConfig,
    LeaseKeeper,
    Snapshot,
    Store,
    StoreView,
    ViewConfig,
    ViewMirror,
)
from heathershunt.discovery import Member, MemberList, Target, TargetRegistry
from heathershunt.gateway.config import GatewayConfig
from heathershunt.gateway.directory import ANSWER_TTL_S, Directory, only_get
from heathershunt.gateway.entry import Entry
from heathershunt.gateway.metrics import GatewayMetrics
from heathershunt.gateway.upstream import Upstream
from heathershunt.http import (
    Address,
    HttpClient,
    HttpLimits,
    HttpServer,
    Request,
    Response,
    StreamResponse,
)
from heathershunt.logs import EventLog
from heathershunt.logs.events import (
    ConfigurationInForce,
    MemberChanged,
    Readiness,
    Started,
    Stopped,
    Stopping,
    StoreLost,
    StoreRegained,
    TargetGone,
    TargetListed,
)
from heathershunt.pipelines import (
    LOAD_PATH,
    ChainChooser,
    LoadBoard,
    LoadLedger,
    LoadSharing,
    PaceBook,
    Placer,
    RunnerApi,
)
from heathershunt.relay import (
    BudgetConfig,
    CallerRequest,
    Diagnosis,
    RelayParts,
    SuspectList,
    TargetWire,
    WindowBudget,
)

log = logbook.Logger("heathershunt.gateway")

MEMBER_PREFIX = "vm/"
LEADER_KEY = "leader/placement"
LEASE_TTL_MS = 2500
TICK_MS = 100
# After the stop signal, new connections are still taken for this long: callers use
# addresses that they were given before.
ACCEPT_AFTER_STOP_MS = 1000
# Left of the grace time for closing.
STOP_MARGIN_MS = 500
DRAIN_POLL_MS = 50
BODY_TIMEOUT_MS = 15_000
# Every request takes two descriptors: the caller's connection and the target's.
DESCRIPTORS_PER_CONNECTION = 2
RESERVED_DESCRIPTORS = 300


class Decoder(Protocol):
    """Decodes what others write into the store, and callers' requests.

    .. versionadded:: 0.2
    """

    configuration_key: str
    target_prefix: str
    ready_path: str
    resolve_path: str

    def configuration(self, raw: bytes) -> Catalog:
        """Decode a configuration; raise ``ValueError`` if it is malformed."""

    def target(self, target_id: str, raw: bytes) -> Target:
        """Decode a target's entry; raise ``ValueError`` if it is malformed."""

    def request(self, request: Request) -> CallerRequest:
        """Decode a caller's request; raise ``ValueError`` if it is malformed."""


@dataclass(frozen=True)
class Ports:
    """The ways to the outside that a platform's adapter provides.

    .. versionadded:: 0.2
    """

    store: Store
    runners: RunnerApi
    wire: TargetWire
    decoder: Decoder


class Gateway:
    """One gateway process.

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
        self.catalog: Catalog | None = None
        self.is_leaving = False
        self._leader: tuple[bytes, int] | None = None
        self._tasks: list[asyncio.Task] = []
        bounds = config.bounds
        self.suspects = SuspectList(clock, events.emit)
        self.registry = TargetRegistry(clock, self._on_target)
        self.members = MemberList(clock)
        own = str(config.listeners.callers)
        ttl_s = min(ANSWER_TTL_S, bounds.directory_ttl_most_s)
        self.directory = Directory(self.members, own, ttl_s)
        self._upstream = Upstream(self.members, config.vm, bounds.watch_wait_ms)
        self.view = StoreView(
            FollowingStore(ports.store, http, clock.now, self._upstream.addresses),
            clock,
            ViewConfig(wait_ms=bounds.watch_wait_ms),
            "",
            self._on_snapshot,
            self._on_changes,
            self._on_store_return,
            self._upstream.wait_ms,
            self._on_store_loss,
        )
        self.mirror = ViewMirror(lambda: self.view.age)
        self.keeper = LeaseKeeper(
            ports.store,
            clock,
            max(LEASE_TTL_MS, config.least_lease_ms),
            self._member_value,
        )
        self.leadership = Leadership(
            ports.store,
            self.keeper,
            LeadershipConfig(LEADER_KEY),
            config.vm,
            lambda: self._leader,
            events.emit,
        )
        ledger = LoadLedger(clock)
        paces = PaceBook(clock, events.emit)
        self.board = LoadBoard(clock)
        self.sharing = LoadSharing(
            http, ledger, self.board, config.vm, self._upstream.boards
        )
        budget = BudgetConfig(
            bounds.retry_window_ms, bounds.retry_ratio, bounds.retry_slack
        )
        self.parts = RelayParts(
            clock=clock,
            http=http,
            wire=ports.wire,
            registry=self.registry,
            suspects=self.suspects,
            budget=WindowBudget(clock, budget),
            ledger=ledger,
            chooser=ChainChooser(ledger, paces),
            runners=ports.runners,
            diagnosis=Diagnosis(clock, ports.runners, self.suspects, paces),
            events=events,
            vms=lambda: max(1, len(self.members)),
            domain=config.domain,
        )
        self.entry = Entry(
            self.parts, bounds, lambda: self.catalog, lambda: self.view.age
        )
        self.placer = Placer(
            ports.runners,
            clock,
            self._engines,
            self._placeable,
            lambda: self.leadership.is_leader and not self.is_leaving,
            lambda: self.leadership.fencing_token,
            self.suspects.is_blamed,
            events.emit,
        )
        self._callers = HttpServer(self._handle_caller, cancels_handlers=True)
        self._readiness = HttpServer(self._handle_readiness)
        self._directory = HttpServer(self._handle_directory)
        self._peers = HttpServer(self._handle_peer)
        self.metrics = GatewayMetrics()
        events.add_observer(self.metrics.on_event)
        self._add_gauges()
        self._metrics = HttpServer(self.metrics.handle)

    async def start(self) -> None:
        """Bind the listeners and start the background tasks."""
        listeners = self.config.listeners
        for server, address in (
            (self._callers, listeners.callers),
            (self._readiness, listeners.readiness),
            (self._directory, listeners.directory),
            (self._peers, listeners.peers),
        ):
            await server.start(address.host, address.port)
        await self._start_metrics()
        for work in (
            self.view.run(),
            self.keeper.run(),
            self.leadership.run(),
            self.placer.run(),
            self.sharing.run(),
            self.parts.diagnosis.watch_slow(self.registry.get),
            self._tick(),
        ):
            self._spawn(work)
        self._events.emit(Started(str(listeners.callers)))

    async def _start_metrics(self) -> None:
        """Serve metrics; requests are served without them if that fails."""
        host = self.config.listeners.callers.host
        try:
            await self._metrics.start(host, self.config.metrics_port)
        except OSError as error:
            log.warning("no metrics: cannot listen on {}: {}", host, error)

    def _add_gauges(self) -> None:
        gauges = (
            ("view_age_ms", "age of the view of the store", lambda: self.view.age),
            ("members", "VMs that take callers", lambda: len(self.members)),
            ("targets", "listed targets", lambda: len(self.registry)),
            ("running", "requests being served", lambda: self._callers.busy),
            (
                "configuration_version",
                "configuration in force",
                lambda: self.catalog.version if self.catalog else None,
            ),
            (
                "is_leader",
                "whether this VM orders placements",
                lambda: int(self.leadership.is_leader),
            ),
        )
        for name, doc, read in gauges:
            self.metrics.add_gauge(name, doc, read)

    async def shut_down(self) -> None:
        """Leave the directory, finish what runs, then stop."""
        started = self._clock.now()
        self.is_leaving = True
        self.directory.takes_callers = False
        self._events.emit(Stopping(self._callers.busy))
        self._callers.drain()
        ending = asyncio.create_task(self.keeper.end())
        last = started + self.config.bounds.grace_ms - STOP_MARGIN_MS
        accepting_until = started + ACCEPT_AFTER_STOP_MS
        is_accepting = True
        while (now := self._clock.now()) < last:
            if is_accepting and now >= accepting_until:
                self._callers.stop_accepting()
                is_accepting = False
            if not is_accepting and not self._callers.busy:
                break
            await asyncio.sleep(DRAIN_POLL_MS / 1000)
        self._events.emit(Stopped(self._callers.busy))
        ending.cancel()
        self.stop_now()

    def stop_now(self) -> None:
        """Close the listeners, cut what runs and end the background tasks."""
        for server in (
            self._callers,
            self._readiness,
            self._directory,
            self._peers,
            self._metrics,
        ):
            server.close_now()
        for task in self._tasks:
            task.cancel()
        self._events.close()

    def _spawn(self, work: Coroutine) -> None:
        self._tasks.append(asyncio.create_task(work))

    async def _tick(self) -> None:
        """Keep what depends on time alone up to date."""
        while True:
            self.registry.expire()
            self.members.expire()
            is_fit = self._is_fit()
            if is_fit != self.directory.takes_callers:
                self.directory.takes_callers = is_fit
                self.keeper.publish()
                self._events.emit(Readiness(is_fit, self.view.age))
            await asyncio.sleep(TICK_MS / 1000)

    def _is_fit(self) -> bool:
        """Return whether callers are better served here than turned away."""
        if self.is_leaving or self.catalog is None:
            return False
        return self.entry.is_fit()

    # The view of the store

    def _on_snapshot(self, snapshot: Snapshot) -> None:
        self._events.revision = snapshot.revision
        self.mirror.on_snapshot(snapshot)
        targets, members = [], []
        self._leader = None
        for entry in snapshot.entries:
            if entry.key.startswith(self._ports.decoder.target_prefix):
                target = self._decode_target(entry)
                if target is not None:
                    targets.append(target)
            elif entry.key.startswith(MEMBER_PREFIX):
                member = _decode_member(entry)
                if member is not None:
                    members.append(member)
            else:
                self._on_entry(entry.key, entry)
        self.registry.replace_all(targets)
        self.members.replace_all(members)

    def _on_changes(self, changes: Changes) -> None:
        self._events.revision = changes.revision
        self.mirror.on_changes(changes)
        for key, entry in changes.entries:
            self._on_entry(key, entry)

    def _on_entry(self, key: str, entry: StoreEntry | None) -> None:
        decoder = self._ports.decoder
        if key.startswith(decoder.target_prefix):
            self._on_target_entry(key.removeprefix(decoder.target_prefix), entry)
        elif key.startswith(MEMBER_PREFIX):
            self._on_member_entry(key.removeprefix(MEMBER_PREFIX), entry)
        elif key == decoder.configuration_key and entry is not None:
            self._on_configuration(entry)
        elif key == LEADER_KEY:
            self._leader = None if entry is None else (entry.value, entry.revision)

    def _on_target_entry(self, target_id: str, entry: StoreEntry | None) -> None:
        if entry is None:
            self.registry.remove(target_id)
            return
        target = self._decode_target(entry)
        if target is not None:
            self.registry.put(target)

    def _decode_target(self, entry: StoreEntry) -> Target | None:
        decoder = self._ports.decoder
        try:
            target_id = entry.key.removeprefix(decoder.target_prefix)
            return decoder.target(target_id, entry.value)
        except ValueError as error:
            log.warning("skipped an entry: {}", error)
            return None

    def _on_member_entry(self, vm: str, entry: StoreEntry | None) -> None:
        member = None if entry is None else _decode_member(entry)
        if member is not None:
            self.members.put(member)
        else:
            self.members.remove(vm)
            if vm == self.config.vm and self.directory.takes_callers:
                self.keeper.publish()
        self._events.emit(MemberChanged(vm, member is not None))

    def _on_configuration(self, entry: StoreEntry) -> None:
        try:
            catalog = self._ports.decoder.configuration(entry.value)
        except ValueError as error:
            log.error("skipped a malformed configuration: {}", error)
            return
        if self.catalog is not None and catalog.version <= self.catalog.version:
            return
        self.catalog = catalog
        limits = catalog.limits
        descriptors = self.config.max_descriptors - RESERVED_DESCRIPTORS
        self._callers.limits = HttpLimits(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            connections=max(1, descriptors // DESCRIPTORS_PER_CONNECTION),
            request_ms=BODY_TIMEOUT_MS,
            idle_ms=limits.idle_timeout_ms,
            head_ms=limits.header_timeout_ms,
        )
        self._events.emit(ConfigurationInForce(catalog.version, entry.revision))

    def _on_store_loss(self, detail: str) -> None:
        self._events.emit(StoreLost(detail, self.view.age))

    def _on_store_return(self, away_ms: int) -> None:
        self.registry.store_returned()
        self._events.emit(StoreRegained(away_ms))

    def _on_target(self, target_id: str) -> None:
        target = self.registry.get(target_id)
        if target is None:
            self.suspects.forget(target_id)
            self._events.emit(TargetGone(target_id))
            return
        layers = None if target.held is None else str(target.held)
        self._events.emit(
            TargetListed(target_id, target.service, layers, target.is_draining)
        )

    # Duties

    def _member_value(self) -> tuple[str, bytes] | None:
        if not self.directory.takes_callers:
            return None
        config = self.config
        value = _MemberValue(
            str(config.listeners.callers), config.domain, str(config.listeners.peers)
        )
        return MEMBER_PREFIX + config.vm, msgspec.json.encode(value)

    def _engines(self) -> dict[str, Engine]:
        if self.catalog is None:
            return {}
        return {
            name: service.engine
            for name, service in self.catalog.services_by_name.items()
            if service.engine is not None
        }

    def _placeable(self, service: str) -> list[Target]:
        runners = self.registry.of_service(service)
        return [r for r in runners if not self.registry.is_missing(r.id)]

    # Listeners

    async def _handle_caller(self, request: Request) -> Response | StreamResponse:
        try:
            decoded = self._ports.decoder.request(request)
        except ValueError as error:
            log.info("malformed request: {}", error)
            return Response(400, {"content-type": "text/plain"}, str(error).encode())
        return await self.entry.handle(decoded)

    async def _handle_readiness(self, request: Request) -> Response:
        refusal = only_get(request, self._ports.decoder.ready_path)
        return refusal or self.directory.readiness()

    async def _handle_peer(self, request: Request) -> Response:
        if request.path.startswith(LOAD_PATH):
            return await self.board.handle(request)
        return await self.mirror.handle(request)

    async def _handle_directory(self, request: Request) -> Response:
        refusal = only_get(request, self._ports.decoder.resolve_path)
        return refusal or self.directory.answer()


class _MemberValue(msgspec.Struct):
    callers: str
    domain: str = ""
    peers: str | None = None


def _decode_member(entry: StoreEntry) -> Member | None:
    vm = entry.key.removeprefix(MEMBER_PREFIX)
    try:
        value = msgspec.json.decode(entry.value, type=_MemberValue)
        peers = None if value.peers is None else Address.from_text(value.peers)
    except ValueError as error:
        log.warning("skipped the entry of VM {!r}: {}", vm, error)
        return None
    return Member(vm, value.callers, value.domain, peers)
