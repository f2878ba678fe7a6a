import pytest

from heathershunt.catalog import (
    CallerLimits,
    Catalog,
    ClientAccount,
    Route,
    RouteKind,
    WeightedService,
    hash_key,
)


def route(prefix, host="a.example", **options):
    values = {
        "name": prefix,
        "host": host,
        "prefix": prefix,
        "kind": RouteKind.IDEMPOTENT,
        "services": (WeightedService("s", 1.0),),
        "timeout_ms": 1000,
        "target_latency_ms": 100,
    }
    return Route(**(values | options))


def catalog(*routes, accounts=()):
    return Catalog.from_parts(1, routes, (), accounts, CallerLimits(), True)


@pytest.mark.parametrize(
    ("path", "prefix"),
    [
        ("/a/b/c", "/a/b/"),
        ("/a/b/", "/a/b/"),
        ("/a/b", "/a/"),
        ("/a/", "/a/"),
        ("/a", None),
        ("/x/a/b/", None),
    ],
)
def test_route_with_the_longest_matching_prefix_is_found(path, prefix):
    found = catalog(route("/a/"), route("/a/b/")).route_for("a.example", path)
    assert (found.prefix if found else None) == prefix


def test_route_of_another_host_is_not_used():
    assert catalog(route("/a/")).route_for("b.example", "/a/x") is None


def test_account_is_found_by_each_of_its_keys_only():
    owner = ClientAccount("owner", (hash_key("one"), hash_key("two")))
    found = catalog(accounts=[owner])
    assert found.account_for_key("two") is owner
    assert found.account_for_key("three") is None


@pytest.mark.parametrize(
    ("kind", "is_resumable", "is_retryable"),
    [
        (RouteKind.IDEMPOTENT, False, True),
        (RouteKind.NON_IDEMPOTENT, False, False),
        (RouteKind.NON_IDEMPOTENT, True, False),
        (RouteKind.STREAM, False, False),
        (RouteKind.STREAM, True, True),
    ],
)
def test_only_idempotent_calls_and_resumable_streams_are_retryable(
    kind, is_resumable, is_retryable
):
    found = route("/a/", kind=kind, is_resumable=is_resumable)
    assert found.is_retryable is is_retryable


def ranks(*routes, accounts=(), has_accounts=True):
    found = Catalog.from_parts(1, routes, (), accounts, CallerLimits(), has_accounts)
    return found.ranks_by_service["s"]


@pytest.mark.parametrize(
    ("routes", "accounts", "expected"),
    [
        ([route("/a/", rank=1)], [None], {1}),
        ([route("/a/", rank=1), route("/b/", rank=2)], [None], {1, 2}),
        ([route("/a/", rank=1)], [0], {0}),
        ([route("/a/", rank=1)], [0, None], {0, 1}),
        ([route("/a/", rank=1, is_public=True)], [0], {1}),
    ],
)
def test_priorities_of_a_service_are_those_that_its_requests_may_have(
    routes, accounts, expected
):
    accounts = [ClientAccount(f"{n}", (), rank) for n, rank in enumerate(accounts)]
    assert ranks(*routes, accounts=accounts) == expected


def test_priorities_without_accounts_are_those_of_the_routes():
    assert ranks(route("/a/", rank=3), has_accounts=False) == {3}


@pytest.mark.parametrize(("rank", "expected"), [(None, 1), (0, 0), (2, 2)])
def test_priority_of_an_account_takes_precedence(rank, expected):
    assert ClientAccount("a", (), rank).rank_on(route("/a/", rank=1)) == expected
