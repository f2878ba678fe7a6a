"""Calls of a VM for retries, over HTTP."""

import asyncio
import time

import pytest

from heathershunt.clock import SystemClock
from heathershunt.http import (
    Address,
    HttpClient,
    HttpServer,
    Request,
    Response,
    correlated,
)
from heathershunt.retrybudget import (
    RETRIES_PATH,
    SHORT_WAIT_MS,
    GrantLedger,
    HeldGrants,
    RetryPool,
    Standing,
    WindowBudgetConfig,
)
from heathershunt.retrybudget.pacing import CALL_GAP_MS

SLACK = 400
FIRST = Standing(is_first=True, group=33, vms=33, view_age_ms=0)
CONFIG = WindowBudgetConfig(10_000, ratio=0.2, slack=SLACK)


class Vm:
    """One VM: what it was granted and, if it is the coordinator, what it grants."""

    def __init__(self, http, name, coordinators):
        self._clock = SystemClock()
        self.held = HeldGrants(self._clock)
        self.ledger = GrantLedger(self._clock, CONFIG)
        self.pool = RetryPool(
            http, self._clock, name, lambda: coordinators, self.ledger, self.held
        )
        self.pool.update()

    def become_coordinator(self, earned_ms=60_000):
        self.ledger._started_at -= 60_000
        self.ledger.update(FIRST)
        self.ledger._term.earns_from -= earned_ms

    async def retry(self, has_begun=False, limit_ms=400):
        """Wait for a retry and use it; return whether there was one."""
        ticking = asyncio.create_task(self._tick())
        is_called = await self.pool.wait("s", has_begun, limit_ms)
        ticking.cancel()
        return is_called and self.held.take("s", has_begun)

    async def _tick(self):
        while True:
            await asyncio.sleep(0.05)
            self.pool.ask("s")


@pytest.fixture
async def http():
    http = HttpClient()
    yield http
    http.close()


@pytest.fixture
async def coordinator(http):
    """Return a coordinator that listens, its address, and the calls that it got."""
    vm, calls = Vm(http, "vm-1", [None]), []
    vm.become_coordinator()

    async def handle(request):
        calls.append(request)
        return await vm.pool.handle(request)

    server = HttpServer(correlated(handle))
    await server.start("127.0.0.1", 0)
    yield vm, Address("127.0.0.1", server.port), calls
    await server.close()


async def test_request_gets_a_retry_of_the_coordinator(http, coordinator):
    other = Vm(http, "vm-2", [coordinator[1]])
    assert await other.retry()
    assert other.pool.last_reason("s") == "granted"
    assert not len(other.pool.queue)


async def test_coordinator_grants_to_itself_without_a_call(coordinator):
    vm, _, calls = coordinator
    assert await vm.retry()
    assert calls == []


async def test_requests_that_wait_are_served_by_one_call(http, coordinator):
    # Guards against calls that grow with the number of requests.
    _, address, calls = coordinator
    other = Vm(http, "vm-2", [address])
    found = await asyncio.gather(*(other.retry() for _ in range(8)))
    assert all(found)
    assert len(calls) <= 2


async def test_streams_that_have_begun_come_first(http, coordinator):
    vm, address, _ = coordinator
    other = Vm(http, "vm-2", [address])
    while vm.ledger.left("s", True) > 1:
        vm.ledger.grant("vm-3", "s", vm.ledger.left("s", True) - 1, True)
    found = await asyncio.gather(other.retry(), other.retry(has_begun=True))
    assert found == [False, True]


# Guards against requests that hang with a coordinator that is frozen, cut off or gone.
@pytest.mark.parametrize("limit_ms", [SHORT_WAIT_MS, 400])
async def test_wait_without_an_answer_is_bounded(http, limit_ms):
    server = HttpServer(correlated(lambda request: asyncio.sleep(60)))
    await server.start("127.0.0.1", 0)
    other = Vm(http, "vm-2", [Address("127.0.0.1", server.port)])
    started = time.monotonic()
    assert not await other.retry(limit_ms=limit_ms)
    waited_ms = (time.monotonic() - started) * 1000
    assert limit_ms - 5 <= waited_ms < limit_ms + 100
    other.pool.close()
    await server.close()


async def test_another_group_is_asked_if_the_own_one_has_nothing(http, coordinator):
    # Guards against requests that are denied though the pools of other groups are full.
    own = Vm(http, "vm-0", [None])
    server = HttpServer(correlated(own.pool.handle))
    await server.start("127.0.0.1", 0)
    addresses = [Address("127.0.0.1", server.port), coordinator[1]]
    other = Vm(http, "vm-2", addresses)
    assert await other.retry(limit_ms=2 * CALL_GAP_MS)
    await server.close()


async def test_unused_retries_return_with_the_next_call(http, coordinator):
    vm, address, _ = coordinator
    other = Vm(http, "vm-2", [address])
    assert await other.pool.wait("s", True, 400)
    granted = other.held.count("s", True)
    left = vm.ledger.left("s", True)
    await asyncio.sleep(1.05)
    assert await other.pool.wait("s", True, 400)
    assert vm.ledger.left("s", True) == left + granted - other.held.count("s", True)


async def test_late_answer_is_not_used(http, coordinator):
    # Guards against a VM that was frozen while the answer was under way.
    vm, address, _ = coordinator
    other = Vm(http, "vm-2", [address])
    apply = other.pool._apply

    def apply_late(address, message, answer, asked_at):
        apply(address, message, answer, asked_at - 1000)

    other.pool._apply = apply_late
    assert not await other.retry(limit_ms=100)
    assert vm.ledger.left("s", True) < int(0.35 * SLACK)


async def test_malformed_request_is_rejected(coordinator):
    request = Request("POST", RETRIES_PATH, {}, {}, b"\xc1")
    response = await coordinator[0].pool.handle(request)
    assert response.status == 400


async def test_malformed_answer_grants_nothing(http):
    server = HttpServer(correlated(coordinator_without_sense))
    await server.start("127.0.0.1", 0)
    other = Vm(http, "vm-2", [Address("127.0.0.1", server.port)])
    assert not await other.retry(limit_ms=100)
    assert other.pool.last_reason("s") == "no_answer"
    await server.close()


async def coordinator_without_sense(request):
    return Response(200, {}, b"\x93\x01\x02\x03")
