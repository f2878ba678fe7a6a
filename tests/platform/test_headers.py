import pytest

from heathershunt.clock import SystemClock
from heathershunt.http import Request
from heathershunt.platform.headers import HeaderCodec

PARTS = b"5C1e07a2:800, 91bd3f06:410,e4402b7d:250"


def caller_request(*fields):
    request = Request("POST", "/x", {}, {}, b"", fields=tuple(fields))
    return HeaderCodec(SystemClock()).caller_request(request)


@pytest.mark.parametrize(
    ("value", "parts"),
    [
        (PARTS, ("5c1e07a2", "91bd3f06", "e4402b7d")),
        (b"5c1e07a2", ("5c1e07a2",)),
        (b"", ()),
        (b" , :5,", ()),
        (b"\xff:1", ("ÿ",)),
        (b"a" * 64 + b":1", ("a" * 64,)),
    ],
)
def test_parts_of_a_prompt_are_decoded_in_order(value, parts):
    request = caller_request((b"heathershunt-prompt-prefix", value))
    assert request.prompt_parts == parts
    assert (b"heathershunt-prompt-prefix", value) in request.fields


def test_long_id_of_a_part_is_replaced_by_its_hash():
    request = caller_request((b"heathershunt-prompt-prefix", b"a" * 65 + b":1"))
    assert [len(part) for part in request.prompt_parts] == [64]


# A caller that lists the field in ``connection`` hid its parts from the runner.
def test_connection_field_does_not_remove_the_parts_of_a_prompt():
    field = (b"heathershunt-prompt-prefix", PARTS)
    request = caller_request((b"connection", b"heathershunt-prompt-prefix"), field)
    assert field in request.fields
