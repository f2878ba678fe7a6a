"""Links of a gateway's process to the targets, which tests cut and restore."""

import asyncio
import weakref

HOWS = ("hang", "refuse")


async def _never(size):
    await asyncio.sleep(3600)


class TargetLinks:
    """Connections of one gateway to all targets of a site.

    :ivar how: ``hang`` or ``refuse`` while new connections fail; ``None`` while they
        are sound.
    """

    def __init__(self, site, vm):
        self.how = None
        self.attempts = 0
        self._targets = {target.address for target in site.targets.values()}
        self._open = weakref.WeakSet()
        http = site.gateways[vm].relay_context.http
        self._acquire, http._acquire = http._acquire, self._acquire_or_fail

    async def _acquire_or_fail(self, address, fresh, connect_ms=1000):
        if str(address) not in self._targets:
            return await self._acquire(address, fresh, connect_ms)
        self.attempts += 1
        if self.how == "refuse":
            raise ConnectionRefusedError("refused by the cut")
        if self.how == "hang":
            async with asyncio.timeout(connect_ms / 1000):
                await asyncio.sleep(3600)
        connection = await self._acquire(address, fresh, connect_ms)
        self._open.add(connection)
        return connection

    def cut(self, how, resets_open=False, silences_open=False):
        """Let new connections fail; reset or silence those that are open on request."""
        self.how = how
        if silences_open:
            for connection in list(self._open):
                connection._reader.read = _never
        if resets_open:
            for connection in list(self._open):
                connection.close()

    def restore(self):
        """Let new connections succeed."""
        self.how = None


def receiver_of(gateway):
    """Return the part of a gateway that serves forwarded requests."""
    return gateway.servers._receiver


def break_hops(gateway):
    """Abort the connections of other VMs to a gateway."""
    for connection in list(gateway.servers._peers._connections):
        connection.abort()


async def add_gateways(site, count):
    """Start further gateways; return those that may be asked, by name."""
    for number in range(2, count + 1):
        gateway = await site.add_gateway(f"vm-{number}")
        await site.until(lambda g=gateway: len(g.state.registry) == len(site.targets))
    for gateway in site.gateways.values():
        await site.until(lambda g=gateway: len(g.state.members) == count)
    return site.gateways


async def cut_off(site, vm, how="refuse", **options):
    """Cut a gateway off and wait until it knows; return its links."""
    links = TargetLinks(site, vm)
    links.cut(how, **options)
    gateway = site.gateways[vm]
    calling = asyncio.create_task(site.call("GET", "/status/7", vm=vm))
    await site.until(lambda: gateway.links.is_cut_off)
    await calling
    return links


def refused(answers):
    """Return the statuses and bodies of the answers that are not successful."""
    return [(status, body) for status, _, body in answers if status != 200]


def events_of(gateway):
    """Return the list to which the events of a gateway are added from now on."""
    events = []
    gateway.relay_context.events.add_observer(events.append)
    return events
