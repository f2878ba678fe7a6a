"""Table of the keyed calls that this VM owns, with their outcomes; no I/O."""

import asyncio
from dataclasses import dataclass, field
from enum import Enum

from heathershunt.clock import Millis
from heathershunt.http import Response
from heathershunt.services.calls import CallOutcome, problem_outcome
from heathershunt.verdict import Progress

DEDUPLICATION_WINDOW_MS = 120_000
MAX_ENTRIES = 50_000
MAX_KEPT_BYTES = 67_108_864
MAX_KEPT_ANSWER_BYTES = 262_144
ENTRY_OVERHEAD_BYTES = 512

TableKey = tuple[str, str]


class BeginResult(Enum):
    """What a request with an idempotency key may do.

    ``START``: run the call. ``JOIN``: wait for the outcome of the same request, or
    reuse it. ``CONFLICT``: the key belongs to another request. ``FULL``: the table
    takes no further key.
    """

    START = "start"
    JOIN = "join"
    CONFLICT = "conflict"
    FULL = "full"


@dataclass
class Entry:
    """One keyed call.

    :param keep_until: earliest monotonic time at which the entry may be removed.
    :param outcome: ``None`` until the call has ended.
    :param size: bytes that count against the limit of the table.
    """

    request_hash: bytes
    keep_until: Millis
    outcome: CallOutcome | None = None
    ended_at: Millis | None = None
    size: int = ENTRY_OVERHEAD_BYTES
    done: asyncio.Event = field(default_factory=asyncio.Event)


class KeyTable:
    """Allows at most one run for each key and keeps its outcome for a while.

    :param window_ms: how long an outcome is kept after the call has ended.
    :param max_bytes: no new key is taken while the entries use this many bytes.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        window_ms: int = DEDUPLICATION_WINDOW_MS,
        max_entries: int = MAX_ENTRIES,
        max_bytes: int = MAX_KEPT_BYTES,
    ) -> None:
        self.window_ms = window_ms
        self._max_entries = max_entries
        self._max_bytes = max_bytes
        self._entries_by_key: dict[TableKey, Entry] = {}
        self._bytes = 0
        self.running = 0

    def find(self, key: TableKey) -> Entry | None:
        """Return the entry of a key, or ``None`` if there is none."""
        return self._entries_by_key.get(key)

    def begin(
        self, key: TableKey, request_hash: bytes, keep_until: Millis
    ) -> tuple[BeginResult, Entry | None]:
        """Register a request; only after ``START`` may the caller dispatch it."""
        entry = self._entries_by_key.get(key)
        if entry is not None:
            same = entry.request_hash == request_hash
            return (BeginResult.JOIN if same else BeginResult.CONFLICT), entry
        if (
            len(self._entries_by_key) >= self._max_entries
            or self._bytes >= self._max_bytes
        ):
            return BeginResult.FULL, None
        entry = Entry(request_hash, keep_until)
        self._entries_by_key[key] = entry
        self._bytes += entry.size
        self.running += 1
        return BeginResult.START, entry

    def finish(self, key: TableKey, outcome: CallOutcome, now: Millis) -> None:
        """Store the outcome of a started call.

        The key becomes free again if this VM sent no byte of the call.
        """
        entry = self._entries_by_key[key]
        self.running -= 1
        entry.outcome = outcome
        entry.done.set()
        if outcome.progress is Progress.NOT_SENT or not outcome.is_kept:
            self._remove(key)
            return
        entry.outcome = _limit_size(outcome)
        entry.ended_at = now
        entry.keep_until = Millis(max(entry.keep_until, now + self.window_ms))
        self._bytes += len(entry.outcome.response.body)
        entry.size += len(entry.outcome.response.body)

    def remove_expired(self, now: Millis) -> None:
        """Remove the ended calls whose ``keep_until`` has passed."""
        for key, entry in list(self._entries_by_key.items()):
            if entry.outcome is not None and entry.keep_until <= now:
                self._remove(key)

    def _remove(self, key: TableKey) -> None:
        self._bytes -= self._entries_by_key.pop(key).size


def _limit_size(outcome: CallOutcome) -> CallOutcome:
    response: Response = outcome.response
    if len(response.body) <= MAX_KEPT_ANSWER_BYTES:
        return outcome
    detail = f"the answer had status {response.status} and is too large to be kept"
    return problem_outcome(outcome.progress, 410, "Answer not kept", detail)
