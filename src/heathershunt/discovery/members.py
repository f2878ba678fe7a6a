"""The VMs that take callers, as their leased entries in the store list them."""

from collections.abc import Iterable
from dataclasses import dataclass

from heathershunt.clock import Clock, Millis
from heathershunt.discovery.outage import REAPPEAR_MS
from heathershunt.http import Address


@dataclass(frozen=True, slots=True)
class Member:
    """One VM that takes callers.

    :param callers: address of its listener for callers, as ``ip:port``.
    :param peers: address of its listener for other VMs; ``None`` without one.

    .. versionadded:: 0.2
    """

    vm: str
    callers: str
    domain: str
    peers: Address | None = None


class MemberList:
    """Entry VMs by name; keeps what it knows while the store is away.

    .. versionadded:: 0.2
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._by_vm: dict[str, Member] = {}
        self._missing_since: dict[str, Millis] = {}

    def __len__(self) -> int:
        return len(self._by_vm)

    def members(self) -> list[Member]:
        """Return the VMs that take callers."""
        return list(self._by_vm.values())

    def names(self) -> list[str]:
        """Return the names of the VMs that take callers."""
        return list(self._by_vm)

    def members_named(self, names: Iterable[str]) -> list[Member]:
        """Return the VMs of these names that take callers."""
        return [self._by_vm[vm] for vm in names if vm in self._by_vm]

    def put(self, member: Member) -> None:
        """Take a VM's newest entry."""
        self._missing_since.pop(member.vm, None)
        self._by_vm[member.vm] = member

    def remove(self, vm: str) -> None:
        """Take the removal of an entry: its VM left or its lease ran out."""
        self._missing_since.pop(vm, None)
        self._by_vm.pop(vm, None)

    def replace_all(self, members: Iterable[Member]) -> None:
        """Take a complete list; what it lacks may have lapsed with the store."""
        listed = {member.vm: member for member in members}
        now = self._clock.now()
        for vm in self._by_vm.keys() - listed.keys():
            self._missing_since.setdefault(vm, now)
        for member in listed.values():
            self.put(member)

    def expire(self) -> None:
        """Drop the VMs whose entries did not come back in time."""
        limit = self._clock.now() - REAPPEAR_MS
        overdue = [key for key, since in self._missing_since.items() if since <= limit]
        for vm in overdue:
            self.remove(vm)
