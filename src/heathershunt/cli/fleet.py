"""Implementation of the commands status, timeline, drain and admit."""

from collections.abc import Mapping
from typing import Any

from heathershunt.cli.context import Context, Output
from heathershunt.cli.exits import CliError, ExitCode
from heathershunt.cli.tables import event_line, table
from heathershunt.http import Address
from heathershunt.timeline import EventKind, event_to_mapping, explain, merge_events

VM_COLUMNS = (
    "vm",
    "domain",
    "region",
    "state",
    "bundle",
    "running",
    "peers",
    "incarnation",
    "listener",
)
RUNNER_COLUMNS = (
    "runner",
    "vm",
    "domain",
    "state",
    "model",
    "version",
    "layers",
    "role",
    "running",
    "queued",
    "report_age_ms",
)
PIPELINE_COLUMNS = ("model", "version", "layers", "complete", "stages")
LEASE_COLUMNS = ("model", "holder", "fence", "expires_ms")


def merge_status(
    statuses: Mapping[Address, Mapping[str, Any]], failures: Mapping[Address, str]
) -> dict[str, Any]:
    """Merge the statuses of the daemons into one state of the deployment.

    Of several reports of one runner the latest is used, of several leases of one
    model the one with the highest fence.

    :param failures: errors of the daemons that gave no status.
    """
    vm_by_name: dict[str, dict[str, Any]] = {}
    runner_by_name: dict[str, dict[str, Any]] = {}
    pipeline_by_key: dict[tuple, dict[str, Any]] = {}
    lease_by_model: dict[str, dict[str, Any]] = {}
    for address, status in statuses.items():
        vm, bundle = status["vm"], status["bundle"]
        vm_by_name[vm["name"]] = (
            {key: value for key, value in vm.items() if key != "name"}
            | {"vm": vm["name"], "listener": str(address)}
            | {"bundle": bundle["version"], "bundle_sha256": bundle["sha256"]}
        )
        for runner in status["runners"]:
            known = runner_by_name.get(runner["runner"])
            if known is None or runner["report_age_ms"] < known["report_age_ms"]:
                runner_by_name[runner["runner"]] = runner
        for pipeline in status["pipelines"]:
            pipeline_by_key[pipeline["model"], pipeline["version"]] = pipeline
        for lease in status["leases"]:
            known = lease_by_model.get(lease["model"])
            if known is None or lease.get("fence", 0) > known.get("fence", 0):
                lease_by_model[lease["model"]] = lease
    for status in statuses.values():
        for member in status["members"]:
            # Listed only by its peers: this VM did not reply, or it is dead.
            if member["vm"] not in vm_by_name:
                vm_by_name[member["vm"]] = member | {"listener": member["operators"]}
    return {
        "vms": [vm_by_name[name] for name in sorted(vm_by_name)],
        "runners": [runner_by_name[name] for name in sorted(runner_by_name)],
        "pipelines": [pipeline_by_key[key] for key in sorted(pipeline_by_key)],
        "leases": [lease_by_model[model] for model in sorted(lease_by_model)],
        "unreachable": [
            {"listener": str(address), "detail": detail}
            for address, detail in failures.items()
        ],
    }


def status_text(state: Mapping[str, Any]) -> str:
    """Return the tables that show the state."""
    sections = [table(VM_COLUMNS, state["vms"])]
    for name, columns in (
        ("pipelines", PIPELINE_COLUMNS),
        ("runners", RUNNER_COLUMNS),
        ("leases", LEASE_COLUMNS),
    ):
        if state[name]:
            rows = [_format_ranges(row) for row in state[name]]
            sections.append(f"{name}:\n{table(columns, rows)}")
    return "\n\n".join(sections)


def _format_ranges(row: Mapping[str, Any]) -> dict[str, Any]:
    """Return a row with layer ranges as ``first-end``, in stages ``first-end xN``."""
    short = dict(row)
    if "stages" in row:
        short["stages"] = [f"{a}-{b} x{n}" for a, b, n in row["stages"]]
    elif isinstance(row.get("layers"), list):
        short["layers"] = "-".join(map(str, row["layers"]))
    return short


def show_status(context: Context) -> Output:
    """Show the state of the deployment."""
    replies = context.run_with_daemons(lambda daemons: daemons.fetch_statuses())
    try:
        state = merge_status(replies.values, replies.failures)
    except (KeyError, TypeError, ValueError) as error:
        detail = f"a daemon returned a malformed status: {error!r}"
        raise CliError(ExitCode.REFUSED, detail) from None
    return Output(state, status_text(state), *_exit_code_and_warnings(replies.failures))


def show_timeline(
    context: Context, query: Mapping[str, str], in_sentences: bool
) -> Output:
    """Show the merged events of the daemons, or explain them in sentences.

    :param query: ``request``, ``vm``, ``kind`` and ``limit``, each empty for all.
    """
    kind, limit, request = query["kind"], query["limit"], query["request"]
    kinds = {known.value for known in EventKind}
    if kind and kind not in kinds:
        accepted = ", ".join(sorted(kinds))
        raise CliError(ExitCode.USAGE, f"--kind {kind!r} is not one of: {accepted}")
    if in_sentences and not request:
        raise CliError(ExitCode.USAGE, "--explain requires --request")
    if limit and not (limit.isascii() and limit.isdigit()):
        raise CliError(ExitCode.USAGE, f"--limit {limit!r} is not a number")
    query = {name: value for name, value in query.items() if value}
    lists, failures = context.run_with_daemons(lambda daemons: daemons.timeline(query))
    events = merge_events(*lists)
    if in_sentences:
        lines = explain(events, request)
        return Output(lines, "\n".join(lines), *_exit_code_and_warnings(failures))
    value = [event_to_mapping(event) for event in events]
    text = "\n".join(map(event_line, events))
    return Output(value, text, *_exit_code_and_warnings(failures))


def change_vm(context: Context, vm: str, action: str, state: str) -> Output:
    """Drain or admit a VM."""
    context.run_with_daemons(lambda daemons: daemons.change_vm(vm, action))
    return Output({"vm": vm, "state": state}, f"{vm} is {state}")


def _exit_code_and_warnings(failures: dict) -> tuple[ExitCode, tuple[str, ...]]:
    code = ExitCode.PARTIAL if failures else ExitCode.DONE
    return code, tuple(failures.values())
