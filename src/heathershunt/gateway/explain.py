"""What happened to one request, from the log lines of all VMs."""

from collections.abc import Iterable

from heathershunt.logs.event_types import EVENT_TYPES_BY_NAME
from heathershunt.logs.events import TargetGone
from heathershunt.logs.reading import LogLine, causal_order
from heathershunt.logs.request_events import RequestEvent

# What a VM came to believe shortly before explains what it decided.
BELIEFS_BEFORE_MS = 2000
FAILURES = ("refused", "stream_refused", "stream_broken", "send_failed", "caller_left")


def explain_request(lines: Iterable[LogLine], request: str) -> list[str]:
    """Return the cause of a request's outcome first, then its lines in order.

    :param request: id of the request; empty result if no line names it.
    """
    ordered = causal_order(lines)
    own = [pair for pair in ordered if _is_of(pair[1], request)]
    if not own:
        return []
    vms = {line.vm for _, line in own}
    targets = {target for _, line in own for target in _targets(line)}
    first_ms, last_ms = own[0][0], own[-1][0]
    shown = [
        (at_ms, line)
        for at_ms, line in ordered
        if _is_of(line, request)
        or (
            first_ms - BELIEFS_BEFORE_MS <= at_ms <= last_ms
            and _is_belief(line, vms, targets)
        )
    ]
    cause = _cause([line for _, line in own])
    return [f"cause: {cause}", *(_line(at - first_ms, line) for at, line in shown)]


def _is_of(line: LogLine, request: str) -> bool:
    return line.fields.get("request") == request


def _targets(line: LogLine) -> Iterable[str]:
    """Return the targets that a line of a request names."""
    fields = line.fields
    yield from fields.get("chain", ())
    yield from fields.get("targets", ())
    yield from filter(None, (fields.get("target"), fields.get("faulty")))


def _is_belief(line: LogLine, vms: set[str], targets: set[str]) -> bool:
    """Return whether a line tells what these VMs believed, or what all depend on.

    Targets that the request had nothing to do with are left out, unless they are gone:
    their layers may be what it lacked.
    """
    event_type = EVENT_TYPES_BY_NAME.get(line.event)
    if event_type is None or issubclass(event_type, RequestEvent):
        return False
    target = line.fields.get("target")
    if target is not None and target not in targets and event_type is not TargetGone:
        return False
    return line.vm in vms or event_type.concerns_all_vms


def _cause(own: list[LogLine]) -> str:
    """Return the last failure before the end, or the end itself."""
    for line in reversed(own):
        if line.event in FAILURES:
            return _sentence(line)
    return _sentence(own[-1])


def _line(after_ms: float, line: LogLine) -> str:
    return f"{round(after_ms):+6d} ms {line.vm}: {_sentence(line)}"


def _sentence(line: LogLine) -> str:
    event_type = EVENT_TYPES_BY_NAME.get(line.event)
    if event_type is not None:
        try:
            return event_type.sentence.format_map(line.fields)
        except KeyError:
            pass  # A line of another version may lack a field.
    details = ", ".join(f"{name} {value}" for name, value in line.fields.items())
    return f"{line.event} ({details})" if details else line.event
