"""What a bundle describes, and the checks on it."""

import hashlib
import hmac
from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import cached_property
from typing import Any

import msgspec

MAX_NAME_LENGTH = 64
MAX_ACCOUNTS = 100_000
MAX_MODELS = 256
MAX_LAYERS = 1024


class BundleError(Exception):
    """A bundle that is refused.

    :param place: where in the bundle the fault is.
    :param detail: what is wrong there.

    .. versionadded:: 0.1
    """

    def __init__(self, place: str, detail: str) -> None:
        super().__init__(f"{place}: {detail}")
        self.place = place
        self.detail = detail


@dataclass(frozen=True)
class ClientAccount:
    """A client account and its limits.

    :param token_sha256: SHA-256 hashes of its bearer tokens, in hexadecimal.
    :param share: weight in the fair sharing between accounts.
    :param requests_per_second: limit over all VMs.
    :param concurrent: requests running at a time, over all VMs.
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
    """Calls of a service by method and path prefix."""

    method: str
    path_prefix: str


@dataclass(frozen=True)
class Service:
    """A plain service; ``idempotent`` lists the calls that may be repeated."""

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
    """A model: its layer count and the version in force."""

    name: str
    layers: int
    version: str
    adapters: tuple[str, ...] = ()
    max_tokens: int = 4096


@dataclass(frozen=True)
class Priority:
    """A priority class; a lower rank goes first."""

    name: str
    rank: int
    deadline_ms: int = 30_000


@dataclass(frozen=True)
class Policy:
    """How many keys must sign and approve a bundle."""

    signatures_needed: int = 1
    approvals_needed: int = 0


@dataclass(frozen=True)
class Bundle:
    """A checked bundle.

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

        The lookup is by hash, so its timing tells nothing about the token itself;
        the last comparison is in constant time.
        """
        digest = hashlib.sha256(token.encode()).hexdigest()
        account = self._account_by_token_sha256.get(digest)
        if account is None:
            return None
        matches = [hmac.compare_digest(digest, own) for own in account.token_sha256]
        return account if any(matches) else None


def bundle_from_mapping(raw: Mapping[str, Any]) -> Bundle:
    """Build a checked bundle from decoded TOML, JSON or CBOR.

    :raises BundleError: with the place of the fault.
    """
    try:
        version = msgspec.convert(raw.get("version"), int)
        policy = msgspec.convert(raw.get("policy", {}), Policy)
    except msgspec.ValidationError as error:
        raise BundleError("bundle", str(error)) from None
    bundle = Bundle(
        version,
        _by_name(raw, "accounts", ClientAccount),
        _by_name(raw, "services", Service),
        _by_name(raw, "models", Model),
        _by_name(raw, "priorities", Priority),
        policy,
    )
    check_bundle(bundle)
    return bundle


def _by_name(raw: Mapping[str, Any], kind: str, cls: type) -> dict:
    items_by_name = {}
    items = raw.get(kind, [])
    if not isinstance(items, list | tuple):
        raise BundleError(kind, "a list is expected")
    for index, item in enumerate(items):
        place = f"{kind}[{index}]"
        try:
            value = msgspec.convert(item, cls, strict=True)
        except msgspec.ValidationError as error:
            raise BundleError(place, str(error)) from None
        _check_name(place, value.name)
        if value.name in items_by_name:
            raise BundleError(place, f"the name {value.name!r} is used twice")
        items_by_name[value.name] = value
    return items_by_name


def _check_name(place: str, name: str) -> None:
    if not 0 < len(name) <= MAX_NAME_LENGTH or not name.isprintable():
        raise BundleError(place, f"a name has 1 to {MAX_NAME_LENGTH} characters")


def check_bundle(bundle: Bundle) -> None:
    """Check limits and references; raise :class:`BundleError` at the first fault."""
    if bundle.version < 1:
        raise BundleError("version", "a version is 1 or higher")
    if len(bundle.accounts_by_name) > MAX_ACCOUNTS:
        raise BundleError("accounts", f"at most {MAX_ACCOUNTS} accounts are accepted")
    if len(bundle.models_by_name) > MAX_MODELS:
        raise BundleError("models", f"at most {MAX_MODELS} models are accepted")
    for name, model in bundle.models_by_name.items():
        if not 1 <= model.layers <= MAX_LAYERS:
            raise BundleError(f"models.{name}.layers", f"1 to {MAX_LAYERS} is accepted")
    owner_by_digest: dict[str, str] = {}
    for name, account in bundle.accounts_by_name.items():
        _check_account(bundle, name, account, owner_by_digest)


def _check_account(
    bundle: Bundle, name: str, account: ClientAccount, owner_by_digest: dict[str, str]
) -> None:
    place = f"accounts.{name}"
    if account.priority not in bundle.priorities_by_name:
        raise BundleError(
            f"{place}.priority", f"{account.priority!r} is not a priority of the bundle"
        )
    if account.share < 1:
        raise BundleError(f"{place}.share", "1 or higher is accepted")
    for digest in account.token_sha256:
        if len(digest) != 64 or owner_by_digest.setdefault(digest, name) != name:
            raise BundleError(
                f"{place}.token_sha256",
                "a SHA-256 hash in hexadecimal, used by one account only, is accepted",
            )
