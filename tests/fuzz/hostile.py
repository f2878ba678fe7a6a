"""Strategies for malformed and hostile input."""

import json

import cbor2
from hypothesis import strategies as st

DEPTH = 50_000

deep_json = st.sampled_from(
    [
        b"[" * DEPTH,
        b'{"a":' * DEPTH,
        b'{"model":"m","x":' + b"[" * DEPTH + b"]" * DEPTH,
    ]
)
odd_numbers = st.sampled_from(
    [
        b"1e400",
        b"-1",
        b"9" * 400,
        b"9" * 5000,
        b"NaN",
        b"-0.0",
        b"1.5",
        b"18446744073709551616",
    ]
)
odd_texts = st.sampled_from(
    [
        b'"\\ud800"',
        b'"\\udfff\\ud800"',
        b'"\xff\xfe"',
        b'"\xed\xa0\x80"',
        b'"\\u0000"',
        b'""',
        '"\u202e\U0001f600"'.encode(),
    ]
)
json_values = st.one_of(
    odd_numbers,
    odd_texts,
    deep_json,
    st.sampled_from([b"null", b"true", b"[]", b"{}", b'{"received":[1]}']),
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.text(max_size=5),
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(st.text(max_size=5), inner, max_size=3)
        ),
        max_leaves=6,
    ).map(lambda value: json.dumps(value).encode()),
)
FIELDS = [b"model", b"prompt", b"max_tokens", b"stream", b"seed", b"adapter"]
FIELDS += [b"heathershunt", b"unknown"]


@st.composite
def draft_bodies(draw) -> bytes:
    """Return the body of a small draft request with some fields replaced."""
    values = {b"model": b'"m"', b"prompt": b'"p"', b"max_tokens": b"2"}
    for field in draw(st.lists(st.sampled_from(FIELDS), min_size=1, max_size=3)):
        values[field] = draw(json_values)
    if draw(st.integers(0, 5)) == 0:
        return draw(json_values)
    return b"{" + b",".join(b'"%b":%b' % pair for pair in values.items()) + b"}"


# Bytes that h11 accepts in the value of a header.
header_values = st.one_of(
    st.sampled_from(
        [
            b"\xb2",
            b"\xb9" * 3,
            b"9" * 5000,
            b"-1",
            b"0",
            b"1e9",
            b"\xff\xfe",
            b"..",
            b"a" * 300,
        ]
    ),
    st.binary(min_size=1, max_size=40).map(
        lambda data: bytes(b for b in data if b > 0x20 and b != 0x7F) or b"x"
    ),
)
HEADERS = [b"x-deadline-ms", b"idempotency-key", b"last-event-id", b"x-priority"]
HEADERS += [b"authorization", b"x-request-id", b"accept", b"expect"]
TARGETS = [
    b"/v1/completions",
    b"/v1/services/orders/orders",
    b"/v1/services/orders",
    b"/v1/services//",
    b"/v1/services/%2e%2e/x",
    b"/v1/services/orders/%ff%00",
    b"/v1/address",
    b"/v1/completions/vm1.1.1",
    b"/v1/completions/vm2.1.1",
    b"/v1/completions/..%2f",
    b"/v1/completions/%ff.1.1",
    b"/v1/completions/vm2.9999999999999999.9999999999999999",
    b"//[",
    b"//[::1/v1/address",
    b"http://[/",
    b"/?a=%ff&&&=&;",
    b"*",
    b"/" + b"a" * 15_000,
]
targets = st.one_of(
    st.sampled_from(TARGETS),
    st.text(
        st.characters(min_codepoint=0x21, max_codepoint=0x7E), min_size=1, max_size=30
    ).map(lambda text: b"/" + text.encode()),
)


