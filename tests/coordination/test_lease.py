"""Tests of the lease that keeps an entry in the store."""

import asyncio
import contextlib

import pytest
from result import Err, Ok

from heathershunt.clock import SystemClock
from heathershunt.coordination import LeaseKeeper
from heathershunt.coordination.store import StoreError, StoreFailure

ENTRY = ("vm/vm-1", b"entry")
TTL_MS = 60_000


class _Store:
    """Grants one lease and holds back the replies to writes on request."""

    def __init__(self):
        self.writes = []
        self.failures = []
        self.may_reply = asyncio.Event()
        self.may_reply.set()

    async def grant_lease(self, ttl_ms):
        return Ok((1, ttl_ms))

    async def renew_lease(self, lease):
        return Ok(TTL_MS)

    async def commit(self, expectations, values, removed=()):
        self.writes.append((values[0].key, values[0].value))
        await self.may_reply.wait()
        if self.failures:
            return Err(StoreError(self.failures.pop(), "test"))
        return Ok(len(self.writes))


@pytest.fixture
async def store():
    return _Store()


@contextlib.asynccontextmanager
async def _running(store, value=lambda: ENTRY):
    keeper = LeaseKeeper(store, SystemClock(), TTL_MS, value)
    task = asyncio.create_task(keeper.run())
    try:
        yield keeper
    finally:
        task.cancel()


async def _until(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.005)


async def test_entry_that_is_removed_before_the_reply_to_its_write_is_written_again(
    store,
):
    # Guards against a VM that stays out of the directory: the watch can report the
    # removal before the reply to the write has arrived.
    store.may_reply.clear()
    async with _running(store) as keeper:
        await _until(lambda: len(store.writes) == 1)
        keeper.publish()
        store.may_reply.set()
        await _until(lambda: len(store.writes) == 2)


async def test_value_that_changes_during_a_write_is_written_soon(store):
    # Guards against an entry that stays outdated until the next renewal of the lease.
    values = [ENTRY]
    store.may_reply.clear()
    async with _running(store, lambda: values[-1]) as keeper:
        await _until(lambda: len(store.writes) == 1)
        values.append(("vm/vm-1", b"changed"))
        keeper.publish()
        store.may_reply.set()
        await _until(lambda: store.writes[1:] == [values[-1]])


async def test_failed_write_is_retried(store):
    # Guards against an entry that counts as written although the write failed.
    store.failures = [StoreFailure.UNKNOWN, StoreFailure.NO_LEASE]
    async with _running(store):
        await _until(lambda: len(store.writes) == 3)


async def test_entry_that_is_in_place_is_not_written_again(store):
    # Guards against calls of the store that change nothing.
    async with _running(store) as keeper:
        await _until(lambda: len(store.writes) == 1)
        keeper.publish()
        await _until(lambda: len(store.writes) == 2)
        await asyncio.sleep(0.05)
        assert len(store.writes) == 2
