"""Lines of gateways' logs, read and put in order."""

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from statistics import median
from typing import Any

# Clocks of two VMs are taken to differ by no more than this.
CLOCK_SKEW_MS = 500
LINE_START = '{"time_ms"'


@dataclass(frozen=True)
class LogLine:
    """One line of a gateway's log.

    :param time_ms: time of day at the VM; VMs may differ, and it may be adjusted.
    :param boot: start of the process that wrote it.
    :param number: its number in that start.
    :param steady_ms: steady clock of the VM.
    :param revision: newest revision of the store that the VM knew.

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


HEADER = tuple(name for name in LogLine.__dataclass_fields__ if name != "fields")


def read_lines(lines: Iterable[str]) -> list[LogLine]:
    """Return the events in lines of logs; other lines are passed over.

    A line may have a prefix, as collectors of logs add one.
    """
    found = []
    for line in lines:
        start = line.find(LINE_START)
        if start < 0:
            continue
        try:
            fields = json.loads(line[start:])
            header = {name: fields.pop(name) for name in HEADER}
        except (ValueError, KeyError):
            continue
        found.append(LogLine(**header, fields=fields))
    return found


@dataclass
class _Boot:
    """Lines of one start of a process, in order.

    :param offset_ms: time of day less the steady clock, as most lines have it.
    """

    lines: list[LogLine]
    offset_ms: float
    at: int = 0

    @classmethod
    def from_lines(cls, lines: list[LogLine]) -> "_Boot":
        offset_ms = median(line.time_ms - line.steady_ms for line in lines)
        return cls(sorted(lines, key=lambda line: line.number), offset_ms)

    @property
    def next_line(self) -> LogLine:
        return self.lines[self.at]

    @property
    def next_ms(self) -> float:
        return self.next_line.steady_ms + self.offset_ms


def causal_order(lines: Iterable[LogLine]) -> list[tuple[float, LogLine]]:
    """Return the lines with their times, causes before what follows from them.

    Lines of one start of a process keep their order. What one VM learns of another, it
    learns through the store, so among lines that are close in time those with the
    older revision of the store come first. Jumps of the time of day do not matter.
    """
    lines_by_boot: dict[tuple[str, str], list[LogLine]] = {}
    for line in lines:
        lines_by_boot.setdefault((line.vm, line.boot), []).append(line)
    boots = [_Boot.from_lines(found) for found in lines_by_boot.values()]
    ordered = []
    while boots:
        boot = _next_boot(boots)
        ordered.append((boot.next_ms, boot.next_line))
        boot.at += 1
        if boot.at == len(boot.lines):
            boots.remove(boot)
    return ordered


def _next_boot(boots: list[_Boot]) -> _Boot:
    first_ms = min(boot.next_ms for boot in boots)
    close = [boot for boot in boots if boot.next_ms <= first_ms + CLOCK_SKEW_MS]
    if any(boot.next_line.revision is None for boot in close):
        return min(close, key=lambda boot: boot.next_ms)
    return min(close, key=lambda boot: (boot.next_line.revision, boot.next_ms))
