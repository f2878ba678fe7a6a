import msgspec
import pytest

from heathershunt.retrybudget.grants import GrantId
from heathershunt.retrybudget.ledger import Decision, GrantReason
from heathershunt.retrybudget.messages import (
    RetryAnswer,
    RetryRequest,
    decode_answer,
    decode_request,
)

UNUSED = {GrantId("term", 7): 3}


def test_request_is_decoded_as_it_was_encoded():
    message = RetryRequest.from_unused("vm-1", "s", 2, True, UNUSED)
    decoded = decode_request(msgspec.msgpack.encode(message))
    assert decoded == message
    assert decoded.unused_by_grant() == UNUSED


def test_answer_is_decoded_as_it_was_encoded():
    decision = Decision(2, GrantId("term", 8), 5, GrantReason.GRANTED)
    message = RetryAnswer.from_decision(decision)
    assert decode_answer(msgspec.msgpack.encode(message)) == message


# Guards against a VM that takes more than a grant can hold from a malformed message.
@pytest.mark.parametrize(
    "row",
    [
        [1, "vm-1", "s", 9, True, []],
        [1, "vm-1", "s", 0, True, []],
        [1, "vm-1", "s", -1, True, []],
        [2, "vm-1", "s", 1, True, []],
        [1, "vm-1", "s" * 300, 1, True, []],
        [1, "vm-1", "s", 1, True, [["term", 1, 9]]],
        [1, "vm-1", "s", 1, True, [["term", 1, -1]]],
        [1, "vm-1", "s", 1.5, True, []],
        [],
    ],
)
def test_malformed_requests_are_rejected(row):
    with pytest.raises(msgspec.ValidationError):
        decode_request(msgspec.msgpack.encode(row))


@pytest.mark.parametrize(
    "row",
    [
        [1, 9, "term", 1, 0, "granted"],
        [1, -1, "term", 1, 0, "granted"],
        [1, 1, "term", 1, 0, "of another version"],
        [2, 1, "term", 1, 0, "granted"],
    ],
)
def test_malformed_answers_are_rejected(row):
    with pytest.raises(msgspec.ValidationError):
        decode_answer(msgspec.msgpack.encode(row))
