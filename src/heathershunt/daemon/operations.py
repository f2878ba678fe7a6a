"""The operators' side of one daemon: listener, timeline, state of the VM."""

import ssl
from typing import TYPE_CHECKING, Any

import logbook
from result import Err, Ok, Result

from heathershunt.bundle import Bundle, BundleError, SignedRoot, encode_file
from heathershunt.http import Address, HttpServer, Response
from heathershunt.metrics import LoopLag, Metrics
from heathershunt.operators import (
    OPERATOR_LIMITS,
    OperatorAccess,
    OperatorHooks,
    OperatorRoutes,
    roll_file,
)
from heathershunt.timeline import EventKind, HybridClock, TimeLine
from heathershunt.tls import TlsContexts, TlsError
from heathershunt.verdict import Refusal, not_run

if TYPE_CHECKING:
    from heathershunt.daemon.app import Daemon


log = logbook.Logger("heathershunt.daemon")


class Operations:
    """What operators see and do on this VM.

    :param daemon: the daemon, whose other slices need not exist yet.

    .. versionadded:: 0.1
    """

    def __init__(self, daemon: "Daemon") -> None:
        self._daemon = daemon
        self.hybrid = HybridClock(daemon.clock)
        vm = daemon.settings.vm.name
        self.timeline = TimeLine(self.hybrid, vm, daemon.incarnation)
        self.metrics = Metrics()
        self.tls = TlsContexts.from_settings(daemon.settings.tls)
        self.lag = LoopLag(self.metrics.observe_lag)
        hooks = OperatorHooks(
            status=self.status,
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

    def status(self) -> dict[str, Any]:
        """Return the state of this VM and what it sees, as JSON values."""
        daemon = self._daemon
        bundle = daemon.keeper.bundle
        now = daemon.clock.now()
        states = daemon.board.states_by_runner.values()
        runners = [_runner(state, now) for state in states]
        return {
            "vm": self._vm(),
            "bundle": {
                "version": daemon.keeper.version,
                "sha256": daemon.keeper.sha256,
                "accounts": len(bundle.accounts_by_name) if bundle else 0,
            },
            "listed_vms": [
                {"vm": e.vm, "domain": e.domain, "state": e.state}
                | {"role": e.role.value, "address": e.address, "service": e.service}
                for e in daemon.vm_list.entries
            ],
            "runners": sorted(runners, key=lambda runner: runner["runner"]),
            "pipelines": [] if bundle is None else _pipelines(bundle, runners),
            "leases": [],
        }

    def _vm(self) -> dict[str, Any]:
        daemon = self._daemon
        state = "live"
        if daemon.is_leaving:
            state = "leaving"
        elif daemon.keeper.bundle is None:
            state = "not ready"
        return {
            "name": daemon.settings.vm.name,
            "domain": daemon.settings.vm.domain,
            "region": daemon.settings.vm.region,
            "incarnation": daemon.incarnation,
            "state": state,
            "running": daemon.table.running,
            "wall_ms": daemon.clock.wall(),
        }

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


def _runner(state, now: int) -> dict[str, Any]:
    report, load = state.report, state.report.load
    return {
        "runner": report.runner,
        "address": str(state.address),
        "vm": report.vm,
        "domain": report.domain,
        "kind": report.kind,
        "state": "leaving" if report.leaving else "live",
        "model": report.model,
        "version": report.version,
        "layers": [report.first_layer, report.end_layer],
        "role": report.role,
        "fence": report.fence,
        "running": load.running,
        "queued": load.queued,
        "batch_limit": load.batch_limit,
        "report_age_ms": now - state.received_at,
    }


def _pipelines(bundle: Bundle, runners: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return for each model which layer ranges are held and by how many runners."""
    pipelines = []
    for model in bundle.models_by_name.values():
        count_by_range: dict[tuple[int, int], int] = {}
        for runner in runners:
            held = (runner["model"], runner["version"], runner["state"])
            if held == (model.name, model.version, "live"):
                key = tuple(runner["layers"])
                count_by_range[key] = count_by_range.get(key, 0) + 1
        pipelines.append(
            {
                "model": model.name,
                "version": model.version,
                "layers": model.layers,
                "stages": [[*key, n] for key, n in sorted(count_by_range.items())],
                "complete": _covers(count_by_range, model.layers),
            }
        )
    return pipelines


def _covers(ranges, layers: int) -> bool:
    """Return whether some chain of ranges covers all layers without overlap."""
    reached = {0}
    for first, end in sorted(ranges):
        if first in reached:
            reached.add(end)
    return layers in reached
