"""What operators see of blocked requests, and how they lift a block."""

import hashlib
import json

import pytest

from heathershunt.clock import ManualClock, Millis
from heathershunt.crashes import (
    Evidence,
    PartGuard,
    RequestKeys,
    RunnerCrash,
    request_key,
)
from heathershunt.http import Request
from heathershunt.operators.access import OperatorAccess
from heathershunt.operators.routes import OperatorHooks, OperatorRoutes

KEY = request_key("POST", "/orders", "parish", b"deadly")


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def guard(clock):
    """Return a guard that has blocked one call of one account."""
    guard = PartGuard(clock, lambda event: None, lambda: 1)
    for number in range(2):
        sent_at = clock.now()
        clock.advance(100)
        crash = RunnerCrash(f"target-{number}", 1)
        guard.record_crash("parish", RequestKeys(KEY), crash, sent_at, Evidence.BEGUN)
    return guard


@pytest.fixture
def ask(guard):
    """Return a coroutine function that sends a request of an operator."""
    unused = dict.fromkeys(
        ("status", "timeline", "bundle_file", "roll", "drain", "admit")
    )
    hooks = OperatorHooks(**unused, blocks=guard.blocks, lift=guard.lift)
    access = OperatorAccess([hashlib.sha256(b"secret").hexdigest()])
    routes = OperatorRoutes(access, hooks)

    async def ask(method, path, body=b"", key="secret"):
        headers = {"authorization": f"Bearer {key}"}
        response = await routes.handle(Request(method, path, {}, headers, body))
        return response.status, json.loads(response.body)

    return ask


async def test_operator_sees_what_is_blocked_and_for_how_long(ask):
    status, answer = await ask("GET", "/v1/operator/blocks")
    assert status == 200
    assert answer["blocks"] == [{"part": KEY, "account": "parish", "left_ms": 60_000}]
    assert (await ask("GET", "/v1/operator/blocks", key="other"))[0] == 401


# Guards against requests that stay refused after their targets have been mended.
async def test_lifted_block_lets_requests_pass(ask, guard):
    assert guard.block("parish", (KEY,), 1.0) is not None
    body = json.dumps({"part": KEY}).encode()
    assert (await ask("POST", "/v1/operator/blocks/lift", body))[0] == 200
    assert guard.block("parish", (KEY,), 1.0) is None
    assert (await ask("GET", "/v1/operator/blocks"))[1] == {"blocks": []}
    assert (await ask("POST", "/v1/operator/blocks/lift", body))[0] == 404


@pytest.mark.parametrize("body", [b"", b"{}", b'{"part": 1}', b"[" * 2000])
async def test_malformed_request_to_lift_is_refused(ask, body):
    assert (await ask("POST", "/v1/operator/blocks/lift", body))[0] == 400


async def test_lifted_request_that_goes_on_crashing_is_blocked_again(guard, clock):
    guard.lift(KEY)
    for number in range(3):
        assert guard.block("parish", (KEY,), 1.0) is None
        sent_at = Millis(clock.now() + 1)
        clock.advance(100)
        crash = RunnerCrash(f"target-{number}", 2)
        guard.record_crash("parish", RequestKeys(KEY), crash, sent_at, Evidence.BEGUN)
    assert guard.block("parish", (KEY,), 1.0) is not None
