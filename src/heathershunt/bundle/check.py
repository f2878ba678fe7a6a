"""Checks of a bundle's names, limits and references."""

import math
import re
from collections.abc import Mapping
from typing import Any, TypeVar

from heathershunt.bundle.decoding import convert
from heathershunt.bundle.error import BundleError
from heathershunt.bundle.model import (
    PART_KINDS,
    Bundle,
    ClientAccount,
    Model,
    Policy,
    Priority,
    Service,
)

MAX_VERSION = 2**53 - 1
MAX_NAME_LENGTH = 64
MAX_ACCOUNTS = 100_000
MAX_COUNT_BY_KIND = {
    "accounts": MAX_ACCOUNTS,
    "services": 1024,
    "models": 256,
    "priorities": 64,
}
MAX_TOKENS_PER_ACCOUNT = 16
MAX_ADAPTERS = 256
MAX_CALLS = 256
MAX_LAYERS = 1024
MAX_GENERATED_TOKENS = 1_000_000
MAX_SHARE = 1_000_000
MAX_REQUESTS_PER_SECOND = 1_000_000
MAX_CONCURRENT = 1_000_000
MAX_RANK = 1000
MAX_DURATION_MS = 3_600_000
MAX_KEYS = 16
METHODS = ("DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT")
SHA256_PATTERN = re.compile(r"[0-9a-f]{64}")
CLASS_BY_KIND = {
    "accounts": ClientAccount,
    "services": Service,
    "models": Model,
    "priorities": Priority,
}

T = TypeVar("T")


def bundle_from_mapping(raw: Mapping[str, Any]) -> Bundle:
    """Build a checked bundle from decoded TOML, JSON or CBOR.

    :raises BundleError: at the first fault, with its place.
    """
    if not isinstance(raw, Mapping):
        raise BundleError("bundle", "a map is expected")
    for key in raw:
        if key not in ("version", "policy", *PART_KINDS):
            raise BundleError(str(key), "this key is unknown")
    version = convert(raw.get("version"), int, "version")
    policy = convert(raw.get("policy", {}), Policy, "policy")
    by_kind = {kind: _by_name(raw, kind, CLASS_BY_KIND[kind]) for kind in PART_KINDS}
    bundle = Bundle(
        version,
        by_kind["accounts"],
        by_kind["services"],
        by_kind["models"],
        by_kind["priorities"],
        policy,
    )
    check_bundle(bundle)
    return bundle


def _by_name(raw: Mapping[str, Any], kind: str, cls: type[T]) -> dict[str, T]:
    """Convert the list of one kind of item into a dictionary by name."""
    items = raw.get(kind, [])
    if not isinstance(items, list | tuple):
        raise BundleError(kind, "a list is expected")
    limit = MAX_COUNT_BY_KIND[kind]
    if len(items) > limit:
        raise BundleError(kind, f"{len(items)} items; at most {limit} are accepted")
    items_by_name: dict[str, T] = {}
    for index, value in enumerate(convert(items, tuple[cls, ...], kind)):
        name = value.name
        if not _is_name(name):
            _check_name(f"{kind}[{index}].name", name)
        if name in items_by_name:
            detail = f"the name {name!r} is used twice"
            raise BundleError(f"{kind}[{index}]", detail)
        items_by_name[name] = value
    return items_by_name


def _is_name(name: str) -> bool:
    return 0 < len(name) <= MAX_NAME_LENGTH and name.isprintable()


def _check_name(place: str, name: str) -> None:
    if not _is_name(name):
        raise BundleError(
            place, f"1 to {MAX_NAME_LENGTH} printable characters are accepted"
        )


def _check_range(place: str, value: float, low: float, high: float) -> None:
    if not math.isfinite(value) or not low <= value <= high:
        raise BundleError(place, f"{value} is not in the range {low} to {high}")


def _check_count(place: str, items: tuple, limit: int) -> None:
    if len(items) > limit:
        raise BundleError(place, f"{len(items)} items; at most {limit} are accepted")


def check_version(place: str, version: int) -> None:
    """Check the range of a bundle version; raise :class:`BundleError` if outside."""
    _check_range(place, version, 1, MAX_VERSION)


def check_policy(place: str, policy: Policy) -> None:
    """Check the ranges of a policy; raise :class:`BundleError` if outside."""
    _check_range(f"{place}.signatures_needed", policy.signatures_needed, 1, MAX_KEYS)
    _check_range(f"{place}.approvals_needed", policy.approvals_needed, 0, MAX_KEYS)


