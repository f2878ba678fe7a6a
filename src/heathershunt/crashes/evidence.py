"""Evidence that a runner ended under runs that had no event yet, and its weight."""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum

from heathershunt.clock import Millis


class Evidence(Enum):
    """How far a run had come when its runner ended.

    A runner that crashes at a part does so when it begins to write. A run that was
    still waiting may have been next, or may only have been there.

    :cvar BEGUN: the head of the reply had arrived, but no event.
    :cvar WAITING: nothing had arrived.

    .. versionadded:: 0.6
    """

    BEGUN = 1.0
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
    """A run without an event whose prompt had a certain part ended with its runner.

    :param sent_at: time when the run was sent.
    :param crashed_at: time when the end of the runner was noticed.

    .. versionadded:: 0.6
    """

    key: PartKey
    crash: RunnerCrash
    sent_at: Millis
    crashed_at: Millis
    evidence: Evidence

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
        )


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
