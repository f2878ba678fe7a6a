"""Status of one VM and its view of the deployment, as JSON values for operators."""

from collections import Counter
from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

from heathershunt.bundle import Bundle
from heathershunt.clock import Millis
from heathershunt.peers import VmRecord
from heathershunt.runners import RunnerState

if TYPE_CHECKING:
    from heathershunt.daemon.app import Daemon


def daemon_status(daemon: "Daemon", leases: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the status of a daemon as JSON values.

    :param leases: leases that the daemon holds.
    """
    bundle = daemon.keeper.bundle
    now = daemon.clock.now()
    runners = [
        _runner_status(state, now)
        for state in daemon.registry.states_by_runner.values()
    ]
    members = daemon.fleet.membership.records_by_vm.values()
    return {
        "vm": _vm_status(daemon),
        "bundle": {
            "version": daemon.keeper.version,
            "sha256": daemon.keeper.sha256,
            "accounts": len(bundle.accounts_by_name) if bundle else 0,
        },
        "members": [_member_status(record) for record in members],
        "listed_vms": [
            {"vm": e.vm, "domain": e.domain, "state": e.state}
            | {"role": e.role.value, "address": e.address, "service": e.service}
            for e in daemon.vm_list.entries
        ],
        "runners": sorted(runners, key=lambda runner: runner["runner"]),
        "pipelines": [] if bundle is None else _pipeline_statuses(bundle, runners),
        "leases": leases,
    }


def _vm_status(daemon: "Daemon") -> dict[str, Any]:
    confirmed = daemon.fleet.tracker.is_confirmed(daemon.clock.now())
    state = "live"
    if daemon.is_leaving:
        state = "leaving"
    elif daemon.keeper.bundle is None or not confirmed:
        state = "not ready"
    return {
        "name": daemon.settings.vm.name,
        "domain": daemon.settings.vm.domain,
        "region": daemon.settings.vm.region,
        "incarnation": daemon.incarnation,
        "state": state,
        "running": daemon.draft_table.running,
        "peers": len(daemon.fleet.mesh.links_by_vm),
        "wall_ms": daemon.clock.wall(),
    }


def _member_status(record: VmRecord) -> dict[str, Any]:
    return {
        "vm": record.vm,
        "state": record.state.value,
        "domain": record.domain,
        "region": record.region,
        "incarnation": record.incarnation,
        "callers": record.callers,
        "operators": record.operators,
    }


def _runner_status(state: RunnerState, now: Millis) -> dict[str, Any]:
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


def _pipeline_statuses(
    bundle: Bundle, runners: list[dict[str, Any]]
) -> list[dict[str, Any]]:
    """Return for each model its layer ranges and how many live runners hold each."""
    counts_by_model: dict[tuple[str, str], Counter[tuple[int, int]]] = {}
    for runner in runners:
        if runner["state"] == "live":
            key = (runner["model"], runner["version"])
            counts_by_model.setdefault(key, Counter())[tuple(runner["layers"])] += 1
    pipelines = []
    for model in bundle.models_by_name.values():
        counts = counts_by_model.get((model.name, model.version), Counter())
        pipelines.append(
            {
                "model": model.name,
                "version": model.version,
                "layers": model.layers,
                "stages": [[*span, count] for span, count in sorted(counts.items())],
                "complete": covers(counts, model.layers),
            }
        )
    return pipelines


def covers(ranges: Iterable[tuple[int, int]], layers: int) -> bool:
    """Return whether some chain of ranges covers all layers without gap or overlap."""
    reached = {0}
    for first, end in sorted(ranges):
        if first in reached:
            reached.add(end)
    return layers in reached
