"""Refusal of requests whose prompts crash runners, shared by the relays of a VM."""

import asyncio
import random
from collections.abc import Callable, Sequence

from heathershunt.clock import Clock, Millis
from heathershunt.crashes.evidence import (
    CrashEvidence,
    Evidence,
    PartKey,
    Proof,
    RunnerCrash,
)
from heathershunt.crashes.judge import Block, PartJudge
from heathershunt.crashes.keys import RequestKeys, is_request_key
from heathershunt.crashes.messages import CrashDigest, decode_entry, encode_entry
from heathershunt.logs import Event
from heathershunt.logs.events import PartBlocked, PartTrusted

# Keys of one request on which evidence is kept.
MAX_KEYS_OF_REQUEST = 32
MIN_RETRY_AFTER_MS = 1000
# Longer than any answer lasts: a request that was answered to the end is sound.
WHOLE_MS = 86_400_000


class PartGuard:
    """Judges the parts of prompts by what the runs of this and other VMs showed.

    :param emit: called when a part is blocked, and when it is trusted again.
    :param vm_count: returns the number of VMs that receive requests.
    :ivar on_news: called when this VM has seen what the others should learn at once: a
        run that had begun ended with its runner, or a run cleared a blocked part.
    :ivar on_block: called with a blocked part whenever there is news of it, if evidence
        of this VM is among the reasons.
    :ivar on_trust: called with each part that is no longer blocked.

    .. versionadded:: 0.6
    """

    def __init__(
        self,
        clock: Clock,
        emit: Callable[[Event], None],
        vm_count: Callable[[], int],
        judge: PartJudge | None = None,
    ) -> None:
        self._clock = clock
        self._emit = emit
        self._vm_count = vm_count
        self._judge = judge or PartJudge()
        self._blocked: set[PartKey] = set()
        self._seen_here: set[PartKey] = set()
        self._next_block: asyncio.Future | None = None
        self.on_news: Callable[[], None] = lambda: None
        self.on_block: Callable[[str], None] = lambda part: None
        self.on_trust: Callable[[str], None] = lambda part: None

    @property
    def blocked_count(self) -> int:
        """Return the number of blocked parts, counted for each account."""
        return len(self._blocked)

    @property
    def has_evidence(self) -> bool:
        """Return whether any request or part of a prompt is suspected."""
        return self._judge.has_evidence

    # Requests

    def draw(self) -> float:
        """Return the random number that a request keeps for all of its checks."""
        return random.random()

    def block(
        self, account: str | None, parts: Sequence[str], draw: float
    ) -> Block | None:
        """Return the block that a request meets; ``None`` if it may be sent."""
        now = self._clock.now()
        return self._judge.block(account or "", parts, now, draw, self._vm_count())

    def are_sound(self, parts: Sequence[str]) -> bool:
        """Return whether runs have written on all of these parts."""
        return all(map(self._judge.is_sound, parts))

    def left_ms(self, block: Block) -> int:
        """Return the time after which it makes sense to send a refused request again.

        A part is tried again by a few requests only, so a block that is over or in
        doubt may last for some more time.
        """
        return max(MIN_RETRY_AFTER_MS, block.until - self._clock.now())

    # Operators

    def blocks(self) -> list[dict[str, str | int]]:
        """Return the blocks for operators, as JSON values."""
        now, found = self._clock.now(), []
        for key in sorted(self._blocked, key=lambda key: (key.part, key.account)):
            block = self._judge.block(key.account, (key.part,), now)
            if block is not None:
                row = {"part": key.part, "account": key.account}
                found.append(row | {"left_ms": max(0, block.until - now)})
        return found

    def lift(self, part: str) -> bool:
        """End the blocks of a part or key for all accounts; return whether it had any.

        It counts as sound from now on, as after a run that wrote on it: it is blocked
        again after three crashes that follow each other.
        """
        was_blocked = self.is_blocked(part)
        if was_blocked:
            self._record_proof((part,), Proof(self._clock.now(), WHOLE_MS))
        return was_blocked

    # Runs

    def record_writing(self, parts: Sequence[str]) -> None:
        """Record that a run sent its first event.

        :param parts: parts of its prompt, and the key of the request itself.
        """
        self._record_proof(parts, Proof(self._clock.now()))

    def record_outlasting(
        self, parts: Sequence[str], began_at: Millis, lasted_ms: int
    ) -> None:
        """Record that a run went on writing, or came to its end.

        :param began_at: time of its first event.
        :param lasted_ms: time for which it has written.
        """
        self._record_proof(parts, Proof(began_at, lasted_ms))

    def record_answer(self, key: str) -> None:
        """Record that a request with a key of its own was answered to the end."""
        self._record_proof((key,), Proof(self._clock.now(), WHOLE_MS))

    def _record_proof(self, parts: Sequence[str], proof: Proof) -> None:
        has_settled = [
            self._judge.add_proof(part, proof)
            for part in parts
            # Most requests come once, so only those that are suspected are recorded.
            if not is_request_key(part) or self._judge.is_suspected(part)
        ]
        if not any(has_settled):
            return
        blocked_before = self._blocked
        self._update()
        if blocked_before - self._blocked:
            self.on_news()

    def record_crash(
        self,
        account: str | None,
        keys: RequestKeys,
        crash: RunnerCrash,
        sent_at: Millis,
        evidence: Evidence,
        wrote_ms: int = 0,
    ) -> None:
        """Record that a runner ended under a run.

        :param wrote_ms: time from the run's first event to that end.
        """
        now = self._clock.now()
        suspected = keys.suspected_by(evidence, wrote_ms)
        # Parts on which runs wrote are suspected last, as many prompts begin with them.
        for part in sorted(suspected, key=self._judge.is_sound)[:MAX_KEYS_OF_REQUEST]:
            key = PartKey(account or "", part)
            self._seen_here.add(key)
            item = CrashEvidence(key, crash, sent_at, now, evidence, wrote_ms)
            self._judge.add(item, now)
        self._update()
        if evidence is not Evidence.WAITING:
            self.on_news()

    # Other VMs

    def digest(self) -> CrashDigest:
        """Return what the other VMs are told."""
        return CrashDigest.from_judge(self._judge, self._clock.now())

    def merge(self, digest: CrashDigest) -> None:
        """Add what another VM knows."""
        if digest.rows or digest.sound:
            digest.apply(self._judge, self._clock.now())
            self._update()

    def expire(self) -> None:
        """Forget what is too long ago."""
        self._judge.expire(self._clock.now())
        self._update()

    # The store

    def entry(self, part: str) -> bytes:
        """Return the value to keep in the store for a part."""
        return encode_entry(self._judge.evidence_on(part), self._clock)

    def next_block(self) -> asyncio.Future:
        """Return a future that is done as soon as another part is blocked."""
        if self._next_block is None:
            self._next_block = asyncio.get_running_loop().create_future()
        return self._next_block

    def _announce_block(self) -> None:
        future, self._next_block = self._next_block, None
        if future is not None:
            future.set_result(None)

    def is_blocked(self, part: str) -> bool:
        """Return whether a part is blocked for any account."""
        return any(key.part == part for key in self._blocked)

    def evidence_count(self, part: str) -> int:
        """Return the number of pieces of evidence on a part."""
        return len(self._judge.evidence_on(part))

    def on_entry(self, value: bytes) -> None:
        """Add what a value of the store holds.

        :raises ValueError: if the value is malformed.
        """
        evidence = decode_entry(value, self._clock)
        now = self._clock.now()
        for item in evidence:
            self._judge.add(item, now)
        self._update()

    def _update(self) -> None:
        """Log which parts have become blocked or trusted, and have blocks kept."""
        blocked = self._judge.blocked_keys()
        for key in blocked - self._blocked:
            self._emit(PartBlocked(key.part, key.account))
        for key in self._blocked - blocked:
            self._emit(PartTrusted(key.part, key.account))
            self.on_trust(key.part)
        has_new_block = bool(blocked - self._blocked)
        self._blocked = blocked
        if has_new_block:
            self._announce_block()
        self._seen_here &= self._judge.keys()
        for key in blocked & self._seen_here:
            self.on_block(key.part)
