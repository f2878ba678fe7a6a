"""Evidence that a runner ended under runs, its weight, and what disproves it."""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum

from heathershunt.clock import Millis


class Evidence(Enum):
    """How far a run had come when its runner ended.

    A runner that crashes at a part does so when it begins to write, or soon after. A
    run that was still waiting may have been next, or may only have been there. Many
    runs write at any time, so one that was writing weighs less than one that began.

    :cvar BEGUN: the head of the reply had arrived, but no event.
    :cvar WRITING: an event had arrived.
    :cvar WAITING: nothing had arrived.

    .. versionadded:: 0.6
    """

    BEGUN = 1.0
    WRITING = 0.75
    WAITING = 0.5


@dataclass(frozen=True, slots=True)
class RunnerCrash:
    """One end of a runner's process.

    :param incarnation: wall time in milliseconds when the process started.

    .. versionadded:: 0.6
    """

    runner: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class PartKey:
    """A part of the prompts of one client account.

    :param account: name of the client account; empty on public routes.
    :param part: id of the part.

    .. versionadded:: 0.6
    """

    account: str
    part: str


@dataclass(frozen=True, slots=True)
class CrashEvidence:
    """A run with a certain key ended with its runner.

    :param sent_at: time when the run was sent.
    :param crashed_at: time when the end of the runner was noticed.
    :param wrote_ms: time from the run's first event to that end; 0 without an event.

    .. versionadded:: 0.6
    """

    key: PartKey
    crash: RunnerCrash
    sent_at: Millis
    crashed_at: Millis
    evidence: Evidence
    wrote_ms: int = 0

    @property
    def identity(self) -> tuple[PartKey, RunnerCrash, bool]:
        """Return what evidence has in common that is one and counts once.

        Runs that wrote are kept apart, as more is needed to disprove what they show.
        """
        return self.key, self.crash, self.evidence is Evidence.WRITING

    def merged(self, other: "CrashEvidence") -> "CrashEvidence":
        """Return what this and another message on the same run and crash say together.

        Each message adds its delay to the times, so the earliest ones are nearest to
        the truth. A message on a later crash repeats this one, so the order in which
        the sender saw the two also holds after different delays.
        """
        return replace(
            self,
            sent_at=min(self.sent_at, other.sent_at),
            crashed_at=min(self.crashed_at, other.crashed_at),
            evidence=max(self.evidence, other.evidence, key=lambda item: item.value),
            wrote_ms=max(self.wrote_ms, other.wrote_ms),
        )


@dataclass(frozen=True, slots=True)
class Proof:
    """A run with a certain key wrote for some time, and its runner did not end.

    :param began_at: time of the run's first event.
    :param lasted_ms: time for which it has written, or wrote to its end.

    .. versionadded:: 0.9
    """

    began_at: Millis
    lasted_ms: int = 0

    def outlasts(self, item: CrashEvidence) -> bool:
        """Return whether the run went on for longer than the one that ended."""
        if item.evidence is not Evidence.WRITING:
            return True
        return self.lasted_ms > item.wrote_ms

    def disproves(self, item: CrashEvidence) -> bool:
        """Return whether the run shows that its key is not why a runner ended.

        A run that began before that end says nothing: a key may become deadly.
        """
        return item.crashed_at <= self.began_at and self.outlasts(item)

    def covers(self, other: "Proof") -> bool:
        """Return whether this disproves whatever another one disproves."""
        return self.began_at >= other.began_at and self.lasted_ms >= other.lasted_ms


def score(items: Iterable[CrashEvidence]) -> float:
    """Return the largest weight of crashes that followed each other.

    Two crashes count separately only if the second run was sent after the first crash:
    runners that fail together, with whatever ran there, count once.
    """
    ordered = sorted(items, key=lambda item: item.crashed_at)
    best: list[float] = []
    for item in ordered:
        before = [
            weight
            for earlier, weight in zip(ordered, best, strict=False)
            if earlier.crashed_at <= item.sent_at
        ]
        best.append(max(before, default=0.0) + item.evidence.value)
    return max(best, default=0.0)
