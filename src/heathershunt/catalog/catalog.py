"""One version of the configuration and its lookups."""

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from heathershunt.catalog.model import CallerLimits, ClientAccount, Route, Service


@dataclass(frozen=True)
class Catalog:
    """One complete version of the configuration.

    API keys are kept as SHA-256 hashes, so that none appears in logs or dumps.

    :param has_accounts: whether client accounts are configured, so that requests to
        routes that are not public need an API key.

    .. versionadded:: 0.2
    """

    version: int
    routes_by_host: Mapping[str, Mapping[str, Route]] = field(default_factory=dict)
    services_by_name: Mapping[str, Service] = field(default_factory=dict)
    accounts_by_key_sha256: Mapping[str, ClientAccount] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    has_accounts: bool = False

    @classmethod
    def from_parts(
        cls,
        version: int,
        routes: Iterable[Route],
        services: Iterable[Service],
        accounts: Iterable[ClientAccount],
        limits: CallerLimits,
        has_accounts: bool,
    ) -> "Catalog":
        """Index the parts of a configuration."""
        routes_by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            routes_by_host.setdefault(route.host, {})[route.prefix] = route
        return cls(
            version,
            routes_by_host,
            {service.name: service for service in services},
            {digest: account for account in accounts for digest in account.key_sha256},
            limits,
            has_accounts,
        )

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix; ``None`` if none matches.

        Every prefix ends with a slash, so the cost grows with the depth of the path
        and not with the number of routes.
        """
        by_prefix = self.routes_by_host.get(host)
        if by_prefix is None:
            return None
        end = len(path)
        while (slash := path.rfind("/", 0, end)) >= 0:
            route = by_prefix.get(path[: slash + 1])
            if route is not None:
                return route
            end = slash
        return None

    def account_for_key(self, key: str) -> ClientAccount | None:
        """Return the account that holds an API key; ``None`` if the key is unknown."""
        return self.accounts_by_key_sha256.get(hash_key(key))


def hash_key(key: str) -> str:
    """Return the SHA-256 hash of an API key, in hexadecimal."""
    return hashlib.sha256(key.encode()).hexdigest()
