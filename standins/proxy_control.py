"""Client of a fault proxy, which routes traffic of a deployment through it."""

from dataclasses import replace
from typing import TYPE_CHECKING

from heathershunt.http import Address
from standins.engine_state import EngineSpec
from standins.ports import free_port

if TYPE_CHECKING:
    from standins.launch import Deployment


class ProxyControl:
    """Controls one running proxy process of a deployment.

    The names of the pairs are ``engine:<vm>`` (daemons to the engine's HTTP address),
    ``fabric:<runner>`` (other engines to the runner's fabric address),
    ``platform:<daemon>`` (the daemon to the platform) and ``callers:<daemon>`` (callers
    to the daemon). Each method that takes a pair raises ``ValueError`` if the proxy
    refuses the request.
    """

    def __init__(self, deployment: "Deployment", control: Address) -> None:
        self._deployment = deployment
        self._control = control
        self.addresses_by_pair: dict[str, Address] = {}

    async def open(self, name: str, target: Address) -> Address:
        """Open a pair and return the address that it listens on."""
        reply = await self._call("/v1/pairs", {"name": name, "target": str(target)})
        address = Address.from_text(reply["address"])
        self.addresses_by_pair[name] = address
        return address

    async def intercept_engines(self) -> None:
        """Route traffic to the HTTP address of every listed runner through a pair.

        Call it between ``start_engines`` and ``publish_vms``.
        """
        for vm in self._deployment.vms:
            name = f"engine:{vm['vm']}"
            if vm["role"] == "runner" and name not in self.addresses_by_pair:
                target = Address.from_text(vm["address"])
                vm["address"] = str(await self.open(name, target))

    async def intercept_fabric(self, specs: list[EngineSpec]) -> list[EngineSpec]:
        """Return ``specs`` with a pair in front of each engine's fabric address."""
        proxied = []
        for spec in specs:
            port = spec.fabric_port or free_port()
            address = await self.open(
                f"fabric:{spec.runner}", Address(self._control.host, port)
            )
            proxied.append(
                replace(spec, fabric_port=port, advertised_fabric=str(address))
            )
        return proxied

    async def intercept_platform(self, daemons: list[str]) -> None:
        """Route the traffic of each named daemon to the platform through a pair.

        Call it between ``start_platform`` and ``start_daemons``.
        """
        for name in daemons:
            address = await self.open(f"platform:{name}", self._deployment.platform)
            self._deployment.platforms_by_daemon[name] = address

    async def intercept_callers(self) -> dict[str, Address]:
        """Open a pair to each daemon's listener for callers; return them by daemon."""
        return {
            name: await self.open(f"callers:{name}", ports.callers)
            for name, ports in self._deployment.ports_by_daemon.items()
        }

    async def set_faults(self, pair: str | None = None, **faults) -> None:
        """Replace the faults of one pair, or of all; without ``faults`` clear them."""
        await self._call("/v1/faults", {"pair": pair, **faults})

    async def cut(self, pair: str | None = None) -> None:
        """Reset the open connections of one pair, or of all."""
        await self._call("/v1/cut", {"pair": pair})

    async def silence(self, pair: str | None = None) -> None:
        """Discard all further bytes of the open connections of one pair, or of all."""
        await self._call("/v1/silence", {"pair": pair})

    async def counts(self) -> dict[str, dict[str, int]]:
        """Return the counts of connections and injected faults, by pair and kind."""
        return await self._deployment.call(self._control, "GET", "/v1/counts")

    async def _call(self, path: str, body: dict) -> dict:
        outcome = await self._deployment.http.request_json(
            self._control, "POST", path, body
        )
        status, reply = outcome.unwrap()
        if status != 200:
            raise ValueError(f"the proxy refused {path}: {reply['error']}")
        return reply
