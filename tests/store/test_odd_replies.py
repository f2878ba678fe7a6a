"""Odd replies of the store."""

import json

import pytest

from heathershunt.http import Address, HttpClient, HttpServer, Response
from heathershunt.store import KeyValueStore

BIG = 10**400
ODD_REPLIES = [
    {"revision": BIG, "value": None},
    {"revision": 2**62, "value": None},
    {"revision": -1, "value": None},
    {"revision": 1, "value": "no base64"},
]


@pytest.mark.parametrize("reply", ODD_REPLIES, ids=lambda reply: repr(reply)[:40])
async def test_odd_revision_of_the_store_is_a_failed_read(reply):
    # Guards against a revision that is taken for one of a later era.
    bodies = [reply, {"events": [], "revision": reply["revision"]}]

    async def answer(request):
        return Response(200, {}, json.dumps(bodies.pop(0)).encode())

    server = HttpServer(answer)
    await server.start("127.0.0.1", 0)
    client = HttpClient()
    store = KeyValueStore(client, (Address("127.0.0.1", server.port),))
    assert (await store.get("k")).is_err()
    watched = await store.watch("k", 0, 0)
    assert watched.is_err() or reply["revision"] == 1
    client.close()
    await server.close()
