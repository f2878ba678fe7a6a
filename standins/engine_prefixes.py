"""Cache of prompt prefixes of an engine stand-in, and its event feed."""

import time
from collections import OrderedDict, deque

from heathershunt.runners import prefix_hashes

POSITIONS_PER_BLOCK = 16
EVENTS_KEPT = 4096
# Every seventh event is left out on purpose, as readers must tolerate gaps.
LOST_EVENT_INTERVAL = 7


class PrefixCache:
    """LRU cache of prompt prefixes, keyed by their hashes.

    .. versionadded:: 0.3
    """

    def __init__(self) -> None:
        self._prefixes: OrderedDict[str, int] = OrderedDict()
        self._events: deque[tuple[float, dict]] = deque(maxlen=EVENTS_KEPT)
        self._last_seq = 0

    def cached_positions(self, prompt: str) -> int:
        """Return the length in positions of the longest cached prefix of a prompt."""
        hashes = prefix_hashes(prompt)
        for index in range(len(hashes) - 1, -1, -1):
            if hashes[index] in self._prefixes:
                self._prefixes.move_to_end(hashes[index])
                return (index + 1) * POSITIONS_PER_BLOCK
        return 0

    def add(self, prompt: str, limit: int) -> None:
        """Add all prefixes of a prompt to the cache.

        :param limit: cached prefixes beyond which the least recently used are evicted.
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
        """Return the events with a sequence number above ``after``.

        :param lag_ms: age below which events are not published yet.
        """
        cutoff = time.monotonic() - lag_ms / 1000
        events = [
            event
            for stamp, event in self._events
            if stamp <= cutoff and event["seq"] > after
        ]
        published = [event for event in events if event["seq"] % LOST_EVENT_INTERVAL]
        return {"events": published, "next": events[-1]["seq"] if events else after}

    def _add_event(self, op: str, prefix: str) -> None:
        self._last_seq += 1
        event = {"seq": self._last_seq, "op": op, "prefix": prefix}
        self._events.append((time.monotonic(), event))
