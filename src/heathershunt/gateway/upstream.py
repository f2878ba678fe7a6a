"""Which VMs watch the store, pass its view on and add up loads for the others."""

from heathershunt.discovery import MemberList
from heathershunt.http import Address

# In a smaller fleet every VM watches the store.
LEAST_FLEET = 8
WATCHING_VMS = 3
# VMs that share their loads; a larger fleet is divided into groups of at most this.
GROUP_VMS = 40
# VMs of a group that follow those that watch the store, for the rest of the group.
GROUP_LEADS = 3
# Longest wait of a watch at the store where others follow: the age of the view adds to
# theirs, and theirs must stay well within the time for a configuration.
WAIT_WITH_FOLLOWERS_MS = 500
# An older view is not followed: its VM may have lost the store. A view that comes over
# two VMs is older.
MOST_AGE_MS = 1000
MOST_AGE_OF_LEAD_MS = 1600


class Upstream:
    """Divides the VMs into those that watch the store and those that follow them.

    The first VMs by name watch the store, so that all agree without asking. In a fleet
    of several groups, the first VMs of each group follow those, and the rest of the
    group follows the first ones of its group: what each VM does per second does not
    grow with the fleet.

    :param watch_wait_ms: longest wait of a watch that nobody follows.

    .. versionadded:: 0.2
    """

    def __init__(self, members: MemberList, vm: str, watch_wait_ms: int) -> None:
        self._members = members
        self._vm = vm
        self._watch_wait_ms = watch_wait_ms

    def addresses(self) -> list[Address]:
        """Return the VMs to follow; none if this VM watches the store itself."""
        followed = self._followed()
        peers = (member.peers for member in self._members.members_named(followed))
        return [address for address in peers if address is not None]

    def most_age_ms(self) -> int:
        """Return the age up to which a view of the VMs to follow is taken."""
        is_direct = self._followed() == self._watching()
        return MOST_AGE_MS if is_direct else MOST_AGE_OF_LEAD_MS

    def boards(self) -> list[Address | None]:
        """Return the VMs that add up loads, first choice first; ``None`` is this VM."""
        names = self._group()[:WATCHING_VMS]
        members = self._members.members_named(names)
        return [None if m.vm == self._vm else m.peers for m in members]

    def fleet_factor(self) -> float:
        """Return how many times the other VMs of the group the others of the fleet are.

        What the group tells stands for the whole fleet, as callers choose among all VMs
        by chance.
        """
        in_group = len(self._group()) - 1
        return max(1.0, (len(self._members) - 1) / in_group) if in_group > 0 else 1.0

    def wait_ms(self) -> int:
        """Return the longest wait of one watch at the store."""
        if not self._watching():
            return self._watch_wait_ms
        return min(WAIT_WITH_FOLLOWERS_MS, self._watch_wait_ms)

    def _watching(self) -> list[str]:
        names = self._members.names()
        return sorted(names)[:WATCHING_VMS] if len(names) > LEAST_FLEET else []

    def _followed(self) -> list[str]:
        watching = self._watching()
        if self._vm in watching:
            return []
        leads = self._group()[:GROUP_LEADS]
        return watching if self._vm in leads else leads if watching else []

    def _group(self) -> list[str]:
        """Return the names of this VM's group; groups differ in size by one at most."""
        names = sorted(self._members.names())
        groups = max(1, -(-len(names) // GROUP_VMS))
        own = names.index(self._vm) if self._vm in names else 0
        own_group = own * groups // max(1, len(names))
        return [
            name
            for rank, name in enumerate(names)
            if rank * groups // len(names) == own_group
        ]
