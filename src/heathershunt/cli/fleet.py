"""Work of the commands on the deployment: state, timeline, draining."""

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
    answers: Mapping[Address, Mapping[str, Any]], failures: Mapping[Address, str]
) -> dict[str, Any]:
    """Return one state of the deployment as JSON values.

    Of several reports of one runner the youngest is taken.
    """
    vm_by_name: dict[str, dict[str, Any]] = {}
    runner_by_name: dict[str, dict[str, Any]] = {}
    pipeline_by_key: dict[tuple, dict[str, Any]] = {}
    lease_by_model: dict[str, dict[str, Any]] = {}
    for address, status in answers.items():
        vm, bundle = status["vm"], status["bundle"]
        vm_by_name[vm["name"]] = (
            {key: value for key, value in vm.items() if key != "name"}
            | {"vm": vm["name"], "listener": str(address)}
            | {"bundle": bundle["version"], "bundle_sha256": bundle["sha256"]}
        )
        for runner in status["runners"]:
            held = runner_by_name.get(runner["runner"])
            if held is None or runner["report_age_ms"] < held["report_age_ms"]:
                runner_by_name[runner["runner"]] = runner
        for pipeline in status["pipelines"]:
            pipeline_by_key[pipeline["model"], pipeline["version"]] = pipeline
        for lease in status["leases"]:
            held = lease_by_model.get(lease["model"])
            if held is None or lease.get("fence", 0) > held.get("fence", 0):
                lease_by_model[lease["model"]] = lease
    for status in answers.values():
        for member in status["members"]:
            # Known to its peers only: it did not answer here, or it is dead.
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
    """Return the tables of the state."""
    sections = [table(VM_COLUMNS, state["vms"])]
    for name, columns in (
        ("pipelines", PIPELINE_COLUMNS),
        ("runners", RUNNER_COLUMNS),
        ("leases", LEASE_COLUMNS),
    ):
        if state[name]:
            rows = [_shorten(row) for row in state[name]]
            sections.append(f"{name}:\n{table(columns, rows)}")
    return "\n\n".join(sections)


def _shorten(row: Mapping[str, Any]) -> dict[str, Any]:
    """Return a row with its layer ranges as ``first-end`` and ``x`` runners."""
    short = dict(row)
    if "stages" in row:
        short["stages"] = [f"{a}-{b} x{n}" for a, b, n in row["stages"]]
    elif isinstance(row.get("layers"), list):
        short["layers"] = "-".join(map(str, row["layers"]))
    return short


def show_status(context: Context) -> Output:
    """Show the state of the deployment."""
    found = context.ask(lambda daemons: daemons.survey())
    try:
        state = merge_status(found.values, found.failures)
    except (KeyError, TypeError, ValueError) as error:
        detail = f"a daemon gave a status of another form: {error!r}"
        raise CliError(ExitCode.REFUSED, detail) from None
    return Output(state, status_text(state), *_partial(found.failures))


def show_timeline(
    context: Context, query: Mapping[str, str], explained: bool
) -> Output:
    """Show or explain the merged events.

    :param query: ``request``, ``vm``, ``kind`` and ``limit``, each empty for all.
    """
    kind, limit, request = query["kind"], query["limit"], query["request"]
    kinds = {known.value for known in EventKind}
    if kind and kind not in kinds:
        accepted = ", ".join(sorted(kinds))
        raise CliError(ExitCode.USAGE, f"--kind: {accepted} are accepted")
    if explained and not request:
        raise CliError(ExitCode.USAGE, "--explain needs --request")
    if limit and not (limit.isascii() and limit.isdigit()):
        raise CliError(ExitCode.USAGE, "--limit: a number is accepted")
    query = {name: value for name, value in query.items() if value}
    lists, failures = context.ask(lambda daemons: daemons.timeline(query))
    events = merge_events(*lists)
    if explained:
        lines = explain(events, request)
        return Output(lines, "\n".join(lines), *_partial(failures))
    value = [event_to_mapping(event) for event in events]
    text = "\n".join(map(event_line, events))
    return Output(value, text, *_partial(failures))


def change_vm(context: Context, vm: str, action: str, state: str) -> Output:
    """Drain or admit a VM."""
    context.ask(lambda daemons: daemons.change_vm(vm, action))
    return Output({"vm": vm, "state": state}, f"{vm} is {state}")


def _partial(failures: dict) -> tuple[ExitCode, tuple[str, ...]]:
    code = ExitCode.PARTIAL if failures else ExitCode.DONE
    return code, tuple(failures.values())
