"""The latest report of each runner, and the views of runners for the chain choice."""

from dataclasses import replace

from heathershunt.clock import Millis
from heathershunt.retries import RunnerRange
from heathershunt.routing import InFlight, RunnerLoadReport, RunnerView
from heathershunt.runners.prefixes import PrefixCacheView
from heathershunt.runners.reports import RunnerState

STALE_REPORT_MS = 10_000
MILLISECONDS_PER_SECOND = 1000


class RunnerRegistry:
    """Holds the latest state and the view of each runner.

    :param in_flight: runs that this VM placed on the runners, shared with the router.

    .. versionadded:: 0.1
    """

    def __init__(self, in_flight: InFlight) -> None:
        self._in_flight = in_flight
        self.states_by_runner: dict[str, RunnerState] = {}
        self.views_by_runner: dict[str, RunnerView] = {}
        self.prefixes_by_runner: dict[str, PrefixCacheView] = {}
        self._leaving_vms: frozenset[str] = frozenset()

    def record(self, state: RunnerState) -> None:
        """Store ``state`` unless it is of an older incarnation of the runner."""
        runner = state.report.runner
        held = self.states_by_runner.get(runner)
        if held and held.report.incarnation > state.report.incarnation:
            return
        if held and held.report.incarnation < state.report.incarnation:
            self.prefixes_by_runner.pop(runner, None)
        self.states_by_runner[runner] = state
        self.views_by_runner[runner] = self._view(state)

    def set_leaving(self, vms: frozenset[str]) -> None:
        """Set the VMs that are leaving by the VM list or by an operator's command.

        Their runners get no new runs, even before they report that they are leaving.
        """
        if vms == self._leaving_vms:
            return
        self._leaving_vms = vms
        for runner, state in self.states_by_runner.items():
            self.views_by_runner[runner] = self._view(state)

    def drop_stale(self, now: Millis, min_age_ms: int = 0) -> None:
        """Drop the runners without a report for :data:`STALE_REPORT_MS`.

        :param min_age_ms: limit to use instead if it is longer, for reports that are
            further apart.
        """
        limit = max(STALE_REPORT_MS, min_age_ms)
        for runner, state in list(self.states_by_runner.items()):
            if now - state.received_at > limit:
                del self.states_by_runner[runner]
                del self.views_by_runner[runner]
                self.prefixes_by_runner.pop(runner, None)
                self._in_flight.discard_runner(runner)

    def ranges_by_runner(self) -> dict[str, RunnerRange]:
        """Return the layers and capacity of each runner, for the ejection policy."""
        return {
            runner: RunnerRange(
                view.model,
                view.first_layer,
                view.end_layer,
                view.load.batch_limit
                * MILLISECONDS_PER_SECOND
                / max(1e-3, view.load.full_step_ms()),
                f"{view.model}/{view.first_layer}-{view.end_layer}/{view.kind}",
            )
            for runner, view in self.views_by_runner.items()
        }

    def prefixes(self, runner: str) -> PrefixCacheView:
        """Return the view of a runner's prefix cache, empty at first."""
        return self.prefixes_by_runner.setdefault(runner, PrefixCacheView())

    def _view(self, state: RunnerState) -> RunnerView:
        report = state.report
        view = RunnerView(
            runner=report.runner,
            address=str(state.address),
            fabric=report.fabric,
            vm=report.vm,
            domain=report.domain,
            kind=report.kind,
            model=report.model,
            version=report.version,
            first_layer=report.first_layer,
            end_layer=report.end_layer,
            adapters=frozenset(report.adapters),
            role=report.role,
            leaving=report.leaving or report.vm in self._leaving_vms,
            load=RunnerLoadReport(
                report.load.running,
                report.load.queued,
                max(1, report.load.batch_limit),
                report.load.step_ms,
                report.load.token_ms,
                report.load.prefill_token_ms,
                report.load.kv_free_tokens,
            ),
            reported_at=state.described_at,
            own=self._in_flight.runs_at(report.runner),
        )
        seen = self.prefixes(report.runner).seen_by_hash
        return replace(view, prefix_seen_by_hash=seen)
