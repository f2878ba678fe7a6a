"""Choice of the VM through which a request is forwarded."""

import random
from collections import Counter
from collections.abc import Callable, Collection, Iterator, Sequence
from contextlib import contextmanager

from heathershunt.clock import Clock, Millis
from heathershunt.discovery import Member

# Time for which a VM is left out that did not take a request.
LEFT_OUT_MS = 1000
# VMs of a domain that did not take a request in that time, after which the domain is
# avoided: all of it may be cut off, and the last VM of a domain must not take the load
# of all others.
MAX_LEFT_OUT = 1
# Time for which a VM that took a request is preferred once another one did not take it:
# if most VMs are cut off, random ones would hardly ever take it.
PREFERRED_MS = 3000


class HopChooser:
    """Chooses among the other VMs, those of the own domain first.

    :param vm: name of this VM.
    :param domain: failure domain of this VM.
    :param members: returns the VMs that accept callers.

    .. versionadded:: 0.10
    """

    def __init__(
        self,
        clock: Clock,
        vm: str,
        domain: str,
        members: Callable[[], Sequence[Member]],
        rng: random.Random | None = None,
    ) -> None:
        self._clock = clock
        self._vm = vm
        self._domain = domain
        self._members = members
        self._rng = rng or random.Random()
        self._running: Counter[str] = Counter()
        self._left_out_until: dict[str, Millis] = {}
        self._taken_at: dict[str, Millis] = {}

    def choose(self, asked: Collection[str]) -> Member | None:
        """Return the VM to ask next; ``None`` if there is no other one.

        :param asked: names of the VMs that were asked for this request.
        """
        others = [m for m in self._others() if m.vm not in asked]
        taking = [m for m in others if not self._is_left_out(m)]
        avoided = self._avoided_domains()
        elsewhere = [m for m in taking if m.domain not in avoided]
        candidates = elsewhere or taking or others
        if not candidates:
            return None
        near = [m for m in candidates if m.domain == self._domain]
        candidates = near or candidates
        if asked:
            known = [m for m in taking if self._took_recently(m)]
            candidates = known or candidates
        weights = [1 / (1 + self._running[member.vm]) for member in candidates]
        return self._rng.choices(candidates, weights)[0]

    @property
    def has_others(self) -> bool:
        """Return whether another VM is known that can be asked."""
        return bool(self._others())

    def leave_out(self, vm: str) -> None:
        """Record that a VM did not take a request."""
        self._left_out_until[vm] = Millis(self._clock.now() + LEFT_OUT_MS)
        self._taken_at.pop(vm, None)

    @contextmanager
    def running(self, vm: str) -> Iterator[None]:
        """Count a request that runs through a VM inside the ``with`` block."""
        self.start(vm)
        try:
            yield
        finally:
            self.end(vm)

    def start(self, vm: str) -> None:
        """Count a request that runs through a VM from now on."""
        self._running[vm] += 1

    def end(self, vm: str) -> None:
        """Stop counting a request that ran through a VM.

        If the VM did not take it, :meth:`leave_out` is called after this.
        """
        self._taken_at[vm] = self._clock.now()
        self._running[vm] -= 1
        if self._running[vm] <= 0:
            del self._running[vm]

    def _others(self) -> list[Member]:
        members = self._members()
        return [m for m in members if m.vm != self._vm and m.peers is not None]

    def _is_left_out(self, member: Member) -> bool:
        until = self._left_out_until.get(member.vm)
        if until is None:
            return False
        if self._clock.now() < until:
            return True
        del self._left_out_until[member.vm]
        return False

    def _took_recently(self, member: Member) -> bool:
        taken_at = self._taken_at.get(member.vm)
        return taken_at is not None and self._clock.now() - taken_at < PREFERRED_MS

    def _avoided_domains(self) -> set[str]:
        """Return the domains in which several VMs did not take a request."""
        left_out = Counter(m.domain for m in self._others() if self._is_left_out(m))
        return {domain for domain, count in left_out.items() if count > MAX_LEFT_OUT}
