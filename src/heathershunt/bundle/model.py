"""The content of a bundle: accounts, services, models, priorities and policy."""

import hashlib
import hmac
from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import cached_property

PART_KINDS = ("accounts", "services", "models", "priorities")


@dataclass(frozen=True)
class ClientAccount:
    """A client account and its limits.

    :param token_sha256: SHA-256 hashes of its bearer tokens, in hexadecimal.
    :param share: weight in the fair sharing between accounts.
    :param requests_per_second: rate limit over all VMs.
    :param concurrent: limit of requests running at a time, over all VMs.
    :param priority: name of the default priority.
    """

    name: str
    token_sha256: tuple[str, ...]
    share: int = 1
    requests_per_second: float = 100.0
    concurrent: int = 64
    priority: str = "normal"


@dataclass(frozen=True)
class Call:
    """Matches the calls of a service with this method and a path with this prefix."""

    method: str
    path_prefix: str


@dataclass(frozen=True)
class Service:
    """A plain HTTP service.

    :param idempotent: the calls that may run more than once.
    :param timeout_ms: time limit of a call.
    """

    name: str
    idempotent: tuple[Call, ...] = ()
    timeout_ms: int = 5000

    def is_idempotent(self, method: str, path: str) -> bool:
        """Return whether a call may run more than once."""
        return any(
            call.method == method and path.startswith(call.path_prefix)
            for call in self.idempotent
        )


@dataclass(frozen=True)
class Model:
    """A model that runners serve.

    :param layers: number of layers.
    :param version: version in force.
    :param adapters: names of the adapters that a request may name.
    :param max_tokens: most tokens that a request may generate.
    """

    name: str
    layers: int
    version: str
    adapters: tuple[str, ...] = ()
    max_tokens: int = 4096


@dataclass(frozen=True)
class Priority:
    """A priority class of requests.

    :param rank: requests of a lower rank go first.
    :param deadline_ms: default deadline of a request.
    """

    name: str
    rank: int
    deadline_ms: int = 30_000


@dataclass(frozen=True)
class Policy:
    """How many different trusted keys must sign and approve a bundle.

    A key that has signed does not count as an approver.
    """

    signatures_needed: int = 1
    approvals_needed: int = 0


@dataclass(frozen=True)
class Bundle:
    """The checked content of a bundle; signatures are verified on its root.

    .. versionadded:: 0.1
    """

    version: int
    accounts_by_name: Mapping[str, ClientAccount] = field(default_factory=dict)
    services_by_name: Mapping[str, Service] = field(default_factory=dict)
    models_by_name: Mapping[str, Model] = field(default_factory=dict)
    priorities_by_name: Mapping[str, Priority] = field(default_factory=dict)
    policy: Policy = field(default_factory=Policy)

    @cached_property
    def _account_by_token_sha256(self) -> dict[str, ClientAccount]:
        return {
            digest: account
            for account in self.accounts_by_name.values()
            for digest in account.token_sha256
        }

    def account_for_token(self, token: str) -> ClientAccount | None:
        """Return the account of a bearer token.

        The lookup is by hash, so its timing reveals nothing about the token itself;
        the final comparison takes constant time.
        """
        digest = hashlib.sha256(token.encode()).hexdigest()
        account = self._account_by_token_sha256.get(digest)
        if account is None:
            return None
        matches = [hmac.compare_digest(digest, own) for own in account.token_sha256]
        return account if any(matches) else None
