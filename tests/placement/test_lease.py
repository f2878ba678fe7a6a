import itertools

import pytest
from result import Err, Ok

from heathershunt.clock import ManualClock
from heathershunt.http import Address, TransportError
from heathershunt.placement import LeaseKeeper, Order, OrderReply, OrderSender
from heathershunt.placement.controller import LoadPacer, is_candidate
from heathershunt.placement.orders import ORDER_TIMEOUT_MS
from heathershunt.store import StoredValue, StoreError, StoreFailure, SwapResult
from heathershunt.verdict import Progress

TTL_MS = 6_000
LOST_REPLY_ERROR = Err(StoreError(StoreFailure.OUTCOME_UNKNOWN, "reply lost"))
UNAVAILABLE_ERROR = Err(StoreError(StoreFailure.UNAVAILABLE, "out"))
ABSENT = StoredValue("placement/m", None, 0)


class FakeLeaseStore:
    """Store with one key, bound to a lease that expires by the store's clock."""

    def __init__(self, clock):
        self.clock = clock
        self.is_unavailable = False
        self.lose_replies = 0
        self.delay_ms = 0
        self._held, self._lease = ABSENT, None
        self._expiry = {}
        self._numbers = itertools.count(10)

    def _expire_leases(self):
        now = self.clock.now()
        self._expiry = {k: at for k, at in self._expiry.items() if at > now}
        if self._lease not in self._expiry:
            self._held = ABSENT

    def _reply(self, value):
        self.clock.advance(self.delay_ms)
        if self.lose_replies:
            self.lose_replies -= 1
            return LOST_REPLY_ERROR
        return UNAVAILABLE_ERROR if self.is_unavailable else Ok(value)

    async def get(self, key):
        self._expire_leases()
        return UNAVAILABLE_ERROR if self.is_unavailable else Ok(self._held)

    async def grant_lease(self, ttl_ms):
        lease = str(next(self._numbers))
        self._expiry[lease] = self.clock.now() + ttl_ms
        return UNAVAILABLE_ERROR if self.is_unavailable else Ok(lease)

    async def keep_alive(self, lease):
        self._expire_leases()
        if self.is_unavailable:
            return UNAVAILABLE_ERROR
        if lease not in self._expiry:
            return Err(StoreError(StoreFailure.LEASE_LAPSED, "lapsed"))
        self._expiry[lease] = self.clock.now() + TTL_MS
        return self._reply(None)

    async def swap(self, key, value, expected, lease=None):
        self._expire_leases()
        if self.is_unavailable or self._held.revision != expected:
            return (
                UNAVAILABLE_ERROR
                if self.is_unavailable
                else Ok(SwapResult(False, self._held))
            )
        self._held, self._lease = StoredValue(key, value, next(self._numbers)), lease
        return self._reply(SwapResult(True, self._held))

    async def revoke(self, lease):
        self._expiry.pop(lease, None)
        return Ok(None)


class FakeHttpClient:
    """Stand-in for the HTTP client that records the fencing token of each order."""

    def __init__(self, status=200):
        self.status = status
        self.fences = []
        self.connect = lambda: None

    async def request_json(
        self, address, method, target, payload, *, may_send, **options
    ):
        self.connect()
        if not may_send():
            return Err(TransportError(Progress.NOT_SENT, "late"))
        self.fences.append(payload["fence"])
        return Ok((self.status, {}))


def order(checks_fence=True):
    return Order("r", Address("127.0.0.1", 1), checks_fence, "m", "v1", (), 0, 4)


@pytest.fixture
def store(clock):
    return FakeLeaseStore(clock)


def make_keeper(store, name="vm1.1"):
    return LeaseKeeper(store, store.clock, "m", name, TTL_MS)


async def test_only_one_of_two_holds_the_lease(store):
    first, second = make_keeper(store), make_keeper(store, "vm2.1")
    assert await first.acquire_or_renew() is not None
    assert await second.acquire_or_renew() is None