def check_bundle(bundle: Bundle) -> None:
    """Check limits and references; raise :class:`BundleError` at the first fault."""
    check_version("version", bundle.version)
    check_policy("policy", bundle.policy)
    for model in bundle.models_by_name.values():
        _check_model(model)
    for service in bundle.services_by_name.values():
        _check_service(service)
    for priority in bundle.priorities_by_name.values():
        place = f"priorities.{priority.name}"
        _check_range(f"{place}.rank", priority.rank, 0, MAX_RANK)
        _check_range(f"{place}.deadline_ms", priority.deadline_ms, 1, MAX_DURATION_MS)
    owner_by_digest: dict[str, str] = {}
    for account in bundle.accounts_by_name.values():
        _check_account(bundle, account, owner_by_digest)


def _check_model(model: Model) -> None:
    place = f"models.{model.name}"
    _check_range(f"{place}.layers", model.layers, 1, MAX_LAYERS)
    _check_range(f"{place}.max_tokens", model.max_tokens, 1, MAX_GENERATED_TOKENS)
    _check_name(f"{place}.version", model.version)
    _check_count(f"{place}.adapters", model.adapters, MAX_ADAPTERS)
    for index, adapter in enumerate(model.adapters):
        _check_name(f"{place}.adapters[{index}]", adapter)
    if len(set(model.adapters)) != len(model.adapters):
        raise BundleError(f"{place}.adapters", "an adapter is named twice")


def _check_service(service: Service) -> None:
    place = f"services.{service.name}"
    if "/" in service.name:
        raise BundleError(f"{place}.name", "a service name holds no slash")
    _check_range(f"{place}.timeout_ms", service.timeout_ms, 1, MAX_DURATION_MS)
    _check_count(f"{place}.idempotent", service.idempotent, MAX_CALLS)
    for index, call in enumerate(service.idempotent):
        call_place = f"{place}.idempotent[{index}]"
        if call.method not in METHODS:
            raise BundleError(
                f"{call_place}.method", f"{', '.join(METHODS)} are accepted"
            )
        if not call.path_prefix.startswith("/") or not call.path_prefix.isprintable():
            raise BundleError(
                f"{call_place}.path_prefix",
                "printable text that starts with / is accepted",
            )


def _check_account(
    bundle: Bundle, account: ClientAccount, owner_by_digest: dict[str, str]
) -> None:
    """Check one account.

    A bundle may hold 100,000 accounts, so error texts are built only when a check
    fails.

    :param owner_by_digest: account name by token hash; those of ``account`` are added.
    """
    name = account.name
    if account.priority not in bundle.priorities_by_name:
        raise BundleError(
            f"accounts.{name}.priority",
            f"{account.priority!r} is not a priority of the bundle",
        )
    # The comparisons are false for NaN.
    if not (
        1 <= account.share <= MAX_SHARE
        and 0 <= account.requests_per_second <= MAX_REQUESTS_PER_SECOND
        and 0 <= account.concurrent <= MAX_CONCURRENT
        and len(account.token_sha256) <= MAX_TOKENS_PER_ACCOUNT
    ):
        _raise_limit_error(account)
    for index, digest in enumerate(account.token_sha256):
        if not SHA256_PATTERN.fullmatch(digest):
            raise BundleError(
                f"accounts.{name}.token_sha256[{index}]",
                "64 lower-case hexadecimal digits are accepted",
            )
        owner = owner_by_digest.setdefault(digest, name)
        if owner != name:
            raise BundleError(
                f"accounts.{name}.token_sha256[{index}]",
                f"the account {owner!r} uses the same token",
            )


def _raise_limit_error(account: ClientAccount) -> None:
    """Raise :class:`BundleError` for the first limit that an account breaks."""
    place = f"accounts.{account.name}"
    _check_range(f"{place}.share", account.share, 1, MAX_SHARE)
    rate = account.requests_per_second
    _check_range(f"{place}.requests_per_second", rate, 0, MAX_REQUESTS_PER_SECOND)
    _check_range(f"{place}.concurrent", account.concurrent, 0, MAX_CONCURRENT)
    _check_count(f"{place}.token_sha256", account.token_sha256, MAX_TOKENS_PER_ACCOUNT)
