"""Cached prompt prefixes of the runners, from late and incomplete cache events.

A lost event causes a recomputation or a missed cache hit, never a wrong answer.
"""

import hashlib
from collections import OrderedDict
from dataclasses import dataclass

import msgspec

from heathershunt.clock import Millis
from heathershunt.schema.fields import Text, Whole

WORDS_PER_BLOCK = 16
MAX_PREFIXES_PER_RUNNER = 4096


def prefix_hashes(prompt: str) -> list[str]:
    """Return one hash per complete block of the prompt, over the prompt up to its end.

    They match the engines' cache events: a block is 16 words, a hash is the first 16
    hexadecimal digits of SHA-256.
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

    seq: Whole
    op: Text
    prefix: Text


@dataclass(frozen=True)
class CacheEvents:
    """Events after a position, and the position to request the next ones from."""

    events: tuple[CacheEvent, ...]
    next: Whole


class PrefixCacheView:
    """This VM's view of the prefix cache of one runner.

    ``seen_by_hash`` holds the monotonic time at which each cached prefix was last
    reported.

    .. versionadded:: 0.1
    """

    def __init__(self) -> None:
        self.position = 0
        self.seen_by_hash: OrderedDict[str, Millis] = OrderedDict()

    def apply(self, raw: object, now: Millis) -> None:
        """Apply the events of one reply of the runner.

        Above :data:`MAX_PREFIXES_PER_RUNNER` prefixes, those reported longest ago are
        dropped.

        :param raw: decoded body of the reply.
        :raises msgspec.ValidationError: if the body is malformed.
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

    def clear(self) -> None:
        """Clear the view, as after a restart of the runner."""
        self.position = 0
        self.seen_by_hash.clear()
