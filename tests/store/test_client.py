"""The store client when a kept connection repeats the reply to an earlier request."""

import base64
import json

import pytest

from heathershunt.http import HttpClient
from heathershunt.store import KeyValueStore, StoreFailure
from tests.scripted import ScriptedTarget, answer, late_duplicates


@pytest.fixture
async def start():
    """Return a function that starts a store which sends the given replies in order.

    On a kept connection, each reply is preceded by a duplicate of the last one.
    """
    client = HttpClient()
    targets = []

    async def start(*replies):
        bodies = [json.dumps(reply).encode() for reply in replies]
        target = ScriptedTarget(late_duplicates(map(answer, bodies)))
        targets.append(target)
        return KeyValueStore(client, (await target.start(),))

    yield start
    client.close()
    for target in targets:
        target.stop()


def _base64(data):
    return base64.b64encode(data).decode()


async def test_read_ignores_a_duplicate_reply_to_an_earlier_read(start):
    # Guards against returning the value of another key.
    store = await start(
        {"revision": 3, "value": _base64(b"a")}, {"revision": 4, "value": _base64(b"b")}
    )
    assert (await store.get("a")).unwrap().value == b"a"
    assert (await store.get("b")).unwrap().value == b"b"


async def test_write_ignores_a_duplicate_reply_to_an_earlier_write(start):
    # Guards against two VMs that both win the same claim.
    store = await start({"revision": 3}, {"revision": 9, "value": _base64(b"other")})
    assert (await store.swap("a", b"x", 0)).unwrap().done
    assert (await store.swap("b", b"x", 0)).unwrap().current.revision == 9


async def test_watch_rejects_a_duplicate_of_an_earlier_reply(start):
    # Guards against a withdrawn bundle that comes into force again.
    old = {"key": "root", "revision": 5, "value": _base64(b"old")}
    new = {"key": "root", "revision": 6, "value": _base64(b"new")}
    store = await start(
        {"events": [old], "revision": 5},
        {"events": [new], "revision": 6},
        {"events": [new], "revision": 6},
    )
    events, revision = (await store.watch("root", 4, 0)).unwrap()
    assert (events[0].value, revision) == (b"old", 5)
    second = await store.watch("root", 5, 0)
    assert second.unwrap_err().kind is StoreFailure.UNAVAILABLE
    events, revision = (await store.watch("root", 5, 0)).unwrap()
    assert (events[0].value, revision) == (b"new", 6)
