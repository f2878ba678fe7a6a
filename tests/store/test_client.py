"""The daemon's client of the store against replies that are not to its calls."""

import base64
import json

import pytest

from heathershunt.http import HttpClient
from heathershunt.store import KeyValueStore, StoreFailure
from tests.scripted import ScriptedTarget, answer, late_duplicates


@pytest.fixture
async def start():
    """Return a function that starts a store with the replies it gives, in order.

    Before each reply on a kept connection comes a second copy of the last one.
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


def _value(text):
    return base64.b64encode(text).decode()


async def test_read_does_not_take_the_reply_to_an_earlier_read(start):
    # Guards against the value of another key.
    store = await start(
        {"revision": 3, "value": _value(b"a")}, {"revision": 4, "value": _value(b"b")}
    )
    assert (await store.get("a")).unwrap().value == b"a"
    assert (await store.get("b")).unwrap().value == b"b"


async def test_write_does_not_take_the_reply_to_an_earlier_write(start):
    # Guards against two VMs that both believe in the same claim.
    store = await start({"revision": 3}, {"revision": 9, "value": _value(b"other")})
    assert (await store.swap("a", b"x", 0)).unwrap().done
    assert (await store.swap("b", b"x", 0)).unwrap().current.revision == 9


async def test_second_copy_of_changes_is_not_taken_again(start):
    # Guards against a withdrawn bundle in force again.
    old = {"key": "root", "revision": 5, "value": _value(b"old")}
    new = {"key": "root", "revision": 6, "value": _value(b"new")}
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
