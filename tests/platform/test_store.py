"""The store client against replies to other calls than its own."""

import base64
import json

import pytest

from heathershunt.coordination import LeasedValue
from heathershunt.coordination.store import StoreFailure
from heathershunt.http import HttpClient
from heathershunt.platform.store import MetadataStore
from tests.invalid_heads import INVALID_STARTS, head_id
from tests.scripted import ScriptedTarget, answer, late_duplicates


def _events(revision, *rows):
    events = [
        {"key": key, "revision": number, "value": base64.b64encode(value).decode()}
        for key, number, value in rows
    ]
    return json.dumps({"events": events, "current_rev": revision}).encode()


@pytest.fixture
async def start():
    """Return a function that starts a store that replies with the given bodies.

    On a reused connection, a duplicate of the last reply precedes each reply.
    """
    client = HttpClient()
    targets = []

    async def start(*bodies):
        target = ScriptedTarget(late_duplicates(map(answer, bodies)))
        targets.append(target)
        return MetadataStore(client, await target.start()), target

    yield start
    client.close()
    for target in targets:
        target.stop()


async def test_duplicate_watch_reply_is_rejected(start):
    # Guards against using a target that left, or a key that was removed, again: the
    # duplicate would restore what a later change had removed.
    store, _ = await start(
        _events(5, ("targets/a", 5, b"one")),
        _events(6, ("targets/a", 6, b"two")),
        _events(6, ("targets/a", 6, b"two")),
    )
    first = (await store.watch("", 4, 100)).unwrap()
    assert first.revision == 5
    second = await store.watch("", 5, 100)
    assert second.unwrap_err().failure is StoreFailure.UNKNOWN
    third = (await store.watch("", 5, 100)).unwrap()
    assert third.entries[0][1].value == b"two"


@pytest.mark.parametrize(
    "reply",
    [_events(3), _events(9, ("a", 4, b"")), _events(9, ("a", 9, b""), ("b", 2, b""))],
)
async def test_changes_before_the_watched_revision_are_rejected(start, reply):
    store, _ = await start(reply)
    outcome = await store.watch("", 4, 100)
    assert outcome.unwrap_err().failure is StoreFailure.UNKNOWN


async def test_early_reply_without_changes_covers_no_wait(start):
    # Guards against a duplicate of an earlier reply that makes a view count as fresh.
    store, target = await start(_events(4), _events(4))
    first = (await store.watch("", 4, 200)).unwrap()
    assert (first.entries, first.waited_ms) == ((), 0)
    # The connection may be one reply behind.
    await store.watch("", 4, 200)
    assert target.connections == 2


async def test_reply_without_changes_after_the_wait_covers_it(start):
    store, target = await start(_events(4), _events(4))
    for _ in range(2):
        changes = (await store.watch("", 4, 0)).unwrap()
        assert changes.waited_ms is None
    assert target.connections == 1


async def test_list_ignores_an_earlier_reply(start):
    # Guards against listing targets again that have left.
    lists = [
        json.dumps({"items": [], "has_more": False, "current_rev": number}).encode()
        for number in (3, 4)
    ]
    store, _ = await start(*lists)
    assert (await store.read_all("")).unwrap().revision == 3
    assert (await store.read_all("")).unwrap().revision == 4


async def test_writes_ignore_an_earlier_reply(start):
    # Guards against a VM that assumes a lease or an entry that the store did not grant.
    store, target = await start(
        b'{"revision": 7}', b'{"revision": 8}', b'{"lease": 3, "ttl_ms": 100}'
    )
    value = (LeasedValue("vm/vm-1", b"entry"),)
    assert (await store.commit((), value)).unwrap() == 7
    assert (await store.commit((), value)).unwrap() == 8
    assert (await store.grant_lease(100)).unwrap() == (3, 100)
    assert target.connections == 3


ODD_REVISIONS = [-1, 2**40, 2**62, 10**400, 1.5, None, "1"]


@pytest.mark.parametrize("revision", ODD_REVISIONS, ids=lambda item: repr(item)[:20])
async def test_odd_revision_is_a_failed_call(start, revision):
    # Guards against a revision whose upper bits count as an era, and which cannot be
    # encoded for the VMs that follow this one.
    item = {"key": "a", "revision": revision, "value": ""}
    page = {"items": [item], "has_more": False, "current_rev": 5}
    bodies = [
        json.dumps(page).encode(),
        json.dumps(page | {"items": [], "current_rev": revision}).encode(),
        json.dumps({"events": [item], "current_rev": 5}).encode(),
        json.dumps({"events": [], "current_rev": revision}).encode(),
        json.dumps({"revision": revision}).encode(),
    ]
    store, _ = await start(*bodies)
    assert (await store.read_all("")).is_err()
    assert (await store.read_all("")).is_err()
    assert (await store.watch("", 0, 0)).is_err()
    assert (await store.watch("", 0, 0)).is_err()
    assert (await store.commit((), (LeasedValue("k", b""),))).is_err()


@pytest.mark.parametrize("ttl_ms", [-1, 1e300, "1", None])
async def test_odd_time_to_live_is_a_failed_call(start, ttl_ms):
    # Guards against a lease that is never renewed again.
    body = json.dumps({"lease": 1, "ttl_ms": ttl_ms}).encode()
    store, _ = await start(body, body)
    assert (await store.grant_lease(1000)).is_err()
    assert (await store.renew_lease(0)).is_err()


@pytest.mark.parametrize("start", INVALID_STARTS, ids=head_id)
async def test_outcome_of_a_write_with_an_invalid_reply_is_unknown(start):
    # Guards against a write that counts as rejected though the store may have done it.
    async def script(target, path, writer):
        head = b"connection: close\r\n"
        await target.send(writer, answer(b'{"revision": 7}', head, start))
        writer.close()

    client, target = HttpClient(), ScriptedTarget(script)
    store = MetadataStore(client, await target.start())
    outcome = await store.commit((), (LeasedValue("vm/vm-1", b"entry"),))
    assert outcome.unwrap_err().failure is StoreFailure.UNKNOWN
    client.close()
    target.stop()
