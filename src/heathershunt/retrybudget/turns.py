"""Rounding of parts that are fractions of a retry, so that their sum is kept.

The VMs are ordered by a hash, the same order at all VMs. With a part of 0.2 of a retry,
the first fifth of them has one retry and the others have none.
"""

import hashlib
from collections import deque
from collections.abc import Callable, Collection

from heathershunt.clock import Clock, Millis

# Windows after which the VMs are ordered anew, so that no VM stays without a retry.
WINDOWS_PER_TURN = 6


class Turns:
    """Decides how much is added to the part of this VM before it is rounded down.

    :param vm: name of this VM.
    :param vms: called for the names of all VMs that receive requests.
    :param min_vms: size of the smallest fleet in which anything is added.

    .. versionadded:: 0.10
    """

    def __init__(
        self,
        clock: Clock,
        vm: str,
        vms: Callable[[], Collection[str]],
        window_ms: int,
        min_vms: int,
    ) -> None:
        self._clock = clock
        self._vm = vm
        self._vms = vms
        self._window_ms = window_ms
        self._min_vms = min_vms
        self._order: tuple[int, frozenset[str]] | None = None
        # Offsets, each with the time from which it held.
        self._offsets: deque[tuple[Millis, float]] = deque()

    def update(self) -> None:
        """Take over a change of the VMs or of the turn; called at short intervals."""
        turn = self._clock.wall() // (WINDOWS_PER_TURN * self._window_ms)
        order = (turn, frozenset((*self._vms(), self._vm)))
        if order == self._order:
            return
        self._order = order
        _, names = order
        if len(names) < self._min_vms:
            self._offsets.clear()
            return
        self._offsets.append((self._clock.now(), _offset(self._vm, names, turn)))

    def offset(self) -> float:
        """Return what to add to a part before it is rounded down.

        It is the lowest one of the last window. Without this, VMs that have lost a
        retry by a change and VMs that have gained one would use both in one window.
        """
        since = self._clock.now() - self._window_ms
        offsets = self._offsets
        while len(offsets) > 1 and offsets[1][0] <= since:
            offsets.popleft()
        return min((offset for _, offset in offsets), default=0.0)


def _offset(vm: str, names: Collection[str], turn: int) -> float:
    """Return the offset of a VM; those of ``n`` VMs are ``0, 1/n, ... (n - 1)/n``.

    So equal parts ``s``, each with its offset and rounded down, add up to ``n * s``
    rounded down.
    """
    own = _hash(vm, turn)
    rank = sum(_hash(name, turn) < own for name in names)
    return 1 - (rank + 1) / len(names)


def _hash(vm: str, turn: int) -> bytes:
    return hashlib.blake2b(f"{turn} {vm}".encode(), digest_size=8).digest()
