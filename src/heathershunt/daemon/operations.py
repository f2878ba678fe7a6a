"""Operators' listener, timeline, metrics and TLS contexts of one daemon."""

import ssl
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import logbook
from result import Err, Ok, Result

from heathershunt.bundle import Bundle, BundleError, SignedRoot, encode_file
from heathershunt.daemon.status import daemon_status
from heathershunt.http import Address, AnswerCut, CutCause, HttpServer, Response
from heathershunt.logs.availability_events import (
    TargetLeaving,
    TargetPaused,
    TargetsPassedOver,
)
from heathershunt.logs.events import (
    LimitNamed,
    LimitWithdrawn,
    PartBlocked,
    PartTrusted,
)
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
    """What operators use to watch and control this VM.

    :param daemon: the daemon; most of its attributes need not be set yet.
    :ivar leases: returns the leases that this VM holds, as maps with the keys
        ``model``, ``holder``, ``fence`` and ``expires_ms``.

    .. versionadded:: 0.1
    """

    def __init__(self, daemon: "Daemon") -> None:
        self._daemon = daemon
        self.hybrid_clock = HybridClock(daemon.clock)
        vm = daemon.settings.vm.name
        self.timeline = Timeline(self.hybrid_clock, vm, daemon.incarnation)
        self.leases: Callable[[], list[dict[str, Any]]] = list
        self.metrics = Metrics()
        self.tls = TlsContexts.from_settings(daemon.settings.tls)
        self.loop_lag = LoopLag(self.metrics.observe_lag)
        hooks = OperatorHooks(
            status=lambda: daemon_status(daemon, self.leases()),
            timeline=self.timeline,
            bundle_file=self._bundle_file,
            roll=lambda data: roll_file(data, daemon.keeper, daemon.store),
            drain=lambda name: self._set_leaving(name, True),
            admit=lambda name: self._set_leaving(name, False),
            blocks=lambda: daemon.guard.blocks(),
            lift=lambda part: daemon.guard.lift(part),
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
        gauge(
            "runners", "runners reported", lambda: len(daemon.registry.states_by_runner)
        )
        gauge(
            "peers", "open links to peers", lambda: len(daemon.fleet.mesh.links_by_vm)
        )
        gauge("drafts_running", "drafts in flight", lambda: daemon.draft_table.running)
        availability = daemon.availability
        gauge(
            "leaving_targets",
            "runners and addresses that leave by their answers",
            lambda: availability.leaving_count,
        )
        gauge(
            "paused_targets",
            "runners and addresses that asked this VM for a pause that is not over",
            lambda: availability.paused_count,
        )
        gauge("timeline_dropped", "events dropped", lambda: self.timeline.dropped)

    def metrics_response(self) -> Response:
        """Return the metrics in the Prometheus text format."""
        body, headers = self.metrics.render()
        return Response(200, headers, body)

    @property
    def server_tls(self) -> ssl.SSLContext | None:
        """TLS context of the callers' and operators' listeners, if TLS is in use."""
        return self.tls.server if self.tls else None

    def reload_certificates(self) -> None:
        """Reload the certificate files; if they are unusable, keep the loaded ones."""
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
        is_first = keeper.previous_version == 0
        self.timeline.record(
            EventKind.BUNDLE,
            version=bundle.version,
            sha256=keeper.sha256,
            state="in force",
        )
        self.reload_certificates()
        if is_first:
            self.timeline.record(EventKind.MEMBERSHIP, state="ready")

    def on_conflict(self, signed: SignedRoot) -> None:
        """Record a verified root of the version in force that has another hash."""
        self.timeline.record(
            EventKind.FAULT,
            what="two roots of one version",
            version=self._daemon.keeper.version,
            sha256=signed.sha256,
        )

    def on_refused(self, error: BundleError) -> None:
        """Record that a bundle from the store was refused."""
        self.timeline.record(EventKind.FAULT, what="bundle refused", why=str(error))

    def on_part(self, event: PartBlocked | PartTrusted) -> None:
        """Record that requests with a part or key are refused, or sent again."""
        self.timeline.record(
            EventKind.PROMPT, what=event.name, part=event.part, account=event.account
        )

    def on_limit(self, event: LimitNamed | LimitWithdrawn) -> None:
        """Record that a runner or a service takes few requests, or all again."""
        per_s = event.per_s if isinstance(event, LimitNamed) else None
        self.timeline.record(
            EventKind.LIMIT, what=event.name, target=event.target, per_s=per_s
        )

    def on_cut(self, cut: AnswerCut) -> None:
        """Log and count a caller's connection that closed before its answer's end."""
        by_caller = cut.cause is CutCause.CALLER_CLOSED
        request = cut.request
        log.log(
            logbook.INFO if by_caller else logbook.WARNING,
            "connection closed before the end of an answer: {} {} cause={} begun={} {}",
            request.method if request else "",
            request.path if request else "",
            cut.cause.value,
            cut.has_begun,
            cut.detail,
        )
        self.metrics.count_cut(cut.cause.value, cut.has_begun)

    def on_availability(
        self, event: TargetLeaving | TargetPaused | TargetsPassedOver
    ) -> None:
        """Record that a target leaves, pauses or was passed over, and why."""
        fields = {name: value for name, value in vars(event).items()}
        self.timeline.record(EventKind.AVAILABILITY, what=event.name, **fields)

    def on_draining(self) -> None:
        """Record the start of the graceful shutdown."""
        running = self._daemon.draft_table.running
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
