"""The operators' side of one daemon: listener, timeline, state of the VM."""

import ssl
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import logbook
from result import Err, Ok, Result

from heathershunt.bundle import Bundle, BundleError, SignedRoot, encode_file
from heathershunt.daemon.status import status_of
from heathershunt.http import Address, HttpServer, Response
from heathershunt.metrics import LoopLag, Metrics
from heathershunt.operators import (
    OPERATOR_LIMITS,
    OperatorAccess,
    OperatorHooks,
    OperatorRoutes,
    roll_file,
)
from heathershunt.timeline import EventKind, HybridClock, Timeline
from heathershunt.tls import TlsContexts, TlsError
from heathershunt.verdict import Refusal, not_run

if TYPE_CHECKING:
    from heathershunt.daemon.app import Daemon


log = logbook.Logger("heathershunt.daemon")


class Operations:
    """What operators see and do on this VM.

    :param daemon: the daemon, whose other slices need not exist yet.
    :ivar leases: returns the leases held here, as maps with the keys ``model``,
        ``holder``, ``fence`` and ``expires_ms``.

    .. versionadded:: 0.1
    """

    def __init__(self, daemon: "Daemon") -> None:
        self._daemon = daemon
        self.hybrid = HybridClock(daemon.clock)
        vm = daemon.settings.vm.name
        self.timeline = Timeline(self.hybrid, vm, daemon.incarnation)
        self.leases: Callable[[], list[dict[str, Any]]] = list
        self.metrics = Metrics()
        self.tls = TlsContexts.from_settings(daemon.settings.tls)
        self.lag = LoopLag(self.metrics.observe_lag)
        hooks = OperatorHooks(
            status=lambda: status_of(daemon, self.leases()),
            timeline=self.timeline,
            bundle_file=self._bundle_file,
            roll=lambda data: roll_file(data, daemon.keeper, daemon.store),
            drain=lambda name: self._set_leaving(name, True),
            admit=lambda name: self._set_leaving(name, False),
        )
        access = OperatorAccess(daemon.settings.operators.key_sha256)
        routes = OperatorRoutes(access, hooks)
        self.server = HttpServer(routes.handle, OPERATOR_LIMITS)

    async def start(self) -> None:
        """Bind the operators' listener."""
        address = Address.from_text(self._daemon.settings.listen.operators)
        await self.server.start(address.host, address.port, self.server_tls)
        self.timeline.record(EventKind.MEMBERSHIP, state="started")
        self._add_gauges()

    def _add_gauges(self) -> None:
        daemon, gauge = self._daemon, self.metrics.add_gauge
        gauge(
            "bundle_version", "bundle version in force", lambda: daemon.keeper.version
        )
        gauge("runners", "runners reported", lambda: len(daemon.board.states_by_runner))
        gauge(
            "peers", "open links to peers", lambda: len(daemon.fleet.mesh.links_by_vm)
        )
        gauge("drafts_running", "drafts in flight", lambda: daemon.table.running)
        gauge("timeline_dropped", "events dropped", lambda: self.timeline.dropped)

    def metrics_response(self) -> Response:
        """Return the metrics in the text format."""
        body, headers = self.metrics.render()
        return Response(200, headers, body)

    @property
    def server_tls(self) -> ssl.SSLContext | None:
        """Return the context of the callers' and operators' listeners."""
        return self.tls.server if self.tls else None

    def reload_certificates(self) -> None:
        """Reread the certificates; those in use stay if the files are not usable."""
        if self.tls is None:
            return
        try:
            if self.tls.reload():
                log.info("certificates reread")
        except TlsError as error:
            log.error("certificates not reread: {}", error)
            self.timeline.record(
                EventKind.FAULT, what="certificates not reread", why=str(error)
            )

    async def close(self) -> None:
        """Close the operators' listener."""
        await self.server.close()

    def on_bundle(self, bundle: Bundle) -> None:
        """Record a bundle that came into force."""
        keeper = self._daemon.keeper
        first = keeper.previous_version == 0
        self.timeline.record(
            EventKind.BUNDLE,
            version=bundle.version,
            sha256=keeper.sha256,
            state="in force",
        )
        self.reload_certificates()
        if first:
            self.timeline.record(EventKind.MEMBERSHIP, state="ready")

    def on_conflict(self, signed: SignedRoot) -> None:
        """Record a second root of the version in force."""
        self.timeline.record(
            EventKind.FAULT,
            what="two roots of one version",
            version=self._daemon.keeper.version,
            sha256=signed.sha256,
        )

    def on_refused(self, error: BundleError) -> None:
        """Record a bundle in the store that is refused here."""
        self.timeline.record(EventKind.FAULT, what="bundle refused", why=str(error))

    def on_draining(self) -> None:
        """Record the start of the graceful shutdown."""
        running = self._daemon.table.running
        self.timeline.record(EventKind.MEMBERSHIP, state="draining", running=running)

    def _bundle_file(self) -> bytes | None:
        keeper = self._daemon.keeper
        if keeper.signed is None:
            return None
        return encode_file(keeper.signed, keeper.parts_by_sha256)

    async def _set_leaving(self, vm: str, leaving: bool) -> Result[None, Refusal]:
        own = self._daemon.settings.vm.name
        if vm == own and self._daemon.is_shutting_down and not leaving:
            detail = f"{vm} is shutting down and cannot be admitted again"
            return Err(not_run(409, "Shutting down", detail))
        if not self._daemon.fleet.set_leaving(vm, leaving):
            detail = f"no VM {vm!r} is known here, or it is dead"
            return Err(not_run(404, "Unknown VM", detail))
        state = "leaving" if leaving else "live"
        self.timeline.record(
            EventKind.MEMBERSHIP, subject=vm, state=state, by="operator"
        )
        return Ok(None)
