"""Which VMs watch the store and add up loads for the others."""

from heathershunt.discovery import MemberList
from heathershunt.http import Address

# In a smaller fleet every VM watches the store.
LEAST_FLEET = 8
WATCHING_VMS = 3
# Longest wait of a watch at the store where others follow: the age of the view adds to
# theirs, and theirs must stay well within the time for a configuration.
WAIT_WITH_FOLLOWERS_MS = 500


class Upstream:
    """Divides the VMs into those that watch the store and those that follow them.

    The first VMs by name watch the store, so that all agree without asking.

    :param watch_wait_ms: longest wait of a watch that nobody follows.

    .. versionadded:: 0.2
    """

    def __init__(self, members: MemberList, vm: str, watch_wait_ms: int) -> None:
        self._members = members
        self._vm = vm
        self._watch_wait_ms = watch_wait_ms

    def addresses(self) -> list[Address]:
        """Return the VMs to follow; none if this VM watches the store itself."""
        watching = self._watching()
        if not watching or self._vm in watching:
            return []
        peers = (member.peers for member in self._members.members_named(watching))
        return [address for address in peers if address is not None]

    def boards(self) -> list[Address | None]:
        """Return the VMs that add up loads, first choice first; ``None`` is this VM."""
        names = sorted(self._members.names())[:WATCHING_VMS]
        members = self._members.members_named(names)
        return [None if m.vm == self._vm else m.peers for m in members]

    def wait_ms(self) -> int:
        """Return the longest wait of one watch at the store."""
        if not self._watching():
            return self._watch_wait_ms
        return min(WAIT_WITH_FOLLOWERS_MS, self._watch_wait_ms)

    def _watching(self) -> list[str]:
        names = self._members.names()
        return sorted(names)[:WATCHING_VMS] if len(names) > LEAST_FLEET else []
