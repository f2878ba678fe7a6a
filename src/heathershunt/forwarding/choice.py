"""Choice of the VM through which a request is forwarded."""

import random
from collections import Counter
from collections.abc import Callable, Collection, Iterator, Sequence
from contextlib import contextmanager

from heathershunt.clock import Clock, Millis
from heathershunt.discovery import Member

# Time for which a VM is left out that did not take a request, and for which one counts
# as taking requests that took one.
LEFT_OUT_MS = 1000
# Share of the VMs of the own domain that must take requests, of those asked lately.
# Below it other domains are used as well: the last VM of a domain must not take the
# load of all others.
MIN_TAKING_SHARE = 0.5
# The share is not judged by a single VM.
MIN_DECLINED = 2
# VMs asked for a request after which those that took one lately come first.
ASKED_AT_RANDOM = 2


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
        # Time of the last answer of a VM, and whether it took the request.
        self._answer_by_vm: dict[str, tuple[Millis, bool]] = {}

    def choose(self, asked: Collection[str]) -> Member | None:
        """Return the VM to ask next; ``None`` if there is no other one.

        :param asked: names of the VMs that were asked for this request.
        """
        self._forget_old()
        others = self._others()
        candidates = [m for m in others if m.vm not in asked]
        candidates = [m for m in candidates if self._took(m) is not False] or candidates
        if not candidates:
            return None
        if len(asked) >= ASKED_AT_RANDOM:
            candidates = [m for m in candidates if self._took(m)] or candidates
        share_by_domain = self._taking_shares(others)
        if share_by_domain.get(self._domain, 1.0) >= MIN_TAKING_SHARE:
            near = [m for m in candidates if m.domain == self._domain]
            candidates = near or candidates
        weights = [
            share_by_domain.get(m.domain, 1.0) / (1 + self._running[m.vm])
            for m in candidates
        ]
        return self._rng.choices(candidates, weights)[0]

    @property
    def has_others(self) -> bool:
        """Return whether another VM is known that can be asked."""
        return bool(self._others())

    def leave_out(self, vm: str) -> None:
        """Record that a VM did not take a request."""
        self._answer_by_vm[vm] = (self._clock.now(), False)

    def record_taken(self, vm: str) -> None:
        """Record that a VM took a request."""
        self._answer_by_vm[vm] = (self._clock.now(), True)

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
        """Stop counting a request that ran through a VM."""
        self._running[vm] -= 1
        if self._running[vm] <= 0:
            del self._running[vm]

    def _others(self) -> list[Member]:
        members = self._members()
        return [m for m in members if m.vm != self._vm and m.peers is not None]

    def _forget_old(self) -> None:
        limit = self._clock.now() - LEFT_OUT_MS
        answers = self._answer_by_vm.items()
        self._answer_by_vm = {vm: item for vm, item in answers if item[0] > limit}

    def _took(self, member: Member) -> bool | None:
        """Return whether a VM took its last request; ``None`` if it is not known."""
        answer = self._answer_by_vm.get(member.vm)
        return None if answer is None else answer[1]

    def _taking_shares(self, others: Sequence[Member]) -> dict[str, float]:
        """Return the share of VMs that take requests, for each domain that declined.

        Domains are left out of which fewer than :data:`MIN_DECLINED` VMs declined,
        unless these are all.
        """
        size_by_domain: Counter[str] = Counter()
        taking: Counter[str] = Counter()
        declining: Counter[str] = Counter()
        for member in others:
            size_by_domain[member.domain] += 1
            took = self._took(member)
            if took is not None:
                (taking if took else declining)[member.domain] += 1
        return {
            domain: (taking[domain] + 1) / (taking[domain] + declined + 2)
            for domain, declined in declining.items()
            if declined >= min(MIN_DECLINED, size_by_domain[domain])
        }
