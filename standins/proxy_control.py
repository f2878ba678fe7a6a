"""Control of a running fault proxy, and its places in a deployment."""

from dataclasses import replace
from typing import TYPE_CHECKING

from heathershunt.http import Address
from standins.engine_state import EngineSpec
from standins.ports import free_port

if TYPE_CHECKING:
    from standins.launch import Deployment


class ProxyControl:
    """One running proxy process of a deployment.

    The names of the pairs are ``engine:<vm>`` (daemons to the engine's HTTP address),
    ``fabric:<runner>`` (other engines to the runner's fabric), ``platform:<daemon>``
    and ``callers:<daemon>``.
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

    async def before_engines(self) -> None:
        """Put a pair before the HTTP address of every runner listed so far.

        Call it between ``start_engines`` and ``publish_vms``.
        """
        for vm in self._deployment.vms:
            name = f"engine:{vm['vm']}"
            if vm["role"] == "runner" and name not in self.addresses_by_pair:
                target = Address.from_text(vm["address"])
                vm["address"] = str(await self.open(name, target))

    async def before_fabric(self, specs: list[EngineSpec]) -> list[EngineSpec]:
        """Return ``specs`` with a pair before the fabric address of each engine."""
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

    async def before_platform(self, daemons: list[str]) -> None:
        """Put a pair between each named daemon and the platform.

        Call it between ``start_platform`` and ``start_daemons``.
        """
        for name in daemons:
            address = await self.open(f"platform:{name}", self._deployment.platform)
            self._deployment.platforms_by_daemon[name] = address

    async def before_callers(self) -> dict[str, Address]:
        """Put a pair before each daemon's listener for callers, by daemon."""
        return {
            name: await self.open(f"callers:{name}", ports.callers)
            for name, ports in self._deployment.ports_by_daemon.items()
        }

    async def set_faults(self, pair: str | None = None, **faults) -> None:
        """Set the faults of one pair, or of all; without ``faults`` clear them."""
        await self._call("/v1/faults", {"pair": pair, **faults})

    async def cut(self, pair: str | None = None) -> None:
        """Reset the open connections of one pair, or of all."""
        await self._call("/v1/cut", {"pair": pair})

    async def silence(self, pair: str | None = None) -> None:
        """Make the open connections of one pair, or of all, silent for good."""
        await self._call("/v1/silence", {"pair": pair})

    async def counts(self) -> dict[str, dict[str, int]]:
        """Return the faults injected, by pair."""
        return await self._deployment.call(self._control, "GET", "/v1/counts")

    async def _call(self, path: str, body: dict) -> dict:
        outcome = await self._deployment.http.request_json(
            self._control, "POST", path, body
        )
        status, reply = outcome.unwrap()
        if status != 200:
            raise ValueError(f"the proxy refused {path}: {reply['error']}")
        return reply
