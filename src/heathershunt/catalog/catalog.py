"""One version of the configuration and its lookups."""

import hashlib
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from heathershunt.catalog.model import CallerLimits, ClientAccount, Route, Service


@dataclass(frozen=True)
class Catalog:
    """One complete version of the configuration.

    API keys are kept as SHA-256 hashes, so that none appears in logs or dumps.

    :param has_accounts: whether client accounts are configured, so that requests to
        routes that are not public need an API key.
    :param ranks_by_service: priorities that the requests to a service may have.

    .. versionadded:: 0.2
    """

    version: int
    routes_by_host: Mapping[str, Mapping[str, Route]] = field(default_factory=dict)
    services_by_name: Mapping[str, Service] = field(default_factory=dict)
    accounts_by_key_sha256: Mapping[str, ClientAccount] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    has_accounts: bool = False
    ranks_by_service: Mapping[str, frozenset[int]] = field(default_factory=dict)

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
        routes, accounts = list(routes), list(accounts)
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
            _ranks_by_service(routes, accounts if has_accounts else None),
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


def _ranks_by_service(
    routes: Iterable[Route], accounts: Sequence[ClientAccount] | None
) -> dict[str, frozenset[int]]:
    """Return the priorities that the requests to each service may have.

    :param accounts: client accounts; ``None`` if requests need no API key.
    """
    of_accounts = {account.rank for account in accounts or ()}
    ranks_by_service: dict[str, set[int]] = {}
    for route in routes:
        ranks = {None} if route.is_public or accounts is None else of_accounts
        for item in route.services:
            ranks_by_service.setdefault(item.service, set()).update(
                route.rank if rank is None else rank for rank in ranks
            )
    return {name: frozenset(ranks) for name, ranks in ranks_by_service.items()}


def hash_key(key: str) -> str:
    """Return the SHA-256 hash of an API key, in hexadecimal."""
    return hashlib.sha256(key.encode()).hexdigest()
