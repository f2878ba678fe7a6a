"""Decision which parts of prompts are blocked because they crash runners."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from itertools import islice

from heathershunt.clock import Millis
from heathershunt.crashes.evidence import (
    CrashEvidence,
    PartKey,
    Proof,
    RunnerCrash,
    score,
)
from heathershunt.crashes.keys import is_request_key

MAX_EVIDENCE_PER_PART = 16
# Of several proofs, a later one may have lasted for less, so the longest is kept, and
# some of the latest.
MAX_LATEST_PROOFS = 3
MAX_EXPONENT = 16
# Share of the requests that are sent although a part is blocked, where another part
# explains its crashes: a sound part must not wait long in a large fleet.
MIN_UNCERTAIN_SHARE = 0.1
# A single request may come at all VMs at once, and of such a wave one at most should be
# sent. Parts of prompts come in requests that are sent one after the other.
REQUEST_TRY_FRACTION = 0.25


@dataclass(frozen=True, slots=True)
class JudgeConfig:
    """Limits of the decision.

    :param block_score: score of an account's crashes at which a part is blocked for it.
    :param sound_score: the same for a part on which a run once went on for longer than
        all those that ended.
    :param request_crashes: crashes, in sequence or not, at which a request with a key
        of its own is blocked.
    :param common_score: score of the crashes of all accounts together at which a part
        is blocked for all of them.
    :param common_accounts: accounts that must have crashes of their own for that.
    :param block_ms: duration of the first block; each further crash doubles it.
    :param max_block_ms: limit of the duration.
    :param memory_ms: time after the last crash for which its evidence is kept.
    :param max_parts: parts with evidence that are kept.
    :param max_sound_parts: parts without evidence on which runs wrote.

    .. versionadded:: 0.6
    """

    block_score: float = 2.0
    sound_score: float = 3.0
    request_crashes: int = 3
    common_score: float = 3.0
    common_accounts: int = 2
    block_ms: int = 60_000
    max_block_ms: int = 300_000
    memory_ms: int = 600_000
    max_parts: int = 512
    max_sound_parts: int = 4096


@dataclass(frozen=True, slots=True)
class Block:
    """A part with which requests of an account are refused.

    :param crashes: score of the crashes that led to the block.
    :param until: time at which requests are tried again, one at a time.
    :param is_explained: whether another blocked part, which the request does not have,
        explains all of these crashes.
    :param is_simultaneous: whether the crashes block the request by their number alone,
        as they did not follow each other.

    .. versionadded:: 0.6
    """

    part: str
    crashes: float
    until: Millis
    is_explained: bool = False
    is_simultaneous: bool = False

    @property
    def is_uncertain(self) -> bool:
        """Return whether the part may well be sound."""
        return self.is_explained or self.is_simultaneous

    def try_share(self, now: Millis, vm_count: int) -> float:
        """Return the share of requests that are sent to learn if the part is sound."""
        share = 1 / max(1, vm_count)
        if self.is_explained:
            return max(share, MIN_UNCERTAIN_SHARE)
        if is_request_key(self.part):
            share *= REQUEST_TRY_FRACTION
        return share if self.is_simultaneous or now >= self.until else 0.0


# Evidence on one part by its identity; a crash counts once for each account.
_Evidence = dict[tuple[PartKey, RunnerCrash, bool], CrashEvidence]


class PartJudge:
    """Collects evidence on parts of prompts, and decides which ones are blocked.

    All state follows from the evidence and from the proofs that a part is sound. VMs
    that exchange both come to the same decision in whatever order they learn them.

    .. versionadded:: 0.6
    """

    def __init__(self, config: JudgeConfig | None = None) -> None:
        self._config = config or JudgeConfig()
        # The parts of the latest crashes are at the end.
        self._evidence_by_part: OrderedDict[str, _Evidence] = OrderedDict()
        self._proofs_by_part: OrderedDict[str, tuple[Proof, ...]] = OrderedDict()
        # Parts with evidence here or at another VM, settled or not.
        self._suspected_at_by_part: OrderedDict[str, Millis] = OrderedDict()

    # What the VMs learn

    def add(self, item: CrashEvidence, now: Millis) -> bool:
        """Add evidence; return whether it was new and still counts."""
        is_new = self._add(item, now)
        self._drop_excess_suspects()
        return is_new

    def _add(self, item: CrashEvidence, now: Millis) -> bool:
        part = item.key.part
        if now - item.crashed_at > self._config.memory_ms:
            return False
        self._suspected_at_by_part[part] = now
        self._suspected_at_by_part.move_to_end(part)
        known = self._evidence_by_part.get(part, {})
        before = known.get(item.identity)
        merged = item if before is None else before.merged(item)
        if merged == before:
            return False
        if any(proof.disproves(merged) for proof in self._proofs(part)):
            self._drop(merged)
            return False
        known = self._evidence_by_part.setdefault(part, known)
        known[merged.identity] = merged
        if len(known) > MAX_EVIDENCE_PER_PART:
            del known[min(known, key=lambda key: known[key].crashed_at)]
        self._evidence_by_part.move_to_end(part)
        self._drop_excess_parts()
        return True

    def _proofs(self, part: str) -> tuple[Proof, ...]:
        return self._proofs_by_part.get(part, ())

    def _drop(self, item: CrashEvidence) -> None:
        """Drop evidence that turned out to be disproved."""
        part = item.key.part
        known = self._evidence_by_part.get(part, {})
        dropped = known.pop(item.identity, None)
        if dropped is not None and not known:
            del self._evidence_by_part[part]

    def _drop_excess_parts(self) -> None:
        """Drop the oldest part, if possible one that crashed a single runner."""
        limit = self._config.max_parts
        by_part = self._evidence_by_part
        if len(by_part) > limit:
            single = (part for part, known in by_part.items() if len(known) == 1)
            oldest = next(iter(by_part))
            del by_part[next(single, oldest)]

    def _drop_excess_suspects(self) -> None:
        """Drop the oldest suspected parts, of those without evidence.

        An answer settles the evidence on suspected parts only.
        """
        suspects = self._suspected_at_by_part
        while len(suspects) > self._config.max_parts:
            settled = (part for part in suspects if part not in self._evidence_by_part)
            del suspects[next(settled)]

    def add_proof(self, part: str, proof: Proof) -> bool:
        """Record that a part is sound; return whether that settled evidence."""
        known = self._proofs(part)
        if any(other.covers(proof) for other in known):
            return False
        kept = [other for other in known if not proof.covers(other)]
        kept = sorted((*kept, proof), key=lambda other: other.began_at)
        # Each lasted for longer than those after it, which began later.
        longest, *later = kept
        self._proofs_by_part[part] = (longest, *later[-MAX_LATEST_PROOFS:])
        self._proofs_by_part.move_to_end(part)
        while len(self._proofs_by_part) > self._config.max_sound_parts:
            self._proofs_by_part.popitem(last=False)
        return self._settle(part, proof)

    @property
    def has_evidence(self) -> bool:
        """Return whether there is evidence on any part."""
        return bool(self._evidence_by_part)

    def is_suspected(self, part: str) -> bool:
        """Return whether there is or was evidence on a part."""
        return part in self._suspected_at_by_part

    def is_sound(self, part: str) -> bool:
        """Return whether a run has written on a part."""
        return part in self._proofs_by_part

    def _has_outlasted(self, part: str, items: Sequence[CrashEvidence]) -> bool:
        """Return whether one run on a part once outlasted all those that ended."""
        proofs = self._proofs(part)
        return any(all(map(proof.outlasts, items)) for proof in proofs)

    def _settle(self, part: str, proof: Proof) -> bool:
        known = self._evidence_by_part.get(part)
        if known is None:
            return False
        settled = [key for key, item in known.items() if proof.disproves(item)]
        for identity in settled:
            del known[identity]
        if not known:
            del self._evidence_by_part[part]
        return bool(settled)

    def expire(self, now: Millis) -> None:
        """Forget parts whose last crash is too long ago."""
        for part, known in list(self._evidence_by_part.items()):
            last = max(item.crashed_at for item in known.values())
            if now - last > self._config.memory_ms:
                del self._evidence_by_part[part]
        for part, suspected_at in list(self._suspected_at_by_part.items()):
            if now - suspected_at > self._config.memory_ms:
                del self._suspected_at_by_part[part]

    # What they decide

    def block(
        self,
        account: str,
        parts: Iterable[str],
        now: Millis,
        draw: float = 1.0,
        vm_count: int = 1,
    ) -> Block | None:
        """Return the block that a request meets; ``None`` if it may be sent.

        :param draw: random number of the request between 0 and 1; a low one makes it
            one of those that are sent to learn whether a part is sound.
        :param vm_count: number of VMs that receive such requests.
        """
        if not self._evidence_by_part:
            return None
        parts = tuple(parts)
        blocks = [self._block(account, part, parts) for part in parts]
        found = [
            item
            for item in blocks
            if item is not None and draw >= item.try_share(now, vm_count)
        ]
        return max(found, key=lambda item: item.until, default=None)

    def _block(self, account: str, part: str, parts: Sequence[str]) -> Block | None:
        reasons = self._reasons(account, part)
        if not reasons:
            return None
        crashes = score(reasons)
        last = max(item.crashed_at for item in reasons)
        until = Millis(last + self._duration_ms(crashes))
        is_explained = self._is_explained(part, parts)
        if is_explained and self._has_ended_well_since(part, last):
            return None
        return Block(
            part,
            crashes,
            until,
            is_explained=is_explained,
            is_simultaneous=crashes < self._config.block_score,
        )

    def _reasons(self, account: str, part: str) -> list[CrashEvidence]:
        """Return the evidence for which a part is blocked for an account; empty if not.

        What an account's own requests showed suffices for itself. What those of others
        showed counts for it only if there are several of them. A rack that fails may
        have had many runs with a shared part, but seldom three of the same request.
        """
        known = list(self._evidence_by_part.get(part, {}).values())
        config = self._config
        own = [item for item in known if item.key.account == account]
        was_sound = self._has_outlasted(part, own)
        if score(own) >= (config.sound_score if was_sound else config.block_score):
            return own
        crashes = {item.crash for item in own}
        if is_request_key(part) and len(crashes) >= config.request_crashes:
            return own
        accounts = {item.key.account for item in known}
        if len(accounts) < config.common_accounts:
            return []
        return known if score(known) >= config.common_score else []

    def _duration_ms(self, crashes: float) -> int:
        config = self._config
        exponent = min(MAX_EXPONENT, max(0, int(crashes - config.block_score)))
        return min(config.max_block_ms, config.block_ms * 2**exponent)

    def _has_ended_well_since(self, part: str, at: Millis) -> bool:
        """Return whether a run that began after a time ended well, however short."""
        proofs = self._proofs(part)
        return any(proof.lasted_ms and proof.began_at >= at for proof in proofs)

    def _is_explained(self, part: str, parts: Sequence[str]) -> bool:
        """Return whether a blocked part outside of ``parts`` explains all crashes."""
        crashes = self._crashes(part)
        return any(
            other not in parts
            and crashes <= self._crashes(other)
            and any(self._reasons(key.account, other) for key, *_ in known)
            for other, known in self._evidence_by_part.items()
        )

    def _crashes(self, part: str) -> set[RunnerCrash]:
        return {crash for _, crash, _ in self._evidence_by_part.get(part, {})}

    def keys(self) -> set[PartKey]:
        """Return the parts with evidence, each for the accounts that have it."""
        return {key for known in self._evidence_by_part.values() for key, *_ in known}

    def blocked_keys(self) -> set[PartKey]:
        """Return the parts that are blocked, each for the accounts with evidence."""
        return {key for key in self.keys() if self._reasons(key.account, key.part)}

    # What they tell each other

    def evidence_on(self, part: str) -> list[CrashEvidence]:
        """Return the evidence on a part."""
        return list(self._evidence_by_part.get(part, {}).values())

    def evidence(self, limit: int) -> list[CrashEvidence]:
        """Return evidence for other VMs, that on the parts with most crashes first."""
        latest_first = reversed(self._evidence_by_part.values())
        parts = sorted(latest_first, key=len, reverse=True)
        items = [item for known in parts for item in known.values()]
        return items[:limit]

    def proofs(self, limit: int) -> list[tuple[str, Proof]]:
        """Return the proofs for parts that have or had evidence, the latest first."""
        found = (
            (part, proof)
            for part in reversed(self._suspected_at_by_part)
            for proof in reversed(self._proofs(part))
        )
        return list(islice(found, limit))
