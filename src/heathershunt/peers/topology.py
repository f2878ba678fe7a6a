"""The choice of the VMs that keep a link to each other."""

import hashlib
from collections.abc import Mapping
from functools import lru_cache

FULL_MESH_VMS = 8
LINKS_CHOSEN = 4
OTHER_DOMAIN_LINKS = 2


@lru_cache(maxsize=8192)
def link_weight(first: str, second: str) -> bytes:
    """Return the rendezvous hash of a pair of VMs, which does not depend on order."""
    low, high = sorted((first, second))
    return hashlib.blake2b(f"{low}\0{high}".encode(), digest_size=8).digest()


def _successor(vm: str, others: list[str]) -> str:
    """Return the successor of ``vm`` in a ring of all VMs ordered by hash."""
    own = link_weight(vm, vm)

    def distance(other: str) -> tuple[bool, bytes]:
        position = link_weight(other, other)
        return (position < own, position)

    return min(others, key=distance)


def choose_neighbours(
    vm: str,
    domain_by_vm: Mapping[str, str],
    links_chosen: int = LINKS_CHOSEN,
    full_mesh_vms: int = FULL_MESH_VMS,
) -> frozenset[str]:
    """Return the VMs that ``vm`` chooses to link to.

    One of them is the successor of ``vm`` in a ring, so that every VM is chosen, and
    therefore watched, by some VM on each side of a partition. The rest have the
    highest rendezvous weights, two of them in other failure domains if possible.
    Other VMs choose ``vm`` as well, so ``vm`` has about twice ``links_chosen`` links,
    however large the fleet is.

    :param domain_by_vm: failure domain of every VM that is not dead, including ``vm``.
    :param links_chosen: VMs to choose in a fleet larger than ``full_mesh_vms``; in a
        smaller fleet all others are chosen.

    .. versionadded:: 0.1
    """
    others = [other for other in domain_by_vm if other != vm]
    if len(others) < full_mesh_vms:
        return frozenset(others)
    others.sort(key=lambda other: link_weight(vm, other), reverse=True)
    own = domain_by_vm.get(vm)
    elsewhere = [other for other in others if domain_by_vm[other] != own]
    # Only the first ``links_chosen`` are kept, so the successor and the VMs in other
    # failure domains come first.
    candidates = [_successor(vm, others), *elsewhere[:OTHER_DOMAIN_LINKS], *others]
    return frozenset(list(dict.fromkeys(candidates))[:links_chosen])
