"""Which VMs keep a link to each other."""

import hashlib
from collections.abc import Mapping
from functools import lru_cache

FULL_MESH_VMS = 8
LINKS_CHOSEN = 4
OTHER_DOMAIN_LINKS = 2


@lru_cache(maxsize=8192)
def link_weight(first: str, second: str) -> bytes:
    """Return the rendezvous weight of a pair of VMs; the same in both directions."""
    low, high = sorted((first, second))
    return hashlib.blake2b(f"{low}\0{high}".encode(), digest_size=8).digest()


def _successor(vm: str, others: list[str]) -> str:
    """Return the next VM in the ring of all VMs ordered by hash."""
    own = link_weight(vm, vm)

    def distance(other: str) -> tuple[bool, bytes]:
        place = link_weight(other, other)
        return (place < own, place)

    return min(others, key=distance)


def choose_neighbours(
    vm: str,
    domain_by_vm: Mapping[str, str],
    links_chosen: int = LINKS_CHOSEN,
    full_mesh_vms: int = FULL_MESH_VMS,
) -> frozenset[str]:
    """Return the VMs that ``vm`` links to by its own choice.

    One of them is the next VM in a ring, so that every VM is chosen, and therefore
    watched, by some VM on each side of a partition. The others have the highest
    rendezvous weights. Others choose ``vm`` as well, so it has about twice
    ``links_chosen`` links. The number does not depend on the size of the fleet.

    :param domain_by_vm: failure domain of every VM that is not dead, with ``vm``.
    :param links_chosen: links per VM in a fleet larger than ``full_mesh_vms``.

    .. versionadded:: 0.1
    """
    others = [other for other in domain_by_vm if other != vm]
    if len(others) < full_mesh_vms:
        return frozenset(others)
    others.sort(key=lambda other: link_weight(vm, other), reverse=True)
    own = domain_by_vm.get(vm)
    elsewhere = [other for other in others if domain_by_vm[other] != own]
    # The order matters: the successor and two other domains come first.
    wanted = [_successor(vm, others), *elsewhere[:OTHER_DOMAIN_LINKS], *others]
    return frozenset(list(dict.fromkeys(wanted))[:links_chosen])
