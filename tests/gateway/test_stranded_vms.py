"""VMs that have lost their links to all targets, while callers still reach them."""

import asyncio

import pytest

# Stated target: first tries at such VMs are served at least so often, compared to the
# others, from this time after the cut began (``contact_ms`` of the users' sites).
MIN_SHARE = 2 / 3
CONTACT_S = 3.0
TRIES = 12


def strand(site, vm, how):
    """Cut the links of a VM to all targets; its other links are sound."""
    http = site.gateways[vm].relay_context.http
    targets = {target.address for target in site.targets.values()}
    acquire = http._acquire

    async def acquire_or_fail(address, fresh, connect_ms=1000):
        if str(address) not in targets:
            return await acquire(address, fresh, connect_ms)
        if how == "refuse":
            raise ConnectionRefusedError("refused by the cut")
        async with asyncio.timeout(connect_ms / 1000):
            await asyncio.sleep(3600)

    http._acquire = acquire_or_fail
    for target in site.targets.values():
        http.close_idle(target.address)


async def served_share(site, vm, send):
    statuses = [await send(site, vm) for _ in range(TRIES)]
    return statuses.count(200) / TRIES


async def send_order(site, vm):
    return (await site.call("POST", "/orders/7", b"x", vm=vm))[0]


async def send_stream(site, vm):
    response = await site.open_stream(events=3, vm=vm)
    await response.read()
    return response.status


# Guards against callers that are served far worse, as the VM that they reached has lost
# its links to the targets and passes nothing on through another one.
@pytest.mark.parametrize("how", ["hang", "refuse"])
@pytest.mark.parametrize("send", [send_order, send_stream])
async def test_callers_of_a_stranded_vm_are_served_as_others_are(site, how, send):
    gateway = await site.add_gateway("vm-2")
    await site.until(lambda: len(gateway.state.registry) == 8)
    await site.until(lambda: len(gateway.state.members) == 2)
    strand(site, "vm-2", how)
    # What it is sent meanwhile is its evidence that it is cut off.
    trying = asyncio.create_task(served_share(site, "vm-2", send))
    await asyncio.sleep(CONTACT_S)
    await trying
    at_others = await served_share(site, "vm-1", send)
    assert at_others == 1
    assert await served_share(site, "vm-2", send) >= MIN_SHARE * at_others
