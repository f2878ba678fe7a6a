"""Cached prompt prefixes of the runners, from late and incomplete cache events.

An event that was lost costs a recomputation or a missed hit, never a wrong answer.
"""

import hashlib
from collections import OrderedDict
from dataclasses import dataclass

import msgspec

from heathershunt.clock import Millis

WORDS_PER_BLOCK = 16
MAX_PREFIXES_PER_RUNNER = 4096


def prefix_hashes(prompt: str) -> list[str]:
    """Return one hash per whole block of the prompt, each over all up to it.

    The blocks are those of the engines' cache events: 16 words, SHA-256, the first 16
    hexadecimal digits.
    """
    words = prompt.split()
    digest = hashlib.sha256()
    hashes = []
    for start in range(0, len(words) - WORDS_PER_BLOCK + 1, WORDS_PER_BLOCK):
        digest.update(" ".join(words[start : start + WORDS_PER_BLOCK]).encode())
        hashes.append(digest.hexdigest()[:16])
    return hashes


@dataclass(frozen=True)
class CacheEvent:
    """One cache event of a runner; ``op`` is ``add`` or ``evict``."""

    seq: int
    op: str
    prefix: str


@dataclass(frozen=True)
class CacheEvents:
    """Events after a position, and the position to ask from next."""

    events: tuple[CacheEvent, ...]
    next: int


class PrefixCacheView:
    """What one runner is believed to hold.

    .. versionadded:: 0.1
    """

    def __init__(self) -> None:
        self.position = 0
        self.seen_by_hash: OrderedDict[str, Millis] = OrderedDict()

    def apply(self, raw: object, now: Millis) -> None:
        """Take in one answer of the runner.

        :raises msgspec.ValidationError: if it is malformed.
        """
        reply = msgspec.convert(raw, CacheEvents)
        for event in reply.events:
            if event.op == "add":
                self.seen_by_hash[event.prefix] = now
                self.seen_by_hash.move_to_end(event.prefix)
            else:
                self.seen_by_hash.pop(event.prefix, None)
        while len(self.seen_by_hash) > MAX_PREFIXES_PER_RUNNER:
            self.seen_by_hash.popitem(last=False)
        self.position = reply.next

    def restart(self) -> None:
        """Forget everything, as after a restart of the runner."""
        self.position = 0
        self.seen_by_hash.clear()
