"""The store client while the store is restored from a copy, against its stand-in."""

import pytest

from heathershunt.coordination import Expectation, LeasedValue, StoreFailure
from heathershunt.coordination.revisions import era_of, number_of, number_of_lease
from heathershunt.http import Address, HttpClient
from heathershunt.platform.store import MetadataStore
from standins.metadata_store import MetadataStoreStandIn


@pytest.fixture
async def service():
    """Return a running store."""
    service = MetadataStoreStandIn()
    service.address = Address.from_text(await service.start())
    yield service
    await service.stop()


@pytest.fixture
async def store(service):
    client = HttpClient()
    yield MetadataStore(client, service.address)
    client.close()


async def grant(store):
    return (await store.grant_lease(5000)).unwrap()[0]


async def test_revisions_grow_through_a_restoration(service, store):
    copy = service.copy()
    service.put("a", b"1")
    before = (await store.read_all("")).unwrap()
    service.restore(copy)
    after = (await store.read_all("")).unwrap()
    assert after.revision > before.revision
    assert number_of(after.revision) < number_of(before.revision)


@pytest.mark.parametrize("passed", [0, 10])
async def test_watch_across_a_restoration_has_no_history(service, store, passed):
    copy = service.copy()
    service.put("a", b"1")
    before = (await store.read_all("")).unwrap()
    service.restore(copy)
    for number in range(passed):
        service.put(f"b{number}", b"2")
    for _ in range(2):
        outcome = await store.watch("", before.revision, 10)
        assert outcome.unwrap_err().failure is StoreFailure.HISTORY_LOST


async def test_lease_from_before_a_restoration_has_ended(service, store):
    lease = await grant(store)
    service.restore(service.copy())
    renewed = await store.renew_lease(lease)
    assert renewed.unwrap_err().failure is StoreFailure.NO_LEASE
    written = await store.commit((), (LeasedValue("a", b"1", lease),))
    assert written.unwrap_err().failure is StoreFailure.NO_LEASE


# Guards against a VM that ends the lease of another one.
async def test_lease_of_another_vm_with_the_same_number_is_not_ended(service, store):
    copy = service.copy()
    lease = await grant(store)
    service.restore(copy)
    other = await grant(store)
    assert number_of_lease(other) == number_of_lease(lease)
    await store.commit((), (LeasedValue("a", b"1", other),))
    await store.end_lease(lease)
    assert service.keys("a") == ["a"]


# Guards against a write whose condition holds for what another one wrote since.
async def test_condition_from_before_a_restoration_does_not_hold(service, store):
    copy = service.copy()
    service.put("a", b"1")
    seen = (await store.read_all("a")).unwrap().entries[0]
    service.restore(copy)
    service.put("a", b"2")
    await store.read_all("a")
    outcome = await store.commit(
        (Expectation("a", seen.revision),), (LeasedValue("a", b"3"),)
    )
    assert outcome.unwrap_err().failure is StoreFailure.CONFLICT
    assert service.value("a") == b"2"


async def test_reply_without_an_era_counts_as_of_the_known_one(service, store):
    service.era = "many"
    first = (await store.read_all("")).unwrap()
    assert era_of(first.revision) == 0
    service.era = 3
    assert era_of((await store.read_all("")).unwrap().revision) == 3
    service.era = 2
    late = await store.read_all("")
    assert late.unwrap_err().failure is StoreFailure.UNKNOWN
