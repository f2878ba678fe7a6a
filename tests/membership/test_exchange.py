import asyncio

import pytest

from tests.nodes import until


def have_equal_records(nodes):
    vms = {node.members.vm for node in nodes}
    return all(
        node.members.present().keys() == vms
        and node.members.digest == nodes[0].members.digest
        for node in nodes
    )


@pytest.fixture
async def fleet(start_node):
    nodes = [await start_node("vm-0", domain="d0")]
    for index in range(1, 12):
        seed = nodes[index // 2].address
        nodes.append(await start_node(f"vm-{index}", seed, domain=f"d{index % 3}"))
    await until(lambda: have_equal_records(nodes))
    return nodes


async def test_new_vms_receive_all_records(fleet):
    await until(lambda: all(len(node.mesh.links_by_vm) >= 4 for node in fleet))


async def test_leaving_reaches_every_vm(fleet):
    fleet[3].members.mark_leaving(fleet[3].clock.now())
    fleet[3].exchange.schedule_flush()
    await until(lambda: all(n.state_of("vm-3") == "leaving" for n in fleet))


async def test_dead_vm_is_detected_and_its_restart_replaces_it(fleet, start_node):
    stopped = fleet.pop()
    vm = stopped.members.vm
    await stopped.mesh.close(0)
    stopped.exchange._ticker.cancel()
    await until(lambda: all(n.state_of(vm) == "dead" for n in fleet))
    fleet.append(await start_node(vm, fleet[0].address, incarnation=2))
    await until(lambda: have_equal_records(fleet))


async def test_full_exchange_repairs_a_lost_delta(fleet):
    """Guards against records that stay different after a message was lost."""
    receiver = fleet[5]
    lost = receiver.members.records_by_vm["vm-8"]
    receiver.members._put(lost.leaving(), receiver.clock.now())
    for state in receiver.exchange._state_by_link.values():
        state.sent_version = receiver.members.version
    await until(lambda: all(n.state_of("vm-8") == "leaving" for n in fleet))


async def test_healed_partition_keeps_a_leaving_vm_leaving(fleet):
    """Guards against sides that never merge, or a leaving VM that becomes live."""
    sides = (fleet[:6], fleet[6:])
    names = [{node.members.vm for node in side} for side in sides]
    probes = [node.exchange._probe for node in fleet]
    for node in fleet:
        far = names[1] if node in sides[0] else names[0]
        register = node.mesh._register
        node.allowed = False

        def gated(link, node=node, far=far, register=register):
            if link.vm in far and not node.allowed:
                link.abort()
                return False
            return register(link)

        node.mesh._register = gated
        for vm, link in list(node.mesh.links_by_vm.items()):
            if vm in far:
                link.abort()
    await until(lambda: have_equal_records(sides[0]) and have_equal_records(sides[1]))
    sides[1][0].members.mark_leaving(sides[1][0].clock.now())
    for node in fleet:
        node.allowed = True
    for _ in range(100):
        if have_equal_records(fleet):
            break
        for probe in probes:
            probe()
        await asyncio.sleep(0.1)
    await until(lambda: have_equal_records(fleet))
    assert all(n.state_of("vm-6") == "leaving" for n in fleet)


async def test_seed_is_dialled_after_the_other_side_was_removed(start_node):
    """Guards against sides that never merge after each removed the other's records."""
    nodes = [await start_node(vm) for vm in "abcd"]
    nodes[1].mesh.set_seeds([nodes[0].address])
    nodes[3].mesh.set_seeds([nodes[2].address])
    await until(lambda: have_equal_records(nodes[:2]) and have_equal_records(nodes[2:]))
    nodes[1].mesh.set_seeds([nodes[0].address, nodes[2].address])
    nodes[1].exchange._probe()
    await until(lambda: have_equal_records(nodes))
