"""Evidence as VMs send it to each other and keep it in the store."""

import msgspec

from heathershunt.clock import Clock, Millis
from heathershunt.crashes.evidence import (
    CrashEvidence,
    Evidence,
    PartKey,
    Proof,
    RunnerCrash,
)
from heathershunt.crashes.judge import PartJudge
from heathershunt.schema.decoding import decode_untrusted
from heathershunt.schema.fields import Age, Text, Whole

# Bounds the size of a message: evidence is some 80 bytes long, a sound part 15.
MAX_EVIDENCE = 64
MAX_SOUND_PARTS = 64


class EvidenceRow(msgspec.Struct, array_like=True, frozen=True):
    """Evidence with ages in milliseconds in place of times, as clocks differ.

    :param wrote_ms: time for which the run had written; ``None`` without an event.
        Earlier versions don't send it.

    .. versionadded:: 0.6
    """

    account: Text
    part: Text
    runner: Text
    incarnation: Whole
    sent_age_ms: Age
    crashed_age_ms: Age
    has_begun: bool
    wrote_ms: Whole | None = None

    @classmethod
    def from_evidence(cls, item: CrashEvidence, now: Millis) -> "EvidenceRow":
        """Return the row for evidence at the time ``now``."""
        return cls(
            item.key.account,
            item.key.part,
            item.crash.runner,
            item.crash.incarnation,
            now - item.sent_at,
            now - item.crashed_at,
            item.evidence is not Evidence.WAITING,
            item.wrote_ms if item.evidence is Evidence.WRITING else None,
        )

    def evidence(self, now: Millis) -> CrashEvidence:
        """Return the evidence, on the clock of the receiver."""
        return CrashEvidence(
            PartKey(self.account, self.part),
            RunnerCrash(self.runner, self.incarnation),
            Millis(now - max(0, self.sent_age_ms)),
            Millis(now - max(0, self.crashed_age_ms)),
            self._evidence(),
            self.wrote_ms or 0,
        )

    def _evidence(self) -> Evidence:
        if self.wrote_ms is not None:
            return Evidence.WRITING
        return Evidence.BEGUN if self.has_begun else Evidence.WAITING


class SoundPart(msgspec.Struct, array_like=True, frozen=True):
    """A part on which a run has written.

    :param age_ms: time since the run began to write on it.
    :param lasted_ms: time for which it went on.

    .. versionadded:: 0.6
    """

    part: Text
    age_ms: Age
    lasted_ms: Whole = 0


class _Entry(msgspec.Struct, frozen=True):
    """Value in the store.

    :param written_at: wall time in milliseconds.
    """

    written_at: Whole
    rows: list[EvidenceRow]


_entry_decoder = msgspec.json.Decoder(_Entry)


def encode_entry(evidence: list[CrashEvidence], clock: Clock) -> bytes:
    """Return a value for the store that holds evidence."""
    now = clock.now()
    rows = [EvidenceRow.from_evidence(item, now) for item in evidence]
    return msgspec.json.encode(_Entry(clock.wall(), rows))


def decode_entry(value: bytes, clock: Clock) -> list[CrashEvidence]:
    """Return the evidence that a value of the store holds.

    :raises ValueError: if the value is malformed.
    """
    entry = decode_untrusted(_entry_decoder.decode, value)
    age_ms = max(0, clock.wall() - entry.written_at)
    written_at = Millis(clock.now() - age_ms)
    return [row.evidence(written_at) for row in entry.rows[:MAX_EVIDENCE]]


class CrashDigest(msgspec.Struct, array_like=True, frozen=True):
    """What a VM knows about parts that may crash runners.

    .. versionadded:: 0.6
    """

    rows: list[EvidenceRow] = []
    sound: list[SoundPart] = []

    @classmethod
    def from_judge(cls, judge: PartJudge, now: Millis) -> "CrashDigest":
        """Return what a VM tells the others."""
        rows = [
            EvidenceRow.from_evidence(item, now)
            for item in judge.evidence(MAX_EVIDENCE)
        ]
        sound = [
            SoundPart(part, now - proof.began_at, proof.lasted_ms)
            for part, proof in judge.proofs(MAX_SOUND_PARTS)
        ]
        return cls(rows, sound)

    def apply(self, judge: PartJudge, now: Millis) -> None:
        """Add what another VM knows; what is known already changes nothing."""
        for item in self.sound[:MAX_SOUND_PARTS]:
            began_at = Millis(now - max(0, item.age_ms))
            judge.add_proof(item.part, Proof(began_at, item.lasted_ms))
        for row in self.rows[:MAX_EVIDENCE]:
            judge.add(row.evidence(now), now)
