from dataclasses import replace

import msgspec
import pytest

from heathershunt.forwarding.messages import (
    ForwardMessage,
    caller_headers,
    decode_forward,
    decode_ids,
    encode_forward,
    encode_ids,
)
from heathershunt.relay import CallerRequest
from heathershunt.relay.earlier import EarlierSends
from heathershunt.schema.decoding import MalformedError

REQUEST = CallerRequest(
    id="r-1",
    method="POST",
    host="site.example",
    target="/drafts/x?a=%20",
    fields=((b"host", b"site.example"), (b"x-a", b"\xff"), (b"x-a", b"2")),
    body=bytes(range(256)),
    received_at=5,
    deadline=900,
    api_key="k\xe9y",
    prompt_tokens=3,
    max_tokens=4,
    estimated_tokens=2,
    last_event_id=7,
    prompt_parts=("p", "q"),
)
EARLIER = EarlierSends(frozenset({"i-1"}), 2, True, 1, True)


def test_request_arrives_as_it_was_sent():
    # Guards against a field that is lost or changed between two VMs.
    message = decode_forward(encode_forward("vm-1", REQUEST, EARLIER, 300))
    decoded = message.request_at(10_000)
    expected = replace(REQUEST, received_at=10_000, deadline=10_300)
    assert replace(decoded, fields=tuple(decoded.fields)) == expected
    assert message.earlier == EARLIER
    assert message.sender == "vm-1"


def test_times_of_the_sender_are_not_sent():
    # Guards against deadlines by the clock of another VM.
    message = decode_forward(encode_forward("vm-1", REQUEST, EARLIER, -5))
    assert message.left_ms == 0
    assert message.request.deadline is None


@pytest.mark.parametrize("raw", [b"", b"\x90", b"\xc1", b"[]", b"\x81" * 2000])
def test_malformed_message_is_one_error(raw):
    with pytest.raises(MalformedError):
        decode_forward(raw)


def test_message_of_another_version_is_malformed():
    # Guards against a request that a later version means in another way.
    message = decode_forward(encode_forward("vm-1", REQUEST, EARLIER, 300))
    fields = {name: getattr(message, name) for name in message.__struct_fields__}
    other = ForwardMessage(**(fields | {"version": 2}))
    with pytest.raises(MalformedError):
        decode_forward(msgspec.msgpack.encode(other))


def test_ids_survive_a_header_field():
    ids = frozenset({"i-1", "a,b", "\u00e9\u4e00", "x y"})
    value = encode_ids(ids)
    assert value.isascii()
    assert decode_ids(value) == ids
    assert decode_ids("") == frozenset()


def test_fields_between_the_vms_do_not_reach_the_caller():
    fields = {"X-Sent-To": "a", "x-not-taken": "b", "content-length": "3", "x-a": "1"}
    assert caller_headers(fields) == {"x-a": "1"}
