"""Explanation of one request from the log lines of all VMs."""

from collections.abc import Iterable

from heathershunt.logs.event_types import EVENT_TYPES_BY_NAME
from heathershunt.logs.events import TargetRemoved
from heathershunt.logs.reading import LogLine, causal_order
from heathershunt.logs.request_events import RequestEvent

# Events that a VM logged within this time before a request may explain its decisions.
CONTEXT_BEFORE_MS = 2000
FAILURES = ("refused", "stream_refused", "stream_broken", "send_failed", "caller_left")


def explain_request(lines: Iterable[LogLine], request: str) -> list[str]:
    """Return the cause of a request's outcome, followed by its lines in order.

    :param request: id of the request; the result is empty if no line names the id.
    """
    ordered = causal_order(lines)
    request_lines = [pair for pair in ordered if _belongs_to(pair[1], request)]
    if not request_lines:
        return []
    vms = {line.vm for _, line in request_lines}
    targets = {target for _, line in request_lines for target in _targets(line)}
    first_ms, last_ms = request_lines[0][0], request_lines[-1][0]
    shown = [
        (at_ms, line)
        for at_ms, line in ordered
        if _belongs_to(line, request)
        or (
            first_ms - CONTEXT_BEFORE_MS <= at_ms <= last_ms
            and _is_context(line, vms, targets)
        )
    ]
    cause = _cause([line for _, line in request_lines])
    return [
        f"cause: {cause}",
        *(_format_line(at - first_ms, line) for at, line in shown),
    ]


def _belongs_to(line: LogLine, request: str) -> bool:
    return line.fields.get("request") == request


def _targets(line: LogLine) -> Iterable[str]:
    """Yield the targets that a line of a request names."""
    fields = line.fields
    yield from fields.get("chain", ())
    yield from fields.get("targets", ())
    yield from filter(None, (fields.get("target"), fields.get("faulty")))


def _is_context(line: LogLine, vms: set[str], targets: set[str]) -> bool:
    """Return whether a line gives context: an event at these VMs or of all VMs.

    Lines about targets that the request did not use are left out, except removals: the
    request may have lacked the layers of the removed target.
    """
    event_type = EVENT_TYPES_BY_NAME.get(line.event)
    if event_type is None or issubclass(event_type, RequestEvent):
        return False
    target = line.fields.get("target")
    if target is not None and target not in targets and event_type is not TargetRemoved:
        return False
    return line.vm in vms or event_type.concerns_all_vms


def _cause(request_lines: list[LogLine]) -> str:
    """Return the last failure, or the last line if there is none."""
    for line in reversed(request_lines):
        if line.event in FAILURES:
            return _describe(line)
    return _describe(request_lines[-1])


def _format_line(after_ms: float, line: LogLine) -> str:
    return f"{round(after_ms):+6d} ms {line.vm}: {_describe(line)}"


def _describe(line: LogLine) -> str:
    event_type = EVENT_TYPES_BY_NAME.get(line.event)
    if event_type is not None:
        try:
            return event_type.sentence.format_map(line.fields)
        except KeyError:
            pass  # A line of another version may lack a field.
    details = ", ".join(f"{name} {value}" for name, value in line.fields.items())
    return f"{line.event} ({details})" if details else line.event
