"""Parsing of gateways' log lines, and their causal order."""

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from statistics import median
from typing import Any

# Assumed limit for the difference between the wall clocks of two VMs.
MAX_CLOCK_SKEW_MS = 500
LINE_START = '{"time_ms"'


@dataclass(frozen=True)
class LogLine:
    """One line of a gateway's log.

    :param time_ms: wall time of the VM since the Unix epoch. It differs between VMs and
        may be adjusted.
    :param vm: name of the VM.
    :param event: name of the event.
    :param boot: id of the process start that wrote the line.
    :param number: number of the line since that start.
    :param steady_ms: monotonic time of the VM.
    :param revision: newest revision of the store that the VM had received.
    :param fields: the other fields of the event, by name.

    .. versionadded:: 0.3
    """

    time_ms: int
    vm: str
    event: str
    boot: str = ""
    number: int = 0
    steady_ms: int = 0
    revision: int | None = None
    fields: Mapping[str, Any] = field(default_factory=dict)


HEADER_FIELDS = tuple(name for name in LogLine.__dataclass_fields__ if name != "fields")


def read_lines(lines: Iterable[str]) -> list[LogLine]:
    """Return the parsed event lines; other and malformed lines are skipped.

    A line may have a prefix, such as one added by a log collector.
    """
    found = []
    for line in lines:
        start = line.find(LINE_START)
        if start < 0:
            continue
        try:
            fields = json.loads(line[start:])
            header = {name: fields.pop(name) for name in HEADER_FIELDS}
        except (ValueError, KeyError):
            continue
        found.append(LogLine(**header, fields=fields))
    return found


@dataclass
class _Boot:
    """Lines of one process start, sorted by number, and the position of a merge.

    :param offset_ms: median of the wall time minus the monotonic time of the lines. The
        median is insensitive to jumps of the wall clock.
    :param index: index of the next line to merge.
    """

    lines: list[LogLine]
    offset_ms: float
    index: int = 0

    @classmethod
    def from_lines(cls, lines: list[LogLine]) -> "_Boot":
        offset_ms = median(line.time_ms - line.steady_ms for line in lines)
        return cls(sorted(lines, key=lambda line: line.number), offset_ms)

    @property
    def next_line(self) -> LogLine:
        return self.lines[self.index]

    @property
    def next_ms(self) -> float:
        return self.next_line.steady_ms + self.offset_ms


def causal_order(lines: Iterable[LogLine]) -> list[tuple[float, LogLine]]:
    """Return the lines in causal order, each with its estimated wall time.

    Lines of one process start keep their order. VMs receive changes of other VMs
    through the store, so among lines that are close in time those with the older
    revision of the store come first. Jumps of the wall clock have no effect.

    Times are in milliseconds.
    """
    lines_by_boot: dict[tuple[str, str], list[LogLine]] = {}
    for line in lines:
        lines_by_boot.setdefault((line.vm, line.boot), []).append(line)
    boots = [_Boot.from_lines(found) for found in lines_by_boot.values()]
    ordered = []
    while boots:
        boot = _next_boot(boots)
        ordered.append((boot.next_ms, boot.next_line))
        boot.index += 1
        if boot.index == len(boot.lines):
            boots.remove(boot)
    return ordered


def _next_boot(boots: list[_Boot]) -> _Boot:
    first_ms = min(boot.next_ms for boot in boots)
    candidates = [
        boot for boot in boots if boot.next_ms <= first_ms + MAX_CLOCK_SKEW_MS
    ]
    if any(boot.next_line.revision is None for boot in candidates):
        return min(candidates, key=lambda boot: boot.next_ms)
    return min(candidates, key=lambda boot: (boot.next_line.revision, boot.next_ms))
