import cbor2
import pytest
from hypothesis import given, strategies as st

from heathershunt.peers import (
    Demand,
    Forward,
    Heartbeat,
    MessageError,
    PartReply,
    Records,
    Suspicion,
    VmRecord,
    decode_message,
    encode_message,
)
from heathershunt.peers.messages import MAX_MESSAGE_BYTES


@pytest.mark.parametrize(
    "message",
    [
        Heartbeat("vm-1", 7, 8, 9, "ab" * 32, 2**62, keep=False),
        Records((VmRecord("vm-1", 3, "10.0.0.1:80"),), (Suspicion("vm-2", 1, 0, 4),)),
        PartReply("ab" * 32, 65_536, 70_000, b"\0\xff"),
        Forward(1, "draft", {"x-request-id": "a.1.2"}, b"body", 4),
    ],
)
def test_message_round_trip(message):
    assert decode_message(encode_message(message)) == message


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff\xff",
        cbor2.dumps([1]),
        cbor2.dumps({"t": "none"}),
        cbor2.dumps({"t": ["beat"]}),
        cbor2.dumps({"t": "beat", "vm": "", "incarnation": 1}),
        cbor2.dumps({"t": "beat", "vm": "a", "incarnation": -1}),
        cbor2.dumps({"t": "beat", "vm": "a", "incarnation": 2**80}),
        cbor2.dumps({"t": "records", "records": [{"vm": "a"}]}),
        cbor2.dumps({"t": "records", "records": ["a"]}),
        cbor2.dumps({"t": "records", "records": [["a"]]}),
        cbor2.dumps({"t": "records", "records": [["a", "b"]]}),
        cbor2.dumps({"t": "records", "records": 5}),
        cbor2.dumps({"t": "part", "sha256": "a", "data": "text"}),
        b"\x81" * 100_000,
        bytes(MAX_MESSAGE_BYTES + 1),
    ],
)
def test_malformed_message_raises(data):
    with pytest.raises(MessageError):
        decode_message(data)


def test_record_of_a_newer_daemon_is_decoded():
    """Guards against daemons of different versions that close each other's links.

    A record of a newer daemon may have more fields.
    """
    row = ["vm-1", 3, "10.0.0.1:80", "", "", "", "", 1, 2, False, "new field"]
    message = decode_message(cbor2.dumps({"t": "records", "records": [row]}))
    assert message.records == (VmRecord("vm-1", 3, "10.0.0.1:80", phase=1, seq=2),)


@given(st.binary(max_size=200))
def test_random_bytes_raise_only_message_errors(data):
    try:
        decode_message(data)
    except MessageError:
        pass


@pytest.mark.parametrize("rate", [float("nan"), float("inf"), -1.0, 1e300])
def test_odd_demand_of_a_peer_is_malformed(rate):
    # Guards against shares of an account's limit that are no number on all VMs.
    message = encode_message(Demand("vm2", 1, (("account", rate),)))
    with pytest.raises(MessageError):
        decode_message(message)


@pytest.mark.parametrize("status", [-1, 1, 99, 100, 199, 600, 999, "200"])
@pytest.mark.parametrize("tag", ["fwd+", "fwd."])
def test_reply_of_a_peer_with_an_invalid_status_is_malformed(tag, status):
    # Guards against an invalid status that reaches the caller of another daemon.
    with pytest.raises(MessageError):
        decode_message(cbor2.dumps({"t": tag, "id": 1, "status": status}))


@pytest.mark.parametrize("status", [0, 200, 404, 599])
@pytest.mark.parametrize("tag", ["fwd+", "fwd."])
def test_reply_of_a_peer_with_a_final_status_or_none_is_decoded(tag, status):
    message = decode_message(cbor2.dumps({"t": tag, "id": 1, "status": status}))
    assert message.status == status
