"""Prompt prefixes that a stand-in engine holds in its cache, and their events."""

import time
from collections import OrderedDict, deque

from heathershunt.runners import prefix_hashes

POSITIONS_PER_BLOCK = 16
EVENTS_KEPT = 4096
# Every seventh event is lost on purpose: readers must cope with gaps.
LOST_EACH = 7


class PrefixCache:
    """Remembers prefixes by their hashes, the least recently used ones go first.

    .. versionadded:: 0.3
    """

    def __init__(self) -> None:
        self._prefixes: OrderedDict[str, int] = OrderedDict()
        self._events: deque[tuple[float, dict]] = deque(maxlen=EVENTS_KEPT)
        self._last_seq = 0

    def held(self, prompt: str) -> int:
        """Return the positions of a prompt that are in the cache."""
        hashes = prefix_hashes(prompt)
        for index in range(len(hashes) - 1, -1, -1):
            if hashes[index] in self._prefixes:
                self._prefixes.move_to_end(hashes[index])
                return (index + 1) * POSITIONS_PER_BLOCK
        return 0

    def remember(self, prompt: str, limit: int) -> None:
        """Keep the prefixes of a prompt.

        :param limit: prefixes kept in all.
        """
        for digest in prefix_hashes(prompt):
            if digest not in self._prefixes:
                self._add_event("add", digest)
            self._prefixes[digest] = 1
            self._prefixes.move_to_end(digest)
        while len(self._prefixes) > limit:
            digest, _ = self._prefixes.popitem(last=False)
            self._add_event("evict", digest)

    def events(self, after: int, lag_ms: float) -> dict:
        """Return the events after a number that are older than the lag."""
        cutoff = time.monotonic() - lag_ms / 1000
        events = [
            event
            for stamp, event in self._events
            if stamp <= cutoff and event["seq"] > after
        ]
        seen = [event for event in events if event["seq"] % LOST_EACH]
        return {"events": seen, "next": events[-1]["seq"] if events else after}

    def _add_event(self, op: str, prefix: str) -> None:
        self._last_seq += 1
        event = {"seq": self._last_seq, "op": op, "prefix": prefix}
        self._events.append((time.monotonic(), event))
