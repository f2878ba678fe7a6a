"""Odd bodies in the requests that daemons forward to each other."""

from types import SimpleNamespace

import cbor2
import pytest
from result import Err, Ok

from heathershunt.daemon.forwarding import PeerRequests
from heathershunt.peers import ForwardRequest
from heathershunt.services import Claim, ClaimFailure
from heathershunt.verdict import Progress

CLAIM = Claim(b"k" * 16, b"r" * 16, "vm1", 5, b"n", 1_700_000_000_000)


class Forwarder:
    """Answers each call with the same status and body."""

    status = 200
    body = b""

    def add_handler(self, kind, handler):
        pass

    async def call(self, vm, kind, **options):
        return Ok(self)

    async def read(self):
        return self.body

    def cancel(self):
        pass


@pytest.fixture
def forwarder():
    return Forwarder()


@pytest.fixture
def peers(forwarder):
    return PeerRequests(
        SimpleNamespace(
            fleet=SimpleNamespace(forwarder=forwarder),
            keeper=SimpleNamespace(bundle=None),
        )
    )


ODD_BODIES = [
    b"",
    b"\x82",
    b"\x81" * 5000,
    b"\x07",
    b"\x66abcdef",
    cbor2.dumps([1, 2, 3, 4, 5, 6]),
    cbor2.dumps(list(CLAIM._replace(incarnation=2**80))),
]


@pytest.mark.parametrize("status", [200, 409])
@pytest.mark.parametrize("body", ODD_BODIES)
async def test_odd_reply_to_a_claim_is_a_lost_one(peers, forwarder, status, body):
    # Guards against a caller without an answer: the error of the decoder ended the
    # handler of its call.
    forwarder.status, forwarder.body = status, body
    assert await peers.claim("vm2", CLAIM, 100) == Err(Progress.SENT)


async def test_reply_to_a_claim_is_decoded(peers, forwarder):
    forwarder.body = cbor2.dumps(list(CLAIM))
    assert await peers.claim("vm2", CLAIM, 100) == Ok(CLAIM)
    forwarder.status = 409
    forwarder.body = cbor2.dumps(ClaimFailure.FULL.value)
    assert await peers.claim("vm2", CLAIM, 100) == Err(ClaimFailure.FULL)


@pytest.mark.parametrize(
    "body", [*ODD_BODIES, cbor2.dumps({"claim": list(CLAIM), "timeout_ms": 2**80})]
)
async def test_odd_forwarded_request_was_not_run(peers, body):
    # Guards against a request that is said to have perhaps run, and a traceback in the
    # log for each of them.
    for handle in (peers._run_claim, peers._run_call):
        refusal = await handle(ForwardRequest("vm2", "kind", {}, body), None)
        assert refusal.status == 400
        assert refusal.verdict.value == "not_run"
        assert len(refusal.detail) < 500
