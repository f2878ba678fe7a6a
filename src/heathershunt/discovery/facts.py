"""What is known of a target's process, and what each fact allows."""

from collections.abc import Collection
from enum import Enum, auto


class Fact(Enum):
    """One thing that a VM knows of the process that it sent a request to.

    :cvar SILENT: it gave no report within a moment. Sound ones do so for seconds.
    :cvar UNLISTED: its entry was removed or has lapsed. It may serve for many seconds.
    :cvar LEAVING: its entry or an answer says that it leaves.
    :cvar REFUSES: its address refused a connection, as a cut link may do while the
        connections that are open live on.
    :cvar REPLACED: its entry or its address names a process that started later.

    .. versionadded:: 0.9
    """

    SILENT = auto()
    UNLISTED = auto()
    LEAVING = auto()
    REFUSES = auto()
    REPLACED = auto()


class Step(Enum):
    """What a VM may do about a target or about a request that it was sent.

    :cvar TRY_ANOTHER: send the request to another target too, if it may be repeated.
    :cvar EJECT: avoid the target for a while.
    :cvar CUT: end a request that waits for the target and may not be repeated.
    :cvar BLAME: count the end of the target against the requests that it ran, once it
        has broken them off.

    .. versionadded:: 0.9
    """

    TRY_ANOTHER = auto()
    EJECT = auto()
    CUT = auto()
    BLAME = auto()


_STEPS_BY_FACT = {
    Fact.SILENT: {Step.TRY_ANOTHER, Step.EJECT},
    Fact.UNLISTED: {Step.TRY_ANOTHER},
    Fact.LEAVING: {Step.TRY_ANOTHER},
    Fact.REFUSES: {Step.TRY_ANOTHER, Step.EJECT, Step.BLAME},
    Fact.REPLACED: {Step.TRY_ANOTHER, Step.EJECT, Step.CUT, Step.BLAME},
}
# A target that left as planned ends no differently from one that crashed.
PLANNED = frozenset({Fact.UNLISTED, Fact.LEAVING})


def allows(step: Step, facts: Collection[Fact]) -> bool:
    """Return whether what is known of a target's process allows a step.

    Facts don't add up: a target that is silent and not listed may be sound.
    """
    if step is Step.BLAME and not PLANNED.isdisjoint(facts):
        return False
    return any(step in _STEPS_BY_FACT[fact] for fact in facts)
