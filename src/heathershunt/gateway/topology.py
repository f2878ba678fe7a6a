"""Division of the fleet into VMs that watch the store, followers and groups."""

import random
from itertools import pairwise

from heathershunt.discovery import MemberList
from heathershunt.http import Address

# In a fleet of at most this size every VM watches the store.
MAX_FLAT_FLEET = 8
WATCHERS = 3
# VMs that exchange their loads; a larger fleet is divided into groups of at most this
# size.
MAX_GROUP_SIZE = 40
# VMs of a group that follow the watchers; the rest of the group follows these VMs.
INTERMEDIATES_PER_GROUP = 3
# Maximum wait of a watch by a VM that others follow: the age of its view adds to that
# of theirs, which must stay well below config_apply_ms.
WAIT_WITH_FOLLOWERS_MS = 500
# Maximum ages of the views of watchers and of intermediates that are followed. A VM
# with an older view may have lost the store; a view that passed two VMs is older.
MAX_VIEW_AGE_MS = 1000
MAX_INTERMEDIATE_VIEW_AGE_MS = 1600


class Topology:
    """Divides the VMs into watchers of the store, intermediates and other followers.

    The first VMs by name are the watchers, so that all VMs agree without communication.
    In a fleet of one group all other VMs follow the watchers. In a fleet of several
    groups, the first VMs of each group are its intermediates, which follow the watchers
    or are the watchers themselves; the rest of the group follows its intermediates. So
    the load of a VM does not grow with the fleet.

    :param watch_wait_ms: maximum wait of a watch in a fleet without followers.

    .. versionadded:: 0.2
    """

    def __init__(self, members: MemberList, vm: str, watch_wait_ms: int) -> None:
        self._members = members
        self._vm = vm
        self._watch_wait_ms = watch_wait_ms

    def upstreams(self) -> list[Address]:
        """Return the addresses of the VMs to follow; none if this VM is a watcher."""
        followed = self._followed()
        peers = (member.peers for member in self._members.members_named(followed))
        return [address for address in peers if address is not None]

    def max_age_ms(self) -> int:
        """Return the maximum age of a followed view that is accepted."""
        follows_watchers = self._followed() == self._watchers()
        return MAX_VIEW_AGE_MS if follows_watchers else MAX_INTERMEDIATE_VIEW_AGE_MS

    def aggregators(self) -> list[Address | None]:
        """Return the aggregators of loads by preference; ``None`` is this VM."""
        names = self.group()[:WATCHERS]
        members = self._members.members_named(names)
        return [None if m.vm == self._vm else m.peers for m in members]

    def coordinators(self) -> list[Address | None]:
        """Return the first VM of each group, that of this VM's group first.

        ``None`` stands for this VM. The others are in random order, which spreads the
        calls.
        """
        own = self.group()[:1]
        groups = self._groups(sorted(self._members.names()))
        others = [group[0] for group in groups if group[:1] != own]
        names = own + random.sample(others, len(others))
        members = self._members.members_named(names)
        return [
            None if member.vm == self._vm else member.peers
            for member in members
            if member.vm == self._vm or member.peers is not None
        ]

    def rank(self) -> int:
        """Return the number of VMs in the list before this one."""
        return sum(name < self._vm for name in self._members.names())

    def other_vms(self) -> list[Address]:
        """Return the addresses of the other VMs."""
        return self._peers(self._members.names())

    def news_recipients(self) -> list[list[Address]]:
        """Return the VMs that learn news at once, by preference in each list.

        In a small fleet these are all other VMs, in a larger one an aggregator of each
        group, from which the group learns it with the loads.
        """
        names = sorted(self._members.names())
        if len(names) <= MAX_FLAT_FLEET:
            lists = [[name] for name in names if name != self._vm]
        else:
            lists = [group[:WATCHERS] for group in self._groups(names)]
        return [self._peers(chosen) for chosen in lists if self._vm not in chosen[:1]]

    def _peers(self, names: list[str]) -> list[Address]:
        members = self._members.members_named([n for n in names if n != self._vm])
        return [member.peers for member in members if member.peers is not None]

    def fleet_factor(self) -> float:
        """Return the ratio of the other VMs of the fleet to those of the group.

        The load of the group times this ratio estimates the load of the fleet, as
        callers choose among all VMs at random.
        """
        in_group = len(self.group()) - 1
        return max(1.0, (len(self._members) - 1) / in_group) if in_group > 0 else 1.0

    def wait_ms(self) -> int:
        """Return the maximum wait of one watch at the store, in milliseconds."""
        if not self._watchers():
            return self._watch_wait_ms
        return min(WAIT_WITH_FOLLOWERS_MS, self._watch_wait_ms)

    def _watchers(self) -> list[str]:
        names = self._members.names()
        return sorted(names)[:WATCHERS] if len(names) > MAX_FLAT_FLEET else []

    def _followed(self) -> list[str]:
        watchers = self._watchers()
        if self._vm in watchers:
            return []
        intermediates = self.group()[:INTERMEDIATES_PER_GROUP]
        return (
            watchers if self._vm in intermediates else intermediates if watchers else []
        )

    def group(self) -> list[str]:
        """Return the names of this VM's group; the first one if it has none."""
        groups = self._groups(sorted(self._members.names()))
        own = (group for group in groups if self._vm in group)
        return next(own, groups[0])

    def _groups(self, names: list[str]) -> list[list[str]]:
        """Return all groups, of which there is at least one; sizes differ by one."""
        count = max(1, -(-len(names) // MAX_GROUP_SIZE))
        bounds = [-(-number * len(names) // count) for number in range(count + 1)]
        return [names[start:end] for start, end in pairwise(bounds)]
