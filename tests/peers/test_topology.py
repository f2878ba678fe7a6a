import pytest

from heathershunt.peers import choose_neighbours


def fleet(size, domains=9):
    return {f"vm-{index}": f"d{index % domains}" for index in range(size)}


def link_graph(domain_by_vm):
    links_by_vm = {vm: set() for vm in domain_by_vm}
    for vm in domain_by_vm:
        for other in choose_neighbours(vm, domain_by_vm):
            links_by_vm[vm].add(other)
            links_by_vm[other].add(vm)
    return links_by_vm


def is_connected(links_by_vm, vms):
    vms = set(vms)
    reached, frontier = set(), [min(vms)]
    while frontier:
        vm = frontier.pop()
        if vm not in reached:
            reached.add(vm)
            frontier.extend(links_by_vm[vm] & vms)
    return reached == vms


def test_small_fleet_is_a_full_mesh():
    domain_by_vm = fleet(8)
    assert choose_neighbours("vm-0", domain_by_vm) == set(domain_by_vm) - {"vm-0"}


def test_links_per_vm_do_not_grow_with_the_fleet():
    links_by_vm = link_graph(fleet(390))
    assert max(map(len, links_by_vm.values())) <= 16
    assert sum(map(len, links_by_vm.values())) <= 8 * 390


@pytest.mark.parametrize("size", [9, 12, 40, 390])
def test_two_links_go_to_other_failure_domains(size):
    domain_by_vm = fleet(size, domains=3)
    for vm in domain_by_vm:
        chosen = choose_neighbours(vm, domain_by_vm)
        assert len(chosen) == 4
        elsewhere = [o for o in chosen if domain_by_vm[o] != domain_by_vm[vm]]
        assert len(elsewhere) >= 2


def test_graph_stays_connected_after_failures():
    """Guards against a mesh that splits until the remaining VMs choose new links."""
    domain_by_vm = fleet(390)
    links_by_vm = link_graph(domain_by_vm)
    assert is_connected(links_by_vm, domain_by_vm)
    for shift in range(0, 390, 16):
        failed = {f"vm-{(shift + 23 * step) % 390}" for step in range(16)}
        assert is_connected(links_by_vm, domain_by_vm.keys() - failed)
    for domain in sorted(set(domain_by_vm.values())):
        left = [vm for vm, other in domain_by_vm.items() if other != domain]
        assert is_connected(links_by_vm, left)


@pytest.mark.parametrize("residue", range(1, 20, 2))
def test_every_vm_beyond_a_partition_is_watched_eventually(residue):
    """Guards against a VM that no VM watches and that is therefore never declared dead.

    In each round the watched far VMs are declared dead, and the near VMs choose again.
    """
    near = [index for index in range(390) if index % 2 == 0]
    far = {f"vm-{index}" for index in range(390) if index % 20 == residue}
    while far:
        view = {f"vm-{index}": f"d{index % 9}" for index in near}
        view |= {vm: f"d{int(vm[3:]) % 9}" for vm in far}
        chosen = set()
        for index in near:
            chosen |= choose_neighbours(f"vm-{index}", view)
        assert far & chosen
        far -= chosen


def test_a_new_vm_changes_few_links():
    before = fleet(200)
    after = {**before, "new": "d0"}
    changed = [
        vm
        for vm in before
        if choose_neighbours(vm, before) != choose_neighbours(vm, after)
    ]
    assert len(changed) <= 12
