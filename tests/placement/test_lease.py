import itertools

import pytest
from result import Err, Ok

from heathershunt.clock import ManualClock
from heathershunt.http import Address, TransportError
from heathershunt.placement import LeaseKeeper, Order, OrderReply, OrderSender
from heathershunt.placement.control import LoadPacer, is_candidate
from heathershunt.placement.orders import ORDER_TIMEOUT_MS
from heathershunt.store import Stored, StoreError, StoreFailure, Swapped
from heathershunt.verdict import Progress

TTL_MS = 6_000
LOST = Err(StoreError(StoreFailure.OUTCOME_UNKNOWN, "reply lost"))
OUT = Err(StoreError(StoreFailure.UNAVAILABLE, "out"))
ABSENT = Stored("placement/m", None, 0)


class LeaseStore:
    """One key under a lease that lapses by the store's clock."""

    def __init__(self, clock):
        self.clock = clock
        self.is_out = False
        self.lose_replies = 0
        self.delay_ms = 0
        self._held, self._lease = ABSENT, None
        self._expiry = {}
        self._numbers = itertools.count(10)

    def _now(self):
        now = self.clock.now()
        self._expiry = {k: at for k, at in self._expiry.items() if at > now}
        if self._lease not in self._expiry:
            self._held = ABSENT

    def _reply(self, value):
        self.clock.advance(self.delay_ms)
        if self.lose_replies:
            self.lose_replies -= 1
            return LOST
        return OUT if self.is_out else Ok(value)

    async def get(self, key):
        self._now()
        return OUT if self.is_out else Ok(self._held)

    async def grant_lease(self, ttl_ms):
        lease = str(next(self._numbers))
        self._expiry[lease] = self.clock.now() + ttl_ms
        return OUT if self.is_out else Ok(lease)

    async def keep_alive(self, lease):
        self._now()
        if self.is_out:
            return OUT
        if lease not in self._expiry:
            return Err(StoreError(StoreFailure.LEASE_LAPSED, "lapsed"))
        self._expiry[lease] = self.clock.now() + TTL_MS
        return self._reply(None)

    async def swap(self, key, value, expected, lease=None):
        self._now()
        if self.is_out or self._held.revision != expected:
            return OUT if self.is_out else Ok(Swapped(False, self._held))
        self._held, self._lease = Stored(key, value, next(self._numbers)), lease
        return self._reply(Swapped(True, self._held))

    async def revoke(self, lease):
        self._expiry.pop(lease, None)
        return Ok(None)


class Runner:
    """Takes the place of the HTTP client and counts orders."""

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
    return LeaseStore(clock)


def keeper(store, name="vm1.1"):
    return LeaseKeeper(store, store.clock, "m", name, TTL_MS)


async def test_only_one_of_two_holds_the_lease(store):
    first, second = keeper(store), keeper(store, "vm2.1")
    assert await first.hold() is not None
    assert await second.hold() is None


async def test_paused_holder_stops_by_its_own_clock(store, clock):
    """The store is out when it wakes, so nothing else can tell it to stop."""
    first, second = keeper(store), keeper(store, "vm2.1")
    old = await first.hold()
    runner = Runner()
    sender = OrderSender(runner, clock, first)
    assert (await sender.send(order())).reply is OrderReply.TAKEN
    clock.advance(TTL_MS)
    new = await second.hold()
    assert new.revision > old.revision
    store.is_out = True
    assert (await sender.send(order())).reply is OrderReply.NOT_SENT
    assert await first.hold() is None
    assert runner.fences == [old.revision]


async def test_holder_paused_while_it_connects_sends_nothing(store, clock):
    """The pause may fall between the check of the lease and the first byte."""
    held, runner = keeper(store), Runner()
    await held.hold()
    runner.connect = lambda: clock.advance(TTL_MS)
    result = await OrderSender(runner, clock, held).send(order())
    assert result.reply is OrderReply.NOT_SENT
    assert runner.fences == []


async def test_expiry_counts_from_before_the_call_was_sent(store, clock):
    """A slow reply must not make the holder believe in a longer lease."""
    store.delay_ms = 2_000
    lease = await keeper(store).hold()
    assert lease.expires_at <= TTL_MS < clock.now() + TTL_MS


async def test_lost_reply_of_the_acquiring_write_is_read_back(store):
    store.lose_replies = 1
    lease = await keeper(store).hold()
    assert lease.revision == (await store.get("placement/m")).ok_value.revision


async def test_lost_renewal_does_not_extend_the_lease(store, clock):
    held = keeper(store)
    lease = await held.hold()
    clock.advance(TTL_MS // 2)
    store.lose_replies = 1
    assert (await held.hold()).expires_at == lease.expires_at
    assert (await held.hold()).expires_at > lease.expires_at


async def test_store_out_ends_the_lease_and_its_orders(store, clock):
    held = keeper(store)
    await held.hold()
    store.is_out = True
    clock.advance(TTL_MS)
    assert await held.hold() is None


async def test_runner_without_tokens_waits_out_the_old_holder(store, clock):
    """A late order of the old holder would be taken after one of the new holder."""
    held, runner = keeper(store), Runner()
    await held.hold()
    sender = OrderSender(runner, clock, held)
    clock.advance(ORDER_TIMEOUT_MS - 1)
    assert (await sender.send(order(False))).reply is OrderReply.NOT_SENT
    assert (await sender.send(order(True))).reply is OrderReply.TAKEN
    clock.advance(1)
    assert (await sender.send(order(False))).reply is OrderReply.TAKEN


async def test_token_is_raised_only_by_the_holder(store, clock):
    first, second = keeper(store), keeper(store, "vm2.1")
    old = await first.hold()
    await first.raise_token()
    assert first.current().revision > old.revision
    stale, first._clock = first, ManualClock()
    clock.advance(TTL_MS)
    new = await second.hold()
    await stale.raise_token()
    assert stale.current() is None
    assert second.current() == new


async def test_released_lease_is_free_at_once(store, clock):
    first, second = keeper(store), keeper(store, "vm2.1")
    await first.hold()
    await first.release()
    assert await second.hold() is not None


def test_loads_are_paced_by_the_share_of_the_model(clock):
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
