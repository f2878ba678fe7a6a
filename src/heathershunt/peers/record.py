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
    """Whether a VM takes new work.

    .. versionadded:: 0.1
    """

    LIVE = "live"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclass(frozen=True)
class VmRecord:
    """What is known of one VM.

    Within an incarnation, ``phase`` only goes up: odd means leaving, and admission
    by an operator makes it even again. A late record of an earlier phase therefore
    never makes a leaving VM live.

    :param incarnation: wall-clock time in milliseconds when the VM's daemon started.
    :param callers: address of the listener for callers, as ``ip:port``.
    :param peers: address of the listener for other daemons.
    :param operators: address of the listener for operators.
    :param phase: number of withdrawals and admissions in this incarnation.
    :param seq: raised with every change in the same phase.
    :param dead: no neighbour has seen the VM for too long, or it has shut down.

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
        """Return the state that follows from ``dead`` and ``phase``."""
        if self.dead:
            return VmState.DEAD
        return VmState.LEAVING if self.phase % 2 else VmState.LIVE

    @property
    def rank(self) -> tuple[int, int, int, bool]:
        """Return the key by which records of one VM are ordered."""
        return (self.incarnation, self.phase, self.seq, self.dead)

    def leaving(self) -> "VmRecord":
        """Return the record of the VM as leaving."""
        if self.phase % 2:
            return self
        return replace(self, phase=self.phase + 1)

    def admitted(self) -> "VmRecord":
        """Return the record of the VM as live again after an operator's decision."""
        if self.phase % 2:
            return replace(self, phase=self.phase + 1, seq=self.seq + 1, dead=False)
        return self

    def declared_dead(self) -> "VmRecord":
        """Return the record of the VM as dead."""
        return self if self.dead else replace(self, seq=self.seq + 1, dead=True)

    def refuted(self, seq: int) -> "VmRecord":
        """Return the record that the VM itself sets against a claim with ``seq``."""
        return replace(self, seq=max(self.seq, seq) + 1, dead=False)


@dataclass(frozen=True)
class Suspicion:
    """A neighbour has not seen ``vm``; the VM refutes it by raising its ``seq``.

    .. versionadded:: 0.1
    """

    vm: Name
    incarnation: Counter
    phase: Counter
    seq: Counter

    @property
    def rank(self) -> tuple[int, int, int, bool]:
        """Return the rank of the record that the suspicion is about."""
        return (self.incarnation, self.phase, self.seq, False)


def merge_records(first: VmRecord, second: VmRecord) -> VmRecord:
    """Return the record that wins; the order of arguments does not matter.

    The higher ``(incarnation, phase, seq)`` wins, and dead wins a tie. The remaining
    fields break ties between records that should not exist side by side, so that
    every VM ends up with the same one.
    """
    if first.rank != second.rank:
        return max(first, second, key=lambda record: record.rank)
    return max(first, second, key=astuple)