async def test_paused_holder_detects_expiry_by_its_own_clock(store, clock):
    """The store is unavailable after the pause, so it cannot report the lost lease."""
    first, second = make_keeper(store), make_keeper(store, "vm2.1")
    old = await first.acquire_or_renew()
    http = FakeHttpClient()
    sender = OrderSender(http, clock, first)
    assert (await sender.send(order())).reply is OrderReply.ACCEPTED
    clock.advance(TTL_MS)
    new = await second.acquire_or_renew()
    assert new.revision > old.revision
    store.is_unavailable = True
    assert (await sender.send(order())).reply is OrderReply.NOT_SENT
    assert await first.acquire_or_renew() is None
    assert http.fences == [old.revision]


async def test_holder_paused_while_it_connects_sends_nothing(store, clock):
    """The pause may fall between the check of the lease and the first byte."""
    keeper, http = make_keeper(store), FakeHttpClient()
    await keeper.acquire_or_renew()
    http.connect = lambda: clock.advance(TTL_MS)
    result = await OrderSender(http, clock, keeper).send(order())
    assert result.reply is OrderReply.NOT_SENT
    assert http.fences == []


async def test_expiry_counts_from_before_the_call_was_sent(store, clock):
    """Guards against counting the time to live from the arrival of a slow reply."""
    store.delay_ms = 2_000
    lease = await make_keeper(store).acquire_or_renew()
    assert lease.expires_at <= TTL_MS < clock.now() + TTL_MS


async def test_lost_reply_to_the_acquiring_write_is_resolved_by_a_read(store):
    store.lose_replies = 1
    lease = await make_keeper(store).acquire_or_renew()
    assert lease.revision == (await store.get("placement/m")).ok_value.revision


async def test_lost_renewal_does_not_extend_the_lease(store, clock):
    keeper = make_keeper(store)
    lease = await keeper.acquire_or_renew()
    clock.advance(TTL_MS // 2)
    store.lose_replies = 1
    assert (await keeper.acquire_or_renew()).expires_at == lease.expires_at
    assert (await keeper.acquire_or_renew()).expires_at > lease.expires_at


async def test_lease_ends_while_the_store_is_unavailable(store, clock):
    keeper = make_keeper(store)
    await keeper.acquire_or_renew()
    store.is_unavailable = True
    clock.advance(TTL_MS)
    assert await keeper.acquire_or_renew() is None


async def test_runner_without_token_check_waits_for_the_order_time_out(store, clock):
    """Guards against a late order of the old holder that overrides a newer order."""
    keeper, http = make_keeper(store), FakeHttpClient()
    await keeper.acquire_or_renew()
    sender = OrderSender(http, clock, keeper)
    clock.advance(ORDER_TIMEOUT_MS - 1)
    assert (await sender.send(order(False))).reply is OrderReply.NOT_SENT
    assert (await sender.send(order(True))).reply is OrderReply.ACCEPTED
    clock.advance(1)
    assert (await sender.send(order(False))).reply is OrderReply.ACCEPTED


async def test_token_is_raised_only_by_the_holder(store, clock):
    first, second = make_keeper(store), make_keeper(store, "vm2.1")
    old = await first.acquire_or_renew()
    await first.raise_token()
    assert first.current().revision > old.revision
    stale, first._clock = first, ManualClock()
    clock.advance(TTL_MS)
    new = await second.acquire_or_renew()
    await stale.raise_token()
    assert stale.current() is None
    assert second.current() == new


async def test_released_lease_can_be_acquired_at_once(store, clock):
    first, second = make_keeper(store), make_keeper(store, "vm2.1")
    await first.acquire_or_renew()
    await first.release()
    assert await second.acquire_or_renew() is not None


def test_loads_are_limited_to_the_share_of_the_model(clock):
    pacer = LoadPacer(16.0)
    assert pacer.take(4, 2, clock.now())
    clock.advance(499)
    assert not pacer.take(4, 2, clock.now())
    clock.advance(1)
    assert pacer.take(4, 2, clock.now())


def test_few_vms_compete_for_each_model():
    vms = [f"vm{index}" for index in range(50)]
    models = [f"m{index}" for index in range(38)]
    counts = [sum(is_candidate(m, vm, vms) for vm in vms) for m in models]
    assert counts == [3] * len(models)
