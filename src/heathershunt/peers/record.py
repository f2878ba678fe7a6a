"""The record of one VM that daemons exchange, and the rule that merges records."""

from dataclasses import astuple, dataclass, replace
from enum import Enum
from typing import Annotated

import msgspec

MAX_NAME_LENGTH = 64
MAX_ADDRESS_LENGTH = 64

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
AddressText = Annotated[str, msgspec.Meta(max_length=MAX_ADDRESS_LENGTH)]
Counter = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class VmState(Enum):
    """Whether a VM accepts new work; only a live one does.

    .. versionadded:: 0.1
    """

    LIVE = "live"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclass(frozen=True)
class VmRecord:
    """Membership record of one VM.

    Within an incarnation ``phase`` only increases: odd means leaving, and admission
    by an operator makes it even again. A delayed record of an earlier phase
    therefore never makes a leaving VM live.

    :param incarnation: wall-clock time in milliseconds when the VM's daemon started.
    :param callers: address of the listener for callers, as ``ip:port``.
    :param peers: address of the listener for other daemons, as ``ip:port``.
    :param operators: address of the listener for operators, as ``ip:port``.
    :param domain: failure domain.
    :param phase: number of changes between live and leaving in this incarnation.
    :param seq: increased when the VM is declared dead, refutes that or a suspicion, or
        is admitted.
    :param dead: failure detection declared the VM dead, or it has shut down.

    .. versionadded:: 0.1
    """

    vm: Name
    incarnation: Counter
    callers: AddressText = ""
    peers: AddressText = ""
    operators: AddressText = ""
    domain: Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)] = ""
    region: Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)] = ""
    phase: Counter = 0
    seq: Counter = 0
    dead: bool = False

    @property
    def state(self) -> VmState:
        """Return the state, computed from ``dead`` and ``phase``."""
        if self.dead:
            return VmState.DEAD
        return VmState.LEAVING if self.phase % 2 else VmState.LIVE

    @property
    def rank(self) -> tuple[int, int, int, bool]:
        """Return the key that orders records of one VM; the highest is in force."""
        return (self.incarnation, self.phase, self.seq, self.dead)

    def leaving(self) -> "VmRecord":
        """Return this record as leaving; a dead record stays dead."""
        if self.phase % 2:
            return self
        return replace(self, phase=self.phase + 1)

    def admitted(self) -> "VmRecord":
        """Return this record as live again if the VM was leaving."""
        if self.phase % 2:
            return replace(self, phase=self.phase + 1, seq=self.seq + 1, dead=False)
        return self

    def declared_dead(self) -> "VmRecord":
        """Return this record as dead."""
        return self if self.dead else replace(self, seq=self.seq + 1, dead=True)

    def refuting(self, seq: int) -> "VmRecord":
        """Return a record, not dead, that overrides a dead one or a suspicion.

        Only the VM itself may issue the returned record.

        :param seq: the ``seq`` to override.
        """
        return replace(self, seq=max(self.seq, seq) + 1, dead=False)


@dataclass(frozen=True)
class Suspicion:
    """Report that a neighbour receives nothing from ``vm``.

    ``vm`` refutes the suspicion with a record that has a higher ``seq``.

    .. versionadded:: 0.1
    """

    vm: Name
    incarnation: Counter
    phase: Counter
    seq: Counter

    @property
    def rank(self) -> tuple[int, int, int, bool]:
        """Return the rank of the suspected record."""
        return (self.incarnation, self.phase, self.seq, False)


def merge_records(first: VmRecord, second: VmRecord) -> VmRecord:
    """Return the record that is in force; the order of arguments does not matter.

    The higher ``(incarnation, phase, seq)`` wins; of equal ones, a dead record wins.
    Records of the same rank should not differ; if they do, the remaining fields
    break the tie, so that every VM converges to the same record.
    """
    if first.rank != second.rank:
        return max(first, second, key=lambda record: record.rank)
    return max(first, second, key=astuple)
