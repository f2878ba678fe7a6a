"""Tables and timeline lines as text for the terminal."""

from collections.abc import Iterable, Mapping, Sequence
from datetime import UTC, datetime
from typing import Any

from heathershunt.timeline import Event, unpack_hlc

COLUMN_GAP = "  "


def cell(value: Any) -> str:
    """Return a value as text without control characters.

    Names come from other processes; a control sequence in one must not reach the
    operator's terminal.
    """
    if isinstance(value, list | tuple):
        text = ",".join(map(str, value))
    else:
        text = "-" if value is None or value == "" else str(value)
    return "".join(c if c.isprintable() else "?" for c in text)


def table(columns: Sequence[str], rows: Iterable[Mapping[str, Any]]) -> str:
    """Return rows as aligned text under the names of ``columns``."""
    lines = [[column.upper().replace("_", " ") for column in columns]]
    lines += [[cell(row.get(column)) for column in columns] for row in rows]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        COLUMN_GAP.join(
            text.ljust(width) for text, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def event_line(event: Event) -> str:
    """Return an event as one line: time, VM, kind, request and fields."""
    wall, counter = unpack_hlc(event.hlc)
    time = datetime.fromtimestamp(wall / 1000, UTC)
    stamp = f"{time:%Y-%m-%dT%H:%M:%S}.{wall % 1000:03}Z+{counter}"
    fields = " ".join(f"{name}={value}" for name, value in event.fields.items())
    request = event.request or "-"
    return cell(f"{stamp} {event.vm} {event.kind.value} {request} {fields}".rstrip())