@st.composite
def requests(draw, token: bytes, target=targets) -> bytes:
    """Return a well-framed HTTP request with hostile target, headers and body."""
    body = draw(draft_bodies())
    method = draw(st.sampled_from([b"POST", b"POST", b"GET", b"DELETE", b"HEAD", b"X"]))
    lines = [b"%b %b HTTP/1.1" % (method, draw(target)), b"host: h"]
    names = draw(st.lists(st.sampled_from(HEADERS), unique=True, max_size=3))
    lines += [b"%b: %b" % (name, draw(header_values)) for name in names]
    if b"authorization" not in names:
        lines.append(b"authorization: Bearer " + token)
    lines.append(b"content-length: %d" % len(body))
    lines.append(b"connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


framing = st.one_of(
    st.binary(max_size=200),
    st.sampled_from(
        [
            b"\r\n" * 1000,
            b"GET / HTTP/9.9\r\n\r\n",
            b"GET /\r\n\r\n",
            b"GET / HTTP/1.1\r\nhost: h\r\ncontent-length: -1\r\n\r\n",
            b"GET / HTTP/1.1\r\nhost: h\r\ncontent-length: 1, 2\r\n\r\nx",
            b"GET / HTTP/1.1\r\nhost: h\r\ncontent-length: " + b"9" * 30 + b"\r\n\r\n",
            b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: gzip\r\n\r\nx",
            b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n-1\r\n",
            b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
            + b"f" * 40
            + b"\r\n",
            b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n"
            b"content-length: 3\r\n\r\n0\r\n\r\nGET /v1/address HTTP/1.1\r\n\r\n",
            b"GET / HTTP/1.1\r\nhost: h\r\n" + b"x: " + b"y" * 40_000 + b"\r\n\r\n",
            b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 20_000 + b"\r\n",
            b"GET / HTTP/1.1\r\nhost: h\r\n folded: x\r\n\r\n",
            b"GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n",
            b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
            b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
        ]
    ),
)

# Messages of peers

NESTED_CBOR = b"\x81" * DEPTH + b"\x00"
cbor_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats()
    | st.text(max_size=8)
    | st.binary(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=6), inner, max_size=4)
    ),
    max_leaves=8,
)
MESSAGE_TYPES = [
    "hello",
    "beat",
    "records",
    "root?",
    "root",
    "part?",
    "part",
    "fwd",
    "fwd+",
]
MESSAGE_TYPES += ["fwd.", "demand", "unknown"]
MESSAGE_FIELDS = [
    "vm",
    "incarnation",
    "id",
    "kind",
    "headers",
    "body",
    "size",
    "data",
    "sha256",
]
MESSAGE_FIELDS += [
    "reply",
    "status",
    "offset",
    "records",
    "suspicions",
    "rates",
    "protocol",
]
forward_requests = st.fixed_dictionaries(
    {
        "t": st.just("fwd"),
        "id": st.integers(0, 5),
        "kind": st.sampled_from(["resume", "call", "x"]),
        "headers": st.dictionaries(
            st.sampled_from(["id", "after", "account"]),
            st.sampled_from(["", "x", "notary", "9" * 5000, "\u00b2"]),
        ),
        "body": st.sampled_from(
            [
                b"",
                b"\xff",
                NESTED_CBOR[-200:],
                cbor2.dumps({"call": [], "key": 1}),
                cbor2.dumps([]),
            ]
        ),
        "size": st.sampled_from([0, 1, 2**40]),
    }
)
peer_messages = st.one_of(
    st.binary(max_size=60),
    st.sampled_from(
        [
            NESTED_CBOR,
            b"\x9b" + b"\xff" * 8,
            b"\xbb" + b"\xff" * 8,
            b"\x5b" + b"\x7f" * 8,
        ]
    ),
    st.just(b"\xd8\x1c\x81\xd8\x1d\x00"),
    st.just(bytes(200_000)),
    cbor_values.map(cbor2.dumps),
    st.tuples(
        st.sampled_from(MESSAGE_TYPES),
        st.dictionaries(st.sampled_from(MESSAGE_FIELDS), cbor_values, max_size=6),
    ).map(lambda pair: cbor2.dumps({**pair[1], "t": pair[0]})),
    forward_requests.map(cbor2.dumps),
)

# Replies of the platform

WRONG_REPLIES = [
    b"",
    b"null",
    b"[]",
    b"{}",
    b"1",
    b'"x"',
    b"\xff\xfe",
    b"[" * DEPTH,
    b'{"events":1,"revision":1}',
    b'{"events":[1],"revision":"x"}',
    b'{"events":[{"key":"bundle/root","value":"%%%","revision":9}],"revision":9}',
    b'{"events":[{"key":"bundle/root","value":"AAAA","revision":9}],"revision":null}',
    b'{"events":[{}],"revision":-1}',
    b'{"key":"k","value":5,"revision":[]}',
    b'{"key":"k","value":"AA","revision":"1"}',
    b'{"revision":{}}',
    b'{"vms":null}',
    b'{"vms":[{}]}',
]
BAD_ADDRESSES = ["", "x", ":", "a:b", "127.0.0.1:99999999", "127.0.0.1:-1", "a b:1"]
BAD_ADDRESSES += ["\n:1", "\u00e9" * 70 + ":1", "." * 300 + ":1", "127.0.0.1:\u00b2"]
vm_lists = st.lists(
    st.fixed_dictionaries(
        {
            "vm": st.sampled_from(["x", "", "vm1\n", "h0"]),
            "domain": st.just("a"),
            "state": st.sampled_from(["live", "leaving", "?"]),
            "role": st.sampled_from(["runner", "service", "runner"]),
            "address": st.sampled_from(BAD_ADDRESSES),
            "service": st.just("orders"),
        }
    ),
    min_size=1,
    max_size=3,
).map(lambda vms: json.dumps({"vms": vms}).encode())
platform_bodies = st.one_of(
    st.sampled_from(WRONG_REPLIES), vm_lists, json_values, st.binary(max_size=40)
)
STATUSES = ["200 OK", "404 Not Found", "409 Conflict", "500 Oops", "204 No Content"]
RAW_REPLIES = [
    b"",
    b"\x00" * 100,
    b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nshort",
    b"HTTP/1.1 200 OK\r\ncontent-length: x\r\n\r\n",
    b"HTTP/1.1 999 Odd\r\n\r\n",
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
    b"HTTP/1.1 200 OK\r\n" + b"a: b\r\n" * 50_000,
    b"HTTP/1.1 100 Continue\r\n\r\n" * 100,
]
