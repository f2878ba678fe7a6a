"""VMs that accept callers, from their leased entries in the store."""

from collections.abc import Iterable
from dataclasses import dataclass

from heathershunt.clock import Clock, Millis
from heathershunt.discovery.outage import OUTAGE_GRACE_MS
from heathershunt.http import Address


@dataclass(frozen=True, slots=True)
class Member:
    """One VM that accepts callers.

    :param callers: address of its listener for callers, as ``ip:port``.
    :param peers: address of its listener for other VMs; ``None`` without one.

    .. versionadded:: 0.2
    """

    vm: str
    callers: str
    domain: str
    peers: Address | None = None


class MemberList:
    """VMs that accept callers, by name; kept through an outage of the store.

    .. versionadded:: 0.2
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._by_vm: dict[str, Member] = {}
        self._missing_since: dict[str, Millis] = {}

    def __len__(self) -> int:
        return len(self._by_vm)

    def members(self) -> list[Member]:
        """Return the VMs that accept callers."""
        return list(self._by_vm.values())

    def names(self) -> list[str]:
        """Return the names of the VMs that accept callers."""
        return list(self._by_vm)

    def members_named(self, names: Iterable[str]) -> list[Member]:
        """Return those of the named VMs that accept callers, in the given order."""
        return [self._by_vm[vm] for vm in names if vm in self._by_vm]

    def put(self, member: Member) -> None:
        """Add or update a VM."""
        self._missing_since.pop(member.vm, None)
        self._by_vm[member.vm] = member

    def remove(self, vm: str) -> None:
        """Remove a VM that left or whose lease expired."""
        self._missing_since.pop(vm, None)
        self._by_vm.pop(vm, None)

    def replace_all(self, members: Iterable[Member]) -> None:
        """Apply a complete list; VMs that are not on it are kept for the grace period.

        Their leases may have expired in an outage of the store.
        """
        listed = {member.vm: member for member in members}
        now = self._clock.now()
        for vm in self._by_vm.keys() - listed.keys():
            self._missing_since.setdefault(vm, now)
        for member in listed.values():
            self.put(member)

    def expire(self) -> None:
        """Drop the VMs whose entries are missing for :data:`OUTAGE_GRACE_MS`."""
        limit = self._clock.now() - OUTAGE_GRACE_MS
        expired = [
            name for name, since in self._missing_since.items() if since <= limit
        ]
        for vm in expired:
            self.remove(vm)
