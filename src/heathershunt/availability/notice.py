"""What the header fields of one answer say of the process that sent it."""

import re
from collections.abc import Iterable
from dataclasses import dataclass

MILLISECONDS_PER_SECOND = 1000
# A longer pause is taken for a mistake, for instance one in milliseconds.
MAX_PAUSE_S = 600.0
# Part of a malformed field that is logged.
MAX_SHOWN_VALUES = 2
MAX_SHOWN_CHARACTERS = 40
LEAVING_VALUE = "1"
TURNED_AWAY_STATUS = 503
MISDIRECTED_STATUS = 421
# Digits beyond these can't change a number that is small enough.
_SECONDS = re.compile(r"[0-9]{1,9}(\.[0-9]{0,9})?", re.ASCII)


@dataclass(frozen=True, slots=True)
class Notice:
    """What one answer says of its target.

    :param is_leaving: whether the target takes no more requests from now on.
    :param pause_ms: time for which it wants no requests from this VM; 0 if it asks for
        no pause.
    :param process_id: id of the process that answered; ``None`` if it isn't named.
    :param malformed: names and values of fields that were ignored, cut to a length that
        can be logged.

    .. versionadded:: 0.8
    """

    is_leaving: bool = False
    pause_ms: int = 0
    process_id: str | None = None
    malformed: tuple[str, ...] = ()

    def __bool__(self) -> bool:
        """Return whether the answer says anything."""
        return self.is_leaving or self.pause_ms > 0


@dataclass(frozen=True, slots=True)
class NoticeFields:
    """Names of the header fields that make up a notice, in lower case.

    :param process_id: field that names the process; empty if there is none.
    """

    leaving: str
    retry_after: str = "retry-after"
    process_id: str = ""


# Fields of the targets of the daemon.
DAEMON_FIELDS = NoticeFields("leaving")


def decode_notice(
    status: int, fields: Iterable[tuple[str, str]], names: NoticeFields
) -> Notice:
    """Return what an answer says; a malformed field says nothing.

    An answer with status 421 is that of another process than the one asked for, or
    can't be told from it, so it says nothing either.

    :param fields: all header fields of the answer, with names in lower case.
    """
    if status == MISDIRECTED_STATUS:
        return Notice()
    leaving: set[str] = set()
    pauses: set[str] = set()
    process_id = None
    for name, value in fields:
        if name == names.leaving:
            leaving.add(value.strip())
        elif name == names.retry_after and status == TURNED_AWAY_STATUS:
            pauses.add(value.strip())
        elif name == names.process_id:
            process_id = value
    is_leaving = _is_leaving(leaving) if leaving else False
    pause_ms = _pause_ms(pauses) if pauses else 0
    malformed = ()
    if is_leaving is None:
        malformed += (_shown(names.leaving, leaving),)
    if pause_ms is None:
        malformed += (_shown(names.retry_after, pauses),)
    return Notice(bool(is_leaving), pause_ms or 0, process_id, malformed)


def _shown(name: str, values: set[str]) -> str:
    text = ", ".join(sorted(values)[:MAX_SHOWN_VALUES])
    return f"{name}: {text[:MAX_SHOWN_CHARACTERS]}"


def _is_leaving(values: set[str]) -> bool | None:
    """Return whether the values say so; ``None`` if they are malformed."""
    return True if values == {LEAVING_VALUE} else None


def _pause_ms(values: set[str]) -> int | None:
    """Return the pause in milliseconds; ``None`` if the values are malformed."""
    text = next(iter(values))
    if len(values) != 1 or not _SECONDS.fullmatch(text):
        return None
    seconds = float(text)
    if seconds > MAX_PAUSE_S:
        return None
    return int(seconds * MILLISECONDS_PER_SECOND)
